#include <fakes/tcp_forwarder.h>

#include <asio/write.hpp>

namespace orioledrum
{

struct tcp_forwarder::forwarded_connection {
    explicit forwarded_connection(asio::ip::tcp::socket acceptedSocket)
        : client(std::move(acceptedSocket))
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
    bool stalled = false; ///< Set by stopForwarding().
};

tcp_forwarder::tcp_forwarder(std::uint16_t targetPort)
    : m_targetPort(targetPort)
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
        for (const auto &connection : m_connections) {
            connection->close();
        }
        m_connections.clear();
    });
}

void tcp_forwarder::stopForwarding()
{
    m_thread.run([this] {
        for (const auto &connection : m_connections) {
            connection->stalled = true;
        }
    });
}

void tcp_forwarder::closeConnections()
{
    m_thread.run([this] {
        for (const auto &connection : m_connections) {
            connection->close();
        }
    });
}

std::size_t tcp_forwarder::acceptedCount()
{
    return m_thread.run([this] { return m_acceptedCount; });
}

void tcp_forwarder::accept()
{
    m_acceptor->async_accept([this](const asio::error_code &code, asio::ip::tcp::socket socket) {
        if (code) {
            return;
        }
        ++m_acceptedCount;
        const auto connection = std::make_shared<forwarded_connection>(std::move(socket));
        m_connections.push_back(connection);
        connection->server.async_connect({asio::ip::address_v4::loopback(), m_targetPort}, [connection](const asio::error_code &failure) {
            if (failure) {
                connection->close();
                return;
            }
            connection->client.set_option(asio::ip::tcp::no_delay(true));
            connection->server.set_option(asio::ip::tcp::no_delay(true));
            forward(connection, connection->client, connection->server, connection->toServer);
            forward(connection, connection->server, connection->client, connection->toClient);
        });
        accept();
    });
}

void tcp_forwarder::forward(const std::shared_ptr<forwarded_connection> &connection,
                            asio::ip::tcp::socket &from,
                            asio::ip::tcp::socket &to,
                            std::vector<char> &buffer)
{
    from.async_read_some(asio::buffer(buffer), [connection, &from, &to, &buffer](const asio::error_code &code, std::size_t size) {
        if (connection->stalled) {
            return;
        }
        if (code) {
            connection->close();
            return;
        }
        asio::async_write(to, asio::buffer(buffer, size), [connection, &from, &to, &buffer](const asio::error_code &failure, std::size_t) {
            if (!failure) {
                forward(connection, from, to, buffer);
            }
        });
    });
}

} // namespace orioledrum
