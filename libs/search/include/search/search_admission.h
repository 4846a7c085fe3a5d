#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>

#include <chrono>
#include <cstddef>
#include <vector>

namespace orioledrum
{

class replica_registry;

/// Whether a search is started, by the times in which its shards are expected to answer.
struct search_admission {
    enum class verdict {
        admitted,
        notStarted, ///< Too few shards are reachable.
        overloaded, ///< Too few shards are expected to answer soon enough.
    };

    struct expected_shard {
        std::chrono::microseconds time{0};
        std::size_t shard = 0; ///< Position in the list of shards.
    };

    /// A search is refused when too few shards are expected to answer within this multiple of the time until the target.
    static constexpr double refuseFactor = 1.25;

    verdict result = verdict::admitted;
    std::vector<expected_shard> shards; ///< Those that are reachable, the fastest first.
    std::chrono::microseconds expected{0}; ///< Time until enough shards have answered; 0 with `notStarted`.
    std::chrono::milliseconds reachableIn{0}; ///< With `notStarted`: time until enough shards want calls again; 0 when it is not known.

    /// @param relayed By shard: another host gathers it.
    /// @param requiredShards How many have to answer; at least 1.
    /// @param untilTarget Not positive: the search is refused for no expected time.
    static search_admission decide(const replica_registry &registry,
                                   const std::vector<service_id> &shards,
                                   const std::vector<bool> &relayed,
                                   std::size_t requiredShards,
                                   std::chrono::microseconds unqueuedLatency,
                                   std::chrono::microseconds untilTarget,
                                   time_point now);
};

} // namespace orioledrum
