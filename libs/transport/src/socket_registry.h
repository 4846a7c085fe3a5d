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

/// Knows the server sockets of one io_context, so that a graceful stop can end the ones that wait for a request.
class socket_registry : public asio::execution_context::service
{
public:
    using key_type = socket_registry;
    static asio::execution_context::id id;

    explicit socket_registry(asio::execution_context &context);

    void opened();
    void closed();
    [[nodiscard]] std::size_t open() const;

    /// Records that a socket without an unfinished request waits for data.
    void addIdle(int descriptor);
    /// Must be called before the descriptor is closed.
    void removeIdle(int descriptor);

    /// Ends the reading side of the sockets that have been idle for at least the given time. Data that has already
    /// arrived is still read.
    void shutdownIdle(std::chrono::milliseconds idleFor);

    /// Names the connection whose input is being parsed on the calling thread; requests are handled inside that.
    /// @param watch Its watch, or null when parsing has ended.
    static void setReading(std::shared_ptr<peer_close_watch> watch);
    /// @return The watch of the connection whose input is being parsed on the calling thread, or null.
    [[nodiscard]] static std::shared_ptr<peer_close_watch> reading();

private:
    void shutdown() noexcept override {}

    mutable std::mutex m_mutex;
    std::unordered_map<int, std::chrono::steady_clock::time_point> m_idle;
    std::size_t m_open = 0;
};

} // namespace orioledrum
