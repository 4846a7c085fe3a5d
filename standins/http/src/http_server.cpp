#include <standin/http_server.h>

namespace orioledrum::standin
{

http_server::http_server(asio::io_context &context, http_handler &handler)
    : m_handler(handler)
    , m_acceptor(context)
{
}

http_server::~http_server()
{
    *m_alive = false;
}

tl::expected<std::uint16_t, std::string> http_server::listen(std::uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    std::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        std::error_code ignored;
        m_acceptor.close(ignored);
        return tl::unexpected("Cannot listen on 127.0.0.1:" + std::to_string(port) + ": " + error.message() + ".");
    }
    accept();
    return m_acceptor.local_endpoint().port();
}

void http_server::stopListening()
{
    std::error_code ignored;
    m_acceptor.close(ignored);
}

void http_server::closeConnections(bool reset)
{
    const auto connections = m_connections;
    for (const auto &[number, connection] : connections) {
        connection->close(reset);
    }
}

void http_server::accept()
{
    m_acceptor.async_accept([this, alive = m_alive](std::error_code error, asio::ip::tcp::socket socket) {
        if (!*alive || !m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            std::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            const auto connection = std::make_shared<http_connection>(std::move(socket), m_handler, ++m_acceptedCount);
            m_connections.emplace(connection->number(), connection);
            const auto delay = m_handler.onConnect(connection);
            if (delay.count() < 0) {
                connection->close(false);
            } else {
                connection->start(delay);
            }
        }
        if (error != asio::error::operation_aborted) {
            accept();
        }
    });
}

} // namespace orioledrum::standin
