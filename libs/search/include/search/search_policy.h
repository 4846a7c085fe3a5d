#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace orioledrum
{

/// How a service weighs latency against coverage.
struct search_policy {
    double minCoverage = 1.0; ///< Share of shards, 0 to 1, that makes an early answer acceptable.
    /// Share of the shards that must hold a newer snapshot before it is pinned. Unset: minCoverage. A caller that accepts a
    /// low coverage still wants the snapshot that most shards hold.
    std::optional<double> pinCoverage;
    std::chrono::microseconds maxExtraWait{20000}; ///< Wait for the remaining shards once minCoverage is reached.
    /// The same wait as a multiple of the time that reaching minCoverage took; the shorter of the two holds. Unset: no bound.
    std::optional<double> elapsedFactor;
    std::chrono::microseconds minHedgeDelay{2000}; ///< No hedge before this time.
    std::uint32_t maxAttempts = 4; ///< Attempts per shard, hedges and retries included.
};

} // namespace orioledrum
