#include <ownership/connectivity_tracker.h>

#include <ownership/voter_set.h>

#include <algorithm>

namespace orioledrum
{

connectivity_tracker::connectivity_tracker(entry_host_id self, zone_id zone, const lease_timing &timing, time_point start)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_timing(timing)
    , m_lastExternalContact(start)
    , m_externalContactSince(start)
    , m_quorumLastReachable(start)
{
}

void connectivity_tracker::recordPeerMessage(const entry_host_id &host, time_point now)
{
    m_lastMessageTimes[host] = now;
    const auto found = std::lower_bound(m_hostList.members.begin(),
                                        m_hostList.members.end(),
                                        host,
                                        [](const host_list_member &member, const entry_host_id &id) { return member.host < id; });
    // A message from a host that is not in the host list also counts as contact with another zone.
    if (found == m_hostList.members.end() || found->host != host || found->zone != m_zone) {
        recordExternalContact(now);
    }
}

bool connectivity_tracker::isReachable(const entry_host_id &host, time_point now) const
{
    const auto found = m_lastMessageTimes.find(host);
    return found != m_lastMessageTimes.end() && now - found->second <= m_timing.reachableTimeout;
}

void connectivity_tracker::recordPlatformAnswer(time_point now)
{
    recordExternalContact(now);
}

void connectivity_tracker::recordExternalContact(time_point now)
{
    if (now - m_lastExternalContact >= m_timing.externalContactGap) {
        m_externalContactSince = now;
    }
    m_lastExternalContact = now;
}

void connectivity_tracker::resetTimers(time_point now)
{
    m_lastExternalContact = now;
    m_externalContactSince = now;
    m_quorumLastReachable = now;
}

void connectivity_tracker::setHostList(const host_list_view &hosts, time_point now)
{
    m_hostList = hosts;
    m_hasOtherZones = m_hostList.hostsInZone(m_zone) < m_hostList.members.size();
    std::erase_if(m_lastMessageTimes, [&](const auto &entry) { return !m_hostList.contains(entry.first); });
    resetTimers(now);
}

void connectivity_tracker::tick(time_point now)
{
    // Larger fleets never use fixed shares, so they do not need the time of the last reachable quorum.
    if (m_hostList.members.size() <= maxVoters && reachesQuorum(now)) {
        m_quorumLastReachable = now;
    }
}

bool connectivity_tracker::isolated(time_point now) const
{
    return m_hasOtherZones && now - m_lastExternalContact >= m_timing.isolatedAfter;
}

std::size_t connectivity_tracker::reachableHosts(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_hostList.members.begin(), m_hostList.members.end(), [&](const host_list_member &member) {
            if (member.host == m_self) {
                return true;
            }
            const auto found = m_lastMessageTimes.find(member.host);
            return found != m_lastMessageTimes.end() && now - found->second < m_timing.reachableTimeout;
        }));
}

bool connectivity_tracker::reachesQuorum(time_point now) const
{
    return reachableHosts(now) >= m_hostList.members.size() / 2 + 1;
}

bool connectivity_tracker::sharesAllowed(time_point now) const
{
    const std::size_t hosts = m_hostList.members.size();
    if (hosts < 2 || hosts > maxVoters || !m_hostList.contains(m_self) || reachesQuorum(now)) {
        return false;
    }
    return hosts - 1 < hosts / 2 + 1 && now - m_quorumLastReachable >= m_timing.sharesAfter;
}

} // namespace orioledrum
