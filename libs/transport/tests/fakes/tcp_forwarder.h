#pragma once

#include <fakes/context_thread.h>

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace orioledrum
{

/// Forwards TCP connections on loopback. Open connections can go silent or be cut; later ones are forwarded again.
class tcp_forwarder
{
public:
    explicit tcp_forwarder(std::uint16_t target);
    ~tcp_forwarder();
    tcp_forwarder(const tcp_forwarder &) = delete;
    tcp_forwarder &operator=(const tcp_forwarder &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }

    /// Stops to forward on all open connections, without closing them.
    void silence();
    /// Closes all open connections.
    void cut();
    /// @return Number of connections accepted so far.
    std::size_t accepted();

private:
    struct pipe;
    void accept();
    static void
    forward(const std::shared_ptr<pipe> &pipe, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, std::vector<char> &buffer);

    std::uint16_t m_target;
    std::uint16_t m_port = 0;
    std::size_t m_accepted = 0;
    std::vector<std::shared_ptr<pipe>> m_pipes;
    context_thread m_thread;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace orioledrum
