#pragma once

#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// How a service weighs latency against coverage.
struct search_policy {
    double minCoverage = 1.0; ///< Share of shards, 0 to 1, that makes an early answer acceptable.
    std::chrono::microseconds maxExtraWait{20000}; ///< Wait for the remaining shards once minCoverage is reached.
    std::chrono::microseconds minHedgeDelay{2000}; ///< No hedge before this time.
    std::uint32_t maxAttempts = 4; ///< Attempts per shard, hedges and retries included.
};

} // namespace orioledrum
