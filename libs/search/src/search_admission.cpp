#include <search/search_admission.h>

#include <search/replica_registry.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

/// @return Time until enough shards want calls again; 0 when it is not known.
std::chrono::milliseconds
timeUntilReachable(const replica_registry &registry, const std::vector<service_id> &shards, std::size_t requiredShards, time_point now)
{
    std::vector<time_point> times;
    for (const auto &shard : shards) {
        if (const auto from = registry.reachableFrom(shard, now)) {
            times.push_back(*from);
        }
    }
    if (times.size() < requiredShards) {
        return std::chrono::milliseconds(0);
    }
    std::sort(times.begin(), times.end());
    return std::chrono::ceil<std::chrono::milliseconds>(times[requiredShards - 1] - now);
}

} // namespace

search_admission search_admission::decide(const replica_registry &registry,
                                          const std::vector<service_id> &shards,
                                          const std::vector<bool> &relayed,
                                          std::size_t requiredShards,
                                          std::chrono::microseconds unqueuedLatency,
                                          std::chrono::microseconds untilTarget,
                                          time_point now)
{
    search_admission admission;
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        if (!registry.reachable(shards[shard], now)) {
            continue;
        }
        if (const auto time = relayed[shard] ? registry.expectedRelayTime(shards[shard], unqueuedLatency, now)
                                             : registry.expectedTime(shards[shard], unqueuedLatency, now)) {
            admission.shards.push_back({*time, shard});
        }
    }
    if (admission.shards.size() < requiredShards) {
        admission.result = verdict::notStarted;
        admission.reachableIn = timeUntilReachable(registry, shards, requiredShards, now);
        return admission;
    }
    std::sort(
        admission.shards.begin(), admission.shards.end(), [](const expected_shard &a, const expected_shard &b) { return a.time < b.time; });
    admission.expected = admission.shards[requiredShards - 1].time;
    const auto limit = static_cast<double>(untilTarget.count()) * refuseFactor;
    if (untilTarget.count() > 0 && static_cast<double>(admission.expected.count()) > limit) {
        admission.result = verdict::overloaded;
    }
    return admission;
}

} // namespace orioledrum
