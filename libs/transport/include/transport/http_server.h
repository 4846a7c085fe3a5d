#pragma once

#include <base/error.h>
#include <transport/http_server_settings.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class http_handler;

/// HTTP/1.1 server with its own threads. Public functions may be called on any thread except the server's own.
class http_server
{
public:
    using settings = http_server_settings;

    /// Binds, listens and starts the threads.
    /// @param settings Address and limits.
    /// @param handler Receives the requests; must outlive the server.
    /// @return The running server, or an error whose peer is the address (for example when the port is in use).
    static expected<std::unique_ptr<http_server>> create(const settings &settings, http_handler &handler);

    /// Like create(), but on a context that the caller runs with one thread. All functions, including the destructor,
    /// are then called on that thread; settings::threads is ignored and stop() has no effect.
    /// @param context Runs the server; must outlive it and its exchanges.
    static expected<std::unique_ptr<http_server>> createOn(asio::io_context &context, const settings &settings, http_handler &handler);

    /// Stops without waiting for open requests.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @return The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// @return Number of requests that have not been answered yet.
    [[nodiscard]] std::size_t openRequests() const;

    /// Lets every further answer carry "Connection: close" while new connections are still accepted.
    void startDraining() { setDraining(true); }

    /// @param draining Whether answers carry "Connection: close".
    void setDraining(bool draining);

    /// Stops accepting new connections; open ones go on.
    void stopListening();

    /// @return Open connections of the servers on this context.
    [[nodiscard]] std::size_t connections() const;

    /// Ends the connections of the servers on this context that have waited for a request for at least this time.
    /// A request that has already arrived is still read and answered.
    void closeIdleConnections(std::chrono::milliseconds idleFor);

    /// Stops accepting, lets open requests finish and their answers be written, then ends the threads.
    /// @param atMost Time after which the requests that are still open are cut.
    /// @return True when every request was finished in time.
    bool stop(std::chrono::milliseconds atMost);

private:
    class impl;
    explicit http_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
