#include <search/search_topology.h>

#include <set>

namespace orioledrum
{

namespace
{

// search_run tracks the replicas that it has tried for a shard in a 64-bit mask.
constexpr std::size_t maxReplicas = 64;

} // namespace

expected<search_topology> search_topology::create(service_id service, std::vector<search_layout> layouts)
{
    const auto fail = [&service](std::string message) {
        return makeError(error_code::invalidArgument, "build topology of service " + service.str(), std::move(message));
    };
    if (layouts.empty()) {
        return fail("there is no layout");
    }
    search_topology topology;
    std::set<std::uint32_t> layoutNumbers;
    for (const auto &layout : layouts) {
        const auto name = "layout " + std::to_string(layout.number);
        if (!layoutNumbers.insert(layout.number).second) {
            return fail(name + " is listed twice");
        }
        if (layout.shards.empty()) {
            return fail(name + " has no shard");
        }
        std::set<shard_id> shards;
        auto &numbers = topology.m_numbers.emplace_back();
        for (const auto &shard : layout.shards) {
            if (!shards.insert(shard.id).second) {
                return fail("shard " + shard.id.str() + " is listed twice in " + name);
            }
            if (shard.replicas.size() > maxReplicas) {
                return fail("shard " + shard.id.str() + " of " + name + " has more than 64 replicas");
            }
            auto &shardNumbers = numbers.emplace_back();
            for (const auto &replica : shard.replicas) {
                const auto [found, added] =
                    topology.m_numberByBackend.try_emplace(replica.backend, static_cast<std::uint32_t>(topology.m_backends.size()));
                if (added) {
                    topology.m_backends.push_back(replica.backend);
                    topology.m_excluded.push_back(false);
                }
                if (replica.excluded) {
                    topology.m_excluded[found->second] = true;
                }
                shardNumbers.push_back(found->second);
            }
        }
    }
    topology.m_service = std::move(service);
    topology.m_layouts = std::move(layouts);
    return topology;
}

std::size_t search_topology::find(const backend_id &backend) const
{
    const auto found = m_numberByBackend.find(backend);
    return found == m_numberByBackend.end() ? m_backends.size() : found->second;
}

} // namespace orioledrum
