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

/// HTTP/1.1 server. With create() it runs its own threads, and its functions may be called on any thread except these.
class http_server
{
public:
    using settings = http_server_settings;

    /// Binds the address, listens and starts the threads.
    /// @param handler Receives the requests; must outlive the server.
    /// @return The running server, or an error whose `peer` is the address (for example when the port is in use).
    static expected<std::unique_ptr<http_server>> create(const settings &settings, http_handler &handler);

    /// Like create(), but on an io_context that the caller runs with one thread. All functions, including the destructor,
    /// must then be called on that thread; settings::threads is ignored, and stop() does not wait but only
    /// reports whether all requests were answered.
    /// @param context Runs the server; must outlive the server and its exchanges.
    static expected<std::unique_ptr<http_server>> createOn(asio::io_context &context, const settings &settings, http_handler &handler);

    /// Stops the server without waiting for outstanding requests.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @return The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// @return Number of requests whose response has not been written yet.
    [[nodiscard]] std::size_t openRequests() const;

    /// Adds "Connection: close" to all further responses. New connections are still accepted.
    void startDraining() { setDraining(true); }

    /// @param draining Whether further responses contain "Connection: close".
    void setDraining(bool draining);

    /// Stops accepting new connections. Open connections are not affected.
    void stopListening();

    /// @return Number of open connections of all servers on the same io_context.
    [[nodiscard]] std::size_t connections() const;

    /// @return Bytes that the clients of all servers on the same io_context make the process hold; see settings::memoryBudget.
    [[nodiscard]] std::size_t heldBytes() const;

    /// Closes the connections of all servers on the same io_context that have waited for a request for at least `idleFor`.
    /// A request that has already arrived is still read and answered.
    void closeIdleConnections(std::chrono::milliseconds idleFor);

    /// Closes the connections of all servers on the same io_context on which a head began to arrive at least `headTime` ago and is
    /// incomplete, or whose incomplete body has grown by less than 1 KiB for at least `bodyTime`. Their clients receive a 408. Callers that
    /// send very slowly, or stop in the middle of a request, would otherwise keep descriptors in use. 0: no limit.
    void closeUnfinishedRequests(std::chrono::milliseconds headTime, std::chrono::milliseconds bodyTime);

    /// Closes the connections of all servers on the same io_context whose client has taken no byte of a response for at least `after`.
    void closeStalledResponses(std::chrono::milliseconds after);

    /// Starts draining, stops accepting connections, waits until all requests are answered and all connections are closed, then
    /// ends the threads.
    /// @param timeout Time after which the remaining requests are aborted.
    /// @return True when all requests were answered and all connections closed in time. When the server was stopped before or
    /// was created by createOn(): true when no request is outstanding.
    bool stop(std::chrono::milliseconds timeout);

private:
    class impl;
    explicit http_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
