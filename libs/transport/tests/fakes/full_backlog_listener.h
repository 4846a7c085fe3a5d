#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <system_error>
#include <vector>

namespace orioledrum
{

/// A listening port on loopback whose accept backlog is full, so that connecting to it times out.
class full_backlog_listener
{
public:
    full_backlog_listener()
        : m_acceptor(m_context, asio::ip::tcp::v4())
    {
        m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen(0);
        // Linux accepts one connection more into the backlog than requested. Further connects stay pending and keep it full.
        for (int i = 0; i < 4; ++i) {
            auto &socket = m_sockets.emplace_back(m_context, asio::ip::tcp::v4());
            socket.native_non_blocking(true);
            // Asio's connect() cannot be used, because it waits for the result.
            const auto endpoint = m_acceptor.local_endpoint();
            if (::connect(socket.native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0 && errno != EINPROGRESS) {
                throw std::system_error(errno, std::generic_category());
            }
        }
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_sockets;
};

} // namespace orioledrum
