#pragma once

#include <atomic>
#include <cstdint>

namespace orioledrum
{

/// Counters that readPeerTraffic() returns. Updated on any thread, once per read, write, stream or connection.
struct peer_traffic_counters {
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> requestsSent{0};
    std::atomic<std::uint64_t> requestsReceived{0};
    std::atomic<std::uint64_t> connections{0}; ///< Currently open connections.

    /// @return The counters of this process.
    static peer_traffic_counters &instance();

    static void add(std::atomic<std::uint64_t> &counter, std::uint64_t value) { counter.fetch_add(value, std::memory_order_relaxed); }
};

} // namespace orioledrum
