#include <search/relay_selector.h>

#include <base/rendezvous.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace orioledrum
{

namespace
{

/// Limit on the stored rankings. There is one for each zone and set of shards, unless route tables change quickly.
constexpr std::size_t maxRankings = 64;

} // namespace

std::uint32_t relay_host::freeMillicores() const
{
    constexpr std::uint32_t wholePercent = 100;
    const auto freePercent = wholePercent - std::min(wholePercent, capacity.usedPercent);
    // A host in full use is still known.
    return capacity.millicores == 0 ? 0 : std::max(1U, capacity.millicores * freePercent / wholePercent);
}

relay_selector::relay_selector(std::string self, random_source random)
    : m_self(std::move(self))
    , m_random(random)
{
}

void relay_selector::setHosts(const std::vector<relay_host> &hosts)
{
    std::map<std::string, relay_state> updated;
    for (const auto &host : hosts) {
        const auto existing = m_hosts.find(host.address);
        auto &state = updated[host.address];
        if (existing != m_hosts.end()) {
            state = existing->second;
        }
        state.zone = host.zone;
        state.freeMillicores = host.freeMillicores();
    }
    m_rankings.clear();
    m_hosts = std::move(updated);
}

free_capacity relay_selector::freeCapacity(const std::vector<zone_id> &zones) const
{
    free_capacity result;
    std::vector<std::uint32_t> values;
    for (const auto &[address, state] : m_hosts) {
        if (address == m_self) {
            result.own = state.freeMillicores;
        }
        if (std::find(zones.begin(), zones.end(), state.zone) != zones.end() && state.freeMillicores > 0) {
            values.push_back(state.freeMillicores);
        }
    }
    if (values.empty()) {
        return result;
    }
    std::sort(values.begin(), values.end());
    result.typical = values[values.size() / 2];
    result.strongest = values.back();
    return result;
}

const std::vector<relay_selector::part_ranking> &
relay_selector::rankings(const zone_id &zone, const std::vector<std::string> &partNames, bool strongHostsOnly)
{
    if (m_rankings.size() >= maxRankings) {
        m_rankings.clear();
    }
    const auto [found, created] = m_rankings.try_emplace({zone, partNames, strongHostsOnly});
    if (!created) {
        return found->second;
    }
    struct ranked_host {
        bool weak = false; // Not a candidate as long as there are others.
        std::size_t parts = 0; // Number of earlier parts for which it is a candidate.
        std::uint64_t weight = 0;
        relay_entry *entry = nullptr;
    };
    std::vector<relay_entry *> hosts;
    for (auto &entry : m_hosts) {
        if (entry.second.zone == zone) {
            hosts.push_back(&entry);
        }
    }
    std::uint32_t strongest = 0;
    for (const auto *entry : hosts) {
        strongest = std::max(strongest, entry->second.freeMillicores);
    }
    const auto isWeak = [&](const relay_entry *entry) { return strongHostsOnly && entry->second.freeMillicores * 2 < strongest; };
    const auto strongCount = hosts.size() - static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), isWeak));
    const auto hostCount = std::max<std::size_t>(1, strongCount);
    const auto candidateCount = std::min(hostCount, std::max(minCandidates, (hostCount + partNames.size() - 1) / partNames.size()));
    std::map<const relay_entry *, std::size_t> partsOfHost;
    for (const auto &name : partNames) {
        std::vector<ranked_host> ranked;
        ranked.reserve(hosts.size());
        for (auto *entry : hosts) {
            ranked.push_back({isWeak(entry), partsOfHost[entry], rendezvousWeight(name, entry->first), entry});
        }
        std::sort(ranked.begin(), ranked.end(), [](const ranked_host &left, const ranked_host &right) {
            return std::tuple(left.weak, left.parts, right.weight) < std::tuple(right.weak, right.parts, left.weight);
        });
        auto &ranking = found->second.emplace_back();
        ranking.candidateCount = candidateCount;
        ranking.strongCount = strongCount;
        for (const auto &host : ranked) {
            if (ranking.hosts.size() < candidateCount) {
                ++partsOfHost[host.entry];
            }
            ranking.hosts.push_back(host.entry);
        }
    }
    return found->second;
}

std::vector<relay_selector::relay_entry *>
relay_selector::candidates(const part_ranking &ranking, time_point now, const std::vector<std::string> &used)
{
    std::vector<relay_entry *> available;
    for (std::size_t rank = 0; rank < ranking.hosts.size() && available.size() < ranking.candidateCount; ++rank) {
        if (rank >= ranking.strongCount && !available.empty()) {
            break;
        }
        if (now >= ranking.hosts[rank]->second.backoffUntil) {
            available.push_back(ranking.hosts[rank]);
        }
    }
    const auto isUsed = [&](const relay_entry *entry) { return std::find(used.begin(), used.end(), entry->first) != used.end(); };
    if (!std::all_of(available.begin(), available.end(), isUsed)) {
        std::erase_if(available, isUsed);
    }
    return available;
}

std::optional<relay_host> relay_selector::choose(const std::vector<zone_id> &zones,
                                                 const std::vector<std::string> &partNames,
                                                 std::size_t part,
                                                 time_point now,
                                                 const std::vector<std::string> &used,
                                                 bool strongHostsOnly)
{
    // Choose a zone first and then a host in it, so that the backend servers of each zone get the same share of the work
    // however many hosts the zone has.
    std::vector<std::vector<relay_entry *>> candidatesByZone;
    for (const auto &zone : zones) {
        auto zoneCandidates = candidates(rankings(zone, partNames, strongHostsOnly)[part], now, used);
        if (!zoneCandidates.empty()) {
            candidatesByZone.push_back(std::move(zoneCandidates));
        }
    }
    if (candidatesByZone.empty()) {
        return std::nullopt;
    }
    auto &zoneCandidates = candidatesByZone[m_random.below(candidatesByZone.size())];
    const auto self =
        std::find_if(zoneCandidates.begin(), zoneCandidates.end(), [this](const auto *entry) { return entry->first == m_self; });
    if (self != zoneCandidates.end()) {
        return relay_host{m_self, (*self)->second.zone};
    }
    // Start at a random position, so that the candidates with the fewest outstanding searches are equally likely.
    const auto first = zoneCandidates.begin() + static_cast<std::ptrdiff_t>(m_random.below(zoneCandidates.size()));
    std::rotate(zoneCandidates.begin(), first, zoneCandidates.end());
    const auto *chosen = *std::min_element(zoneCandidates.begin(), zoneCandidates.end(), [](const auto *left, const auto *right) {
        return left->second.outstanding < right->second.outstanding;
    });
    return relay_host{chosen->first, chosen->second.zone};
}

void relay_selector::sent(const std::string &address)
{
    if (const auto found = m_hosts.find(address); found != m_hosts.end()) {
        ++found->second.outstanding;
    }
}

void relay_selector::ended(const std::string &address)
{
    const auto found = m_hosts.find(address);
    if (found != m_hosts.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
    }
}

void relay_selector::failed(const std::string &address, time_point now)
{
    const auto found = m_hosts.find(address);
    if (found == m_hosts.end() || now < found->second.backoffUntil) {
        return; // Searches that were already sent to the host may fail as well; together they count as one failure.
    }
    found->second.backoffUntil = now + found->second.nextBackoff;
    found->second.nextBackoff = std::min(maxBackoff, found->second.nextBackoff * 2);
}

void relay_selector::silent(const std::string &address, time_point now)
{
    const auto found = m_hosts.find(address);
    if (found == m_hosts.end() || now < found->second.backoffUntil) {
        return;
    }
    failed(address, now);
    const auto &zone = found->second.zone;
    const auto self = m_hosts.find(m_self);
    const bool ownZone = self != m_hosts.end() && self->second.zone == zone;
    if (!ownZone && ++m_silentHosts[zone] >= silentHosts) {
        for (const auto &[other, state] : m_hosts) {
            if (state.zone == zone) {
                failed(other, now);
            }
        }
    }
}

void relay_selector::answered(const std::string &address)
{
    if (const auto found = m_hosts.find(address); found != m_hosts.end()) {
        found->second.nextBackoff = initialBackoff;
        m_silentHosts.erase(found->second.zone);
    }
}

} // namespace orioledrum
