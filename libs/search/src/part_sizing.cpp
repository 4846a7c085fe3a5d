#include <search/part_sizing.h>

#include <algorithm>
#include <cmath>

namespace orioledrum
{

namespace
{

/// @return Microseconds that work takes on a host with this free capacity.
double timeOn(std::uint32_t millicores, double microseconds)
{
    return microseconds * 1000 / std::max(1U, millicores);
}

} // namespace

part_sizing part_sizing::of(std::size_t shards,
                            std::chrono::microseconds timeLeft,
                            std::chrono::microseconds minTimeLeft,
                            const free_capacity &capacity)
{
    part_sizing result;
    const bool known = capacity.own > 0 && capacity.typical > 0 && capacity.strongest > 0;
    if (!known || shards == 0) {
        result.delegates = timeLeft >= minTimeLeft;
        return result;
    }
    const auto count = static_cast<double>(shards);
    const auto shardTime = static_cast<double>(shardCost.count());
    const auto partTime = static_cast<double>(partCost.count());
    const auto budget = static_cast<double>(timeLeft.count()) * maxPartTimeShare;
    const auto usualParts = std::ceil(count / static_cast<double>(usualShardsPerPart));
    const auto usualShards = std::min(count, static_cast<double>(usualShardsPerPart));
    if (timeOn(capacity.typical, usualShards * shardTime) <= budget && timeOn(capacity.own, usualParts * partTime) <= budget) {
        result.delegates = timeLeft >= minTimeLeft;
        return result;
    }
    result.strongHostsOnly = capacity.strongest >= strongFactor * capacity.typical;
    const auto gathering = result.strongHostsOnly ? capacity.strongest : capacity.typical;
    // The time of the dividing host grows with the number of parts, that of a gathering host falls with it; the sum is least where both are
    // the same.
    const auto parts = std::clamp(std::round(std::sqrt(count * shardTime * capacity.own / (partTime * gathering))), 1.0, count);
    result.shardsPerPart = static_cast<std::size_t>(std::ceil(count / parts));
    const auto divided = timeOn(capacity.own, parts * partTime) + timeOn(gathering, count / parts * shardTime);
    result.delegates = divided < timeOn(capacity.own, count * shardTime);
    return result;
}

} // namespace orioledrum
