#pragma once

#include <asio.hpp>

#include <map>
#include <string>

namespace orioledrum::standin
{

/// The reply to one request, or the reason why no complete reply arrived.
struct test_reply {
    int status = 0; ///< 0 when the connection was closed or the timeout expired before the whole reply arrived.
    bool closed = false; ///< The connection failed, or was closed or reset before the whole reply arrived.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Blocking HTTP/1.1 client with one connection to a loopback port.
class loopback_client
{
public:
    /// Connects to the port. connected() is false when this fails.
    explicit loopback_client(std::uint16_t port);

    [[nodiscard]] bool connected() const { return m_connected; }

    /// Writes a request without waiting for the reply.
    void send(const std::string &method,
              const std::string &path,
              const std::string &body,
              const std::map<std::string, std::string> &headers = {});

    /// Waits for one reply.
    /// @param timeout Limit for the whole reply.
    test_reply receive(std::chrono::milliseconds timeout = std::chrono::seconds{10});

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
    std::string m_receivedBytes;
};

/// Sends one request on a new connection and waits for the reply.
test_reply exchangeOnce(std::uint16_t port, const std::string &method, const std::string &path, const std::string &body = {});

} // namespace orioledrum::standin
