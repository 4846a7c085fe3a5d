#include <search/host_ranking.h>

#include <base/rendezvous.h>
#include <search/replica.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace orioledrum
{

namespace
{

/// Limit on the cached ranks, above the number of backend servers of a large deployment; ranks of those that have gone stay cached.
constexpr std::size_t maxCachedRanks = 50'000;

} // namespace

host_ranking::host_ranking(ranked_host self, std::vector<ranked_host> hosts, std::uint32_t assumedHosts, bool settled)
    : m_self(std::move(self))
    , m_others(std::move(hosts))
    , m_settled(settled)
{
    std::erase_if(m_others, [this](const ranked_host &host) { return host.id == m_self.id; });
    m_hostCount = std::max(assumedHosts, static_cast<std::uint32_t>(m_others.size() + 1));
}

limit_share host_ranking::shareOf(const replica_entry &server) const
{
    if (m_hostCount > m_others.size() + 1) {
        return {m_hostCount, m_hostCount - 1};
    }
    const auto cached = m_ranks.find(server.id);
    if (cached != m_ranks.end()) {
        return {m_hostCount, cached->second};
    }
    const auto position = [&](const ranked_host &host) {
        return std::tuple(host.zone == server.zone, rendezvousWeight(server.id.str(), host.id.str()), host.id);
    };
    const auto own = position(m_self);
    const auto rank = std::count_if(m_others.begin(), m_others.end(), [&](const ranked_host &host) { return position(host) > own; });
    if (m_ranks.size() >= maxCachedRanks) {
        m_ranks.clear();
    }
    return {m_hostCount, m_ranks[server.id] = static_cast<std::uint32_t>(rank)};
}

} // namespace orioledrum
