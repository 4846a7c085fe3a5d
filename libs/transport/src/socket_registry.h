#pragma once

#include <asio/execution_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace orioledrum
{

class peer_close_watch;

/// Counts the accepted HTTP connections of one io_context, for the connection limit, and records those that wait for a request,
/// so that a graceful stop can close them.
class socket_registry : public asio::execution_context::service
{
public:
    using key_type = socket_registry;
    static asio::execution_context::id id;

    explicit socket_registry(asio::execution_context &context);

    void addConnection();
    void removeConnection();
    [[nodiscard]] std::size_t connectionCount() const;

    /// Records that a socket waits for data and has no partly received request.
    void addIdle(int descriptor);
    /// Must be called before the descriptor is closed.
    void removeIdle(int descriptor);

    /// Records that a socket waits for the rest of a request.
    /// @param since When the first bytes of the request arrived.
    void addUnfinished(int descriptor, std::chrono::steady_clock::time_point since);
    /// Must be called when the wait has ended, before the descriptor is closed.
    void removeUnfinished(int descriptor);

    /// Records that a socket waits until its client takes more bytes of a response.
    void addWriting(int descriptor);
    /// Must be called when the wait has ended, before the descriptor is closed.
    void removeWriting(int descriptor);

    /// Shuts down the sockets whose client has taken no byte for at least the given time.
    void shutdownStalledWrites(std::chrono::milliseconds after);

    /// Shuts down reading on the sockets that have been idle for at least the given time. Data that has already arrived is
    /// still read.
    void shutdownIdle(std::chrono::milliseconds idleFor);

    /// Shuts down the sockets that have waited for the rest of a request since at least the given time.
    void shutdownUnfinished(std::chrono::milliseconds after);

    /// Sets the watch of the connection whose input is being parsed on the calling thread. RESTinio calls the request handler
    /// while it parses, so that a new exchange can get the watch of its connection from currentWatch().
    /// @param watch The watch, or null when parsing has ended.
    static void setCurrentWatch(std::shared_ptr<peer_close_watch> watch);
    /// @return The watch of the connection whose input is being parsed on the calling thread, or null.
    [[nodiscard]] static std::shared_ptr<peer_close_watch> currentWatch();

private:
    void shutdown() noexcept override {}

    mutable std::mutex m_mutex;
    std::unordered_map<int, std::chrono::steady_clock::time_point> m_idle; ///< Start of the idle time by descriptor.
    std::unordered_map<int, std::chrono::steady_clock::time_point> m_unfinished; ///< Arrival of the first bytes by descriptor.
    std::unordered_map<int, std::chrono::steady_clock::time_point> m_writing; ///< Start of the pending write by descriptor.
    std::size_t m_connectionCount = 0;
};

} // namespace orioledrum
