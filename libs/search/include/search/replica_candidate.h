#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// How a backend server compares with the others of its service for a further call, see replica_registry::candidates().
struct replica_candidate {
    backend_id id;
    std::string address; ///< "ip:port".
    zone_id zone;
    std::chrono::microseconds expected{0}; ///< Expected latency of the call.
    std::chrono::microseconds cost{0}; ///< The same with all penalties, without the random jitter of choose().
    std::uint32_t load = 0; ///< See replica::load().
    double callsAtATime = 0; ///< See replica::callsAtATime().
    double slowness = 1; ///< See replica::slowness().
    double workTimeFactor = 1; ///< See replica::workTimeFactor().
    double failureShare = 0; ///< See replica::failureShare().
    std::size_t outstandingCalls = 0; ///< Of this host.
    std::optional<std::size_t> callLimit; ///< On outstandingCalls; empty: none.
    std::optional<std::chrono::milliseconds> loadAge; ///< Of the latest reported load; empty: none was reported.
    std::optional<std::chrono::milliseconds> answerAge; ///< Of the latest answer to a call or probe; empty: none.
    /// Why it gets no call now: "excludedZone", "leaving", "quiet", "drained", "unreachable", "backoff", "firstAnswer" (a call after a
    /// quiet time is outstanding) or "callLimit". Empty when it may be called.
    std::vector<std::string_view> obstacles;
    /// What raises its cost or limits its calls: "otherZone", "stalled", "paused", "connections", "draining", "failures", "slow", "busy" (a
    /// call would wait in its queue) or "cold".
    std::vector<std::string_view> reasons;
};

} // namespace orioledrum
