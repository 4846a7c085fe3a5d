#pragma once

#include <standin/http_connection.h>

#include <tl/expected.hpp>

#include <map>

namespace orioledrum::standin
{

/// HTTP/1.1 server on one loopback port. Owns the open connections of that port.
class http_server
{
public:
    /// @param context Runs the server; must be run by only one thread.
    /// @param handler Must outlive the connections of the server.
    http_server(asio::io_context &context, http_handler &handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @param port 0 lets the system choose a free port.
    /// @return The port listened on, or an error message that contains the port and the reason.
    tl::expected<std::uint16_t, std::string> listen(std::uint16_t port);

    /// Closes the listening socket. Open connections stay open; listen() starts listening again.
    void stopListening();

    /// @return True while the listening socket is open.
    [[nodiscard]] bool listening() const { return m_acceptor.is_open(); }

    /// @param reset True sends TCP resets instead of orderly closes.
    void closeConnections(bool reset);

    /// @param action Called for each open connection; must not close connections.
    template<typename Action>
    void forEachConnection(Action action)
    {
        for (const auto &[number, connection] : m_connections) {
            action(*connection);
        }
    }

    /// @return Number of open connections.
    [[nodiscard]] std::size_t connectionCount() const { return m_connections.size(); }

    /// Removes a closed connection. The handler must call it from onClose.
    void removeConnection(const std::shared_ptr<http_connection> &connection) { m_connections.erase(connection->number()); }

private:
    void accept();

    http_handler &m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<std::uint64_t, std::shared_ptr<http_connection>> m_connections;
    std::uint64_t m_acceptedCount = 0;
    /// False after destruction. A pending accept handler shares the flag and does nothing when it is false.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orioledrum::standin
