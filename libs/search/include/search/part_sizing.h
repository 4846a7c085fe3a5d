#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace orioledrum
{

/// The processor capacity that is free on hosts, in thousandths of a processor; 0: not known.
struct free_capacity {
    std::uint32_t own = 0; ///< Of the host that divides the search.
    std::uint32_t typical = 0; ///< Median of the hosts that may gather parts.
    std::uint32_t strongest = 0; ///< Greatest of these hosts.
};

/// How a search is divided into parts that other hosts gather.
struct part_sizing {
    /// Number of shards in a part where processor time does not decide. On a host limited to a quarter of a processor, a larger part takes
    /// about 10 ms to send and another 10 ms to read.
    static constexpr std::size_t usualShardsPerPart = 16;
    /// Processor time that the gathering host needs for one shard; docs/CAPACITY.md has the measurements.
    static constexpr std::chrono::microseconds shardCost{130};
    /// Processor time that the dividing host needs for one part: a message to another host and its answer.
    static constexpr std::chrono::microseconds partCost{200};
    /// Share of the time until the target that the processor time of one part may take on a typical host. The rest is for the calls.
    static constexpr double maxPartTimeShare = 0.2;
    /// Only the strongest hosts gather when they have at least this multiple of the typical free capacity.
    static constexpr std::uint32_t strongFactor = 2;

    std::size_t shardsPerPart = usualShardsPerPart; ///< At least 1.
    bool strongHostsOnly = false; ///< Prefer the hosts with at least half of the greatest free capacity.
    bool delegates = true; ///< False when this host is as fast alone.

    /// @param shards Number of shards of the search.
    /// @param timeLeft Time until the target.
    /// @param minTimeLeft Time from which a search is divided when the capacities are not known.
    [[nodiscard]] static part_sizing
    of(std::size_t shards, std::chrono::microseconds timeLeft, std::chrono::microseconds minTimeLeft, const free_capacity &capacity);
};

} // namespace orioledrum
