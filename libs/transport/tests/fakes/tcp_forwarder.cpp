#include <fakes/tcp_forwarder.h>

#include <asio/write.hpp>

namespace orioledrum
{

struct tcp_forwarder::pipe {
    explicit pipe(asio::ip::tcp::socket accepted)
        : client(std::move(accepted))
        , server(client.get_executor())
        , toServer(65536)
        , toClient(65536)
    {
    }

    void close()
    {
        asio::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    std::vector<char> toServer;
    std::vector<char> toClient;
    bool silent = false;
};

tcp_forwarder::tcp_forwarder(std::uint16_t target)
    : m_target(target)
{
    m_thread.run([this] {
        m_acceptor =
            std::make_unique<asio::ip::tcp::acceptor>(m_thread.context(), asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_port = m_acceptor->local_endpoint().port();
        accept();
    });
}

tcp_forwarder::~tcp_forwarder()
{
    m_thread.run([this] {
        m_acceptor.reset();
        for (const auto &open : m_pipes) {
            open->close();
        }
        m_pipes.clear();
    });
}

void tcp_forwarder::silence()
{
    m_thread.run([this] {
        for (const auto &open : m_pipes) {
            open->silent = true;
        }
    });
}

void tcp_forwarder::cut()
{
    m_thread.run([this] {
        for (const auto &open : m_pipes) {
            open->close();
        }
    });
}

std::size_t tcp_forwarder::accepted()
{
    return m_thread.run([this] { return m_accepted; });
}

void tcp_forwarder::accept()
{
    m_acceptor->async_accept([this](const asio::error_code &code, asio::ip::tcp::socket socket) {
        if (code) {
            return;
        }
        ++m_accepted;
        const auto opened = std::make_shared<pipe>(std::move(socket));
        m_pipes.push_back(opened);
        opened->server.async_connect({asio::ip::address_v4::loopback(), m_target}, [opened](const asio::error_code &failure) {
            if (failure) {
                opened->close();
                return;
            }
            opened->client.set_option(asio::ip::tcp::no_delay(true));
            opened->server.set_option(asio::ip::tcp::no_delay(true));
            forward(opened, opened->client, opened->server, opened->toServer);
            forward(opened, opened->server, opened->client, opened->toClient);
        });
        accept();
    });
}

void tcp_forwarder::forward(const std::shared_ptr<pipe> &pipe,
                            asio::ip::tcp::socket &from,
                            asio::ip::tcp::socket &to,
                            std::vector<char> &buffer)
{
    from.async_read_some(asio::buffer(buffer), [pipe, &from, &to, &buffer](const asio::error_code &code, std::size_t size) {
        if (pipe->silent) {
            return;
        }
        if (code) {
            pipe->close();
            return;
        }
        asio::async_write(to, asio::buffer(buffer, size), [pipe, &from, &to, &buffer](const asio::error_code &failure, std::size_t) {
            if (!failure) {
                forward(pipe, from, to, buffer);
            }
        });
    });
}

} // namespace orioledrum
