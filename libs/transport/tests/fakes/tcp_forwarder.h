#pragma once

#include <fakes/context_thread.h>

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace orioledrum
{

/// Accepts TCP connections and forwards them to another port on loopback. Tests can stall or close the open connections;
/// connections that are accepted afterwards are forwarded normally.
class tcp_forwarder
{
public:
    explicit tcp_forwarder(std::uint16_t targetPort);
    ~tcp_forwarder();
    tcp_forwarder(const tcp_forwarder &) = delete;
    tcp_forwarder &operator=(const tcp_forwarder &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }

    /// Stops forwarding on all open connections without closing them, as if the network had failed.
    void stopForwarding();
    /// Closes all open connections.
    void closeConnections();
    /// @return Number of connections accepted so far.
    std::size_t acceptedCount();

private:
    struct forwarded_connection;
    void accept();
    static void forward(const std::shared_ptr<forwarded_connection> &connection,
                        asio::ip::tcp::socket &from,
                        asio::ip::tcp::socket &to,
                        std::vector<char> &buffer);

    std::uint16_t m_targetPort;
    std::uint16_t m_port = 0;
    std::size_t m_acceptedCount = 0;
    std::vector<std::shared_ptr<forwarded_connection>> m_connections;
    context_thread m_thread;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace orioledrum
