#pragma once

#include <atomic>
#include <cstdint>

namespace orioledrum
{

/// The counters behind readPeerTraffic(). Updated once for each read, write or stream, from any thread.
struct peer_traffic_counters {
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> requestsSent{0};
    std::atomic<std::uint64_t> requestsReceived{0};
    std::atomic<std::uint64_t> connections{0};

    static peer_traffic_counters &ofProcess();

    static void add(std::atomic<std::uint64_t> &counter, std::uint64_t value) { counter.fetch_add(value, std::memory_order_relaxed); }
};

} // namespace orioledrum
