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

/// Settings of a peer_server.
struct peer_server_settings {
    std::string address = "127.0.0.1:0"; ///< "address:port"; port 0: the system chooses.
    bool reusePort = false; ///< SO_REUSEPORT: several servers, one for each thread, share the port.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; ///< A larger request is answered with tooLarge.
    std::size_t maxFrameBytes = std::size_t{4} * 1024 * 1024; ///< Largest frame of a reply.
    std::size_t maxBufferedBytes = std::size_t{16} * 1024 * 1024; ///< Frames of one reply that may wait to be sent.
    std::uint32_t maxStreams = 4096; ///< Open streams of one connection; clients queue further ones.
    std::chrono::milliseconds idleTimeout{5000}; ///< A connection that sends nothing, not even a PING, is closed.
};

/// Receives requests of peers over HTTP/2 without TLS (prior knowledge). Belongs to one io_context that one thread
/// runs; every function, including the destructor, is called on that thread (or while the io_context does not run).
class peer_server
{
public:
    using settings = peer_server_settings;

    /// Binds and listens.
    /// @param context Runs the server; must outlive it.
    /// @param settings Address and limits.
    /// @param handler Receives the requests; must outlive the server.
    /// @return The server, or an error whose peer is the address.
    static expected<std::unique_ptr<peer_server>> create(asio::io_context &context, const settings &settings, peer_handler &handler);

    /// Closes all connections; running replies become cancelled.
    ~peer_server();
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    /// @return The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// @return Open connections.
    [[nodiscard]] std::size_t connections() const;

    /// @return Requests that have been received and whose reply has not ended.
    [[nodiscard]] std::size_t openStreams() const;

    /// Stops accepting, announces the end with GOAWAY, lets running streams end and closes the connections.
    /// @param atMost Time after which the remaining connections are closed.
    /// @param done Called once: true when every stream ended in time.
    void shutdown(std::chrono::milliseconds atMost, std::function<void(bool)> done);

private:
    class impl;
    explicit peer_server(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace orioledrum
