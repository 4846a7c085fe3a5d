#pragma once

#include <base/error.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class peer_handler;

/// Listening address, limits and idle timeout of a peer_server.
struct peer_server_settings {
    std::string address = "127.0.0.1:0"; ///< "address:port"; port 0 lets the system assign a free port.
    bool reusePort = false; ///< Sets SO_REUSEPORT, so that several servers, one per thread, can share the port.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; ///< A larger request fails with tooLarge.
    std::size_t maxFrameBytes = std::size_t{4} * 1024 * 1024; ///< Maximum content size of one frame of a reply; a larger frame is not sent.
    /// Limit of the unsent bytes of one reply, frame headers included. A frame is always accepted when nothing is unsent.
    std::size_t maxBufferedBytes = std::size_t{16} * 1024 * 1024;
    std::uint32_t maxStreams = 4096; ///< Maximum open streams per connection; clients queue further streams.
    std::chrono::milliseconds idleTimeout{5000}; ///< A connection that receives nothing, not even a PING, for this long is closed.
};

/// Receives requests of peers over HTTP/2 without TLS (prior knowledge). Not thread-safe: belongs to one io_context
/// that one thread runs; every function, including the destructor, must be called on that thread (or while the
/// io_context does not run).
class peer_server
{
public:
    using settings = peer_server_settings;

    /// Binds the address and starts to listen.
    /// @param context Runs the server; must outlive it.
    /// @param handler Receives the requests; must outlive the server.
    /// @return The server, or an error with the address in error::peer.
    static expected<std::unique_ptr<peer_server>> create(asio::io_context &context, const settings &settings, peer_handler &handler);

    /// Closes all connections; open replies become cancelled.
    ~peer_server();
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    /// @return The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// @return Number of open connections.
    [[nodiscard]] std::size_t connections() const;

    /// @return Number of completely received requests whose reply has not been sent completely.
    [[nodiscard]] std::size_t openStreams() const;

    /// Stops accepting connections, announces the shutdown with GOAWAY, waits for open streams and closes the connections.
    /// @param timeout Time after which the remaining connections are closed.
    /// @param done Called once, unless the server is destroyed before: true when openStreams() became 0 in time.
    void shutdown(std::chrono::milliseconds timeout, std::function<void(bool)> done);

private:
    class impl;
    explicit peer_server(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace orioledrum
