#pragma once

#include <asio.hpp>

#include <map>
#include <string>

namespace orioledrum::standin
{

/// A reply as a test sees it; header names in lower case.
struct test_reply {
    int status = 0; ///< 0 when the connection ended or the wait was over without a reply.
    bool closed = false; ///< The connection was closed or reset.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// One blocking HTTP/1.1 connection to a loopback port.
class loopback_client
{
public:
    explicit loopback_client(std::uint16_t port);

    [[nodiscard]] bool connected() const { return m_connected; }

    /// Writes a request without waiting for the reply.
    void send(const std::string &method,
              const std::string &path,
              const std::string &body,
              const std::map<std::string, std::string> &headers = {});

    /// @param wait Longest wait for the whole reply.
    test_reply receive(std::chrono::milliseconds wait = std::chrono::seconds{10});

    /// Writes a request and waits for the reply.
    test_reply exchange(const std::string &method,
                        const std::string &path,
                        const std::string &body,
                        const std::map<std::string, std::string> &headers = {});

    void close();

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    bool m_connected = false;
    std::string m_unread;
};

/// Sends one request on a new connection.
test_reply exchangeOnce(std::uint16_t port, const std::string &method, const std::string &path, const std::string &body = {});

} // namespace orioledrum::standin
