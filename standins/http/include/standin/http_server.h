#pragma once

#include <standin/http_connection.h>

#include <tl/expected.hpp>

#include <map>

namespace orioledrum::standin
{

/// Listens on one loopback port and keeps the connections of that port.
class http_server
{
public:
    /// @param context Runs all work of the server; must be run by one thread only.
    /// @param handler Must outlive the server's connections.
    http_server(asio::io_context &context, http_handler &handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @param port 0 to let the system choose.
    /// @return The port in use, or a message that names the port and the reason.
    tl::expected<std::uint16_t, std::string> listen(std::uint16_t port);

    /// Refuses new connections until listen is called again; open connections stay.
    void stopListening();

    /// @return True while new connections are accepted.
    [[nodiscard]] bool listening() const { return m_acceptor.is_open(); }

    /// Closes all connections.
    void closeConnections(bool reset);

    /// @param action Called for each open connection.
    template<typename Action>
    void forEachConnection(Action action)
    {
        for (const auto &[number, connection] : m_connections) {
            action(*connection);
        }
    }

    /// @return Number of open connections.
    [[nodiscard]] std::size_t connectionCount() const { return m_connections.size(); }

    /// Forgets a connection; the handler calls it from onClose.
    void forget(const std::shared_ptr<http_connection> &connection) { m_connections.erase(connection->number()); }

private:
    void accept();

    http_handler &m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<std::uint64_t, std::shared_ptr<http_connection>> m_connections;
    std::uint64_t m_accepted = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orioledrum::standin
