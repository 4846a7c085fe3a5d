#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace orioledrum
{

/// HTTP server on loopback with one blocking thread for each connection. A function of the test returns the response to each
/// request.
class scripted_http_server
{
public:
    /// What the server does after a request.
    struct action {
        std::string bytes; ///< Written unchanged.
        bool close = false; ///< Closes the connection afterwards.
        std::string repeated{}; ///< If not empty: written after `bytes` again and again, until the client closes the connection.
        std::chrono::milliseconds repeatInterval{0}; ///< Time between two copies of `repeated`.
        bool reset = false; ///< With `close`: resets the connection instead of closing it.
    };

    /// @param script Called with the head and body of each request, on the connection's thread.
    /// @param endAfterHead Optional. Called with the head of each request; if it returns an action, the server carries it out without
    /// reading the body.
    explicit scripted_http_server(std::function<action(const std::string &request)> script,
                                  std::function<std::optional<action>(const std::string &head)> endAfterHead = {});
    ~scripted_http_server();
    scripted_http_server(const scripted_http_server &) = delete;
    scripted_http_server &operator=(const scripted_http_server &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::string url(const std::string &path) const { return "http://" + address() + path; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] int requests() const { return m_requests; }
    [[nodiscard]] int heads() const { return m_heads; } ///< Requests of which at least the head was received.
    [[nodiscard]] int connections() const { return m_connections; }

    /// Closes all open connections.
    void closeConnections();

    /// @return A complete response with status 200, the header field "X-State: warm" and the given body.
    static action ok(const std::string &body);

private:
    void serve(asio::ip::tcp::socket &socket);

    std::function<action(const std::string &)> m_script;
    std::function<std::optional<action>(const std::string &)> m_endAfterHead;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_heads = 0;
    std::atomic<int> m_connections = 0;
    std::mutex m_mutex;
    std::vector<int> m_openDescriptors; ///< Descriptors of open connections.
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

/// Sends bytes to a port on loopback and returns everything received until the other side closes the connection.
std::string exchangeBytes(std::uint16_t port, const std::string &bytes);

} // namespace orioledrum
