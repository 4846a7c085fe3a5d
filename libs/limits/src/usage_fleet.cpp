#include <limits/usage_fleet.h>

#include <base/rendezvous.h>

#include <algorithm>
#include <set>
#include <utility>

namespace orioledrum
{

usage_fleet::usage_fleet(entry_host_id self, zone_id zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

void usage_fleet::update(std::vector<usage_host> hosts, bool settled, usage_fleet_times times, time_point now)
{
    m_times = times;
    if (!settled) {
        m_settledAt.reset();
    } else if (!m_settledAt) {
        m_settledAt = now;
        m_firstSettledAt = m_firstSettledAt.value_or(now);
    }
    std::set<zone_id> zones;
    std::set<entry_host_id> ids;
    bool othersKnown = false;
    for (auto &host : hosts) {
        zones.insert(host.zone);
        ids.insert(host.id);
        m_allInFirstRun = m_allInFirstRun && host.firstRun && host.state != usage_host_state::lost;
        const auto [found, added] = m_hosts.try_emplace(host.id);
        auto &known = found->second;
        if (added) {
            known.liveSince = now;
            known.changedAt = now;
            othersKnown = true;
        } else if (known.host.state != host.state) {
            known.changedAt = now;
            // A host that leaves is not behind a partition, so one that returns from a planned restart stays established.
            known.liveSince = known.host.state == usage_host_state::lost ? now : known.liveSince;
        }
        known.host = std::move(host);
    }
    const auto removed = std::erase_if(m_hosts, [&](const auto &entry) { return !ids.contains(entry.first); });
    if (othersKnown || removed > 0) {
        m_rankings.clear();
        m_countChangedAt = now;
    }
    m_zoneCount = std::max<std::size_t>(1, zones.size());
    if (now - m_heardAt >= heardHostsLife) {
        m_countChangedAt = m_heardHosts > 0 ? now : m_countChangedAt;
        m_heardHosts = 0;
    }
    m_places.clear();
}

void usage_fleet::hearOfHosts(std::size_t knownHosts, time_point now)
{
    if (knownHosts >= m_heardHosts || now - m_heardAt >= heardHostsLife) {
        m_countChangedAt = knownHosts < m_heardHosts ? now : m_countChangedAt;
        m_heardHosts = knownHosts;
        m_heardAt = now;
        m_places.clear();
    }
}

void usage_fleet::restart(time_point now)
{
    if (m_settledAt) {
        m_settledAt = now;
    }
    for (auto &[id, known] : m_hosts) {
        known.liveSince = now;
        known.changedAt = now;
    }
    m_allInFirstRun = false;
    m_places.clear();
}

const usage_place &usage_fleet::placeOf(const std::string &organisation) const
{
    const auto [found, added] = m_places.try_emplace(organisation);
    if (added) {
        found->second = findPlace(organisation);
    }
    return found->second;
}

const std::vector<const usage_fleet::known_host *> &usage_fleet::rankingFor(const std::string &organisation) const
{
    const auto [found, added] = m_rankings.try_emplace(organisation);
    if (!added) {
        return found->second;
    }
    struct ranked_host {
        std::uint64_t weight = 0;
        const known_host *known = nullptr;
    };
    std::vector<ranked_host> ranking;
    ranking.reserve(m_hosts.size());
    for (const auto &[id, known] : m_hosts) {
        ranking.push_back({rendezvousWeight(organisation, id.str()), &known});
    }
    std::sort(ranking.begin(), ranking.end(), [](const ranked_host &left, const ranked_host &right) {
        return left.weight != right.weight ? left.weight > right.weight : left.known->host.id < right.known->host.id;
    });
    for (const auto &each : ranking) {
        found->second.push_back(each.known);
    }
    return found->second;
}

usage_place usage_fleet::findPlace(const std::string &organisation) const
{
    const auto &ranking = rankingFor(organisation);
    usage_place place;
    place.share.hosts = static_cast<std::uint32_t>(hostCount());
    place.certainFrom = settledAt();
    if (m_settledAt) {
        place.certainFrom += m_times.notice; // Until then, another host may act because it does not know this one.
    }
    bool waitsForLostHost = false;
    for (std::size_t rank = 0; rank < ranking.size(); ++rank) {
        const auto &known = *ranking[rank];
        const auto &host = known.host;
        if (host.id == m_self) {
            place.share.rank = static_cast<std::uint32_t>(rank);
        }
        if (place.owner) {
            if (place.ownerIsSelf && !place.earlierOwner && !waitsForLostHost && host.state == usage_host_state::live) {
                place.earlierOwner = host; // It was the owner before this host was known.
            }
        } else if (host.state == usage_host_state::live) {
            place.owner = host;
            place.ownerIsSelf = host.id == m_self;
        } else {
            if (m_settledAt) {
                place.certainFrom = std::max(place.certainFrom, known.changedAt + m_times.notice);
            }
            waitsForLostHost = waitsForLostHost || host.state == usage_host_state::lost;
            if (host.state == usage_host_state::leaving && !waitsForLostHost) {
                place.earlierOwner = host;
            }
        }
        if (!place.zoneOwner && host.zone == m_zone && host.state == usage_host_state::live) {
            place.zoneOwner = host;
            place.zoneOwnerIsSelf = host.id == m_self;
        }
    }
    if (!place.ownerIsSelf || waitsForLostHost) {
        place.earlierOwner.reset();
    }
    return place;
}

bool usage_fleet::startedTogether(time_point now) const
{
    return m_allInFirstRun && m_firstSettledAt && now - *m_firstSettledAt < 2 * m_times.establish;
}

double usage_fleet::establishedShare(time_point now) const
{
    if (startedTogether(now)) {
        return liveShare();
    }
    const auto established = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        const auto &known = entry.second;
        return entry.first == m_self || (known.host.state != usage_host_state::lost && now - known.liveSince >= m_times.establish);
    });
    return static_cast<double>(std::max<std::ptrdiff_t>(1, established)) / static_cast<double>(hostCount());
}

time_point usage_fleet::establishedSince(time_point now) const
{
    auto latest = m_countChangedAt;
    for (const auto &[id, known] : m_hosts) {
        const auto at = known.liveSince + m_times.establish;
        if (known.host.state != usage_host_state::lost && at <= now) {
            latest = std::max(latest, at);
        }
    }
    return latest;
}

double usage_fleet::liveShare() const
{
    const auto live = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        return entry.first == m_self || entry.second.host.state != usage_host_state::lost;
    });
    return static_cast<double>(std::max<std::ptrdiff_t>(1, live)) / static_cast<double>(hostCount());
}

} // namespace orioledrum
