#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace orioledrum
{

/// Trade-off of a service between latency and coverage.
struct search_policy {
    double minCoverage = 1.0; ///< Share of the shards, 0 to 1, that must have answered before the wait for the others is limited.
    /// A run starts with the newest snapshot that at least this share of the shards holds, or with the most widely held one if
    /// none reaches the share. Unset: minCoverage. It is separate because a caller that accepts a low coverage still wants the
    /// snapshot that most shards hold.
    std::optional<double> pinCoverage;
    std::chrono::microseconds maxExtraWait{20000}; ///< Longest wait for the remaining shards once minCoverage is reached.
    /// Limits the wait for the remaining shards also to this multiple of the time from the start until minCoverage was reached;
    /// the shorter of the two limits applies. Unset, or minCoverage is met at the start: only
    /// maxExtraWait applies.
    std::optional<double> elapsedFactor;
    std::chrono::microseconds minHedgeDelay{2000}; ///< Shortest time between an attempt and its hedge.
    std::uint32_t maxAttempts = 4; ///< Limit on the attempts per shard, including hedges and retries; 1 to 8.
};

} // namespace orioledrum
