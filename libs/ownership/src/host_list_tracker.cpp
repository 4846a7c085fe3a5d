#include <ownership/host_list_tracker.h>

#include <algorithm>

namespace orioledrum
{

host_list_tracker::host_list_tracker(const lease_timing &timing)
    : m_timing(timing)
{
}

bool host_list_tracker::adopt(host_list_view next, time_point now)
{
    if (next.revision <= m_current.revision) {
        return false;
    }
    std::erase_if(m_replaced, [&](const replaced_host_list &earlier) { return earlier.leasesEndBy <= now; });
    if (!m_current.members.empty()) {
        m_replaced.push_back({std::move(m_current), now + m_timing.lease + m_timing.hostListLag});
    }
    m_current = std::move(next);
    return true;
}

time_point host_list_tracker::earliestGrant(const group_id &group, const voter_set &voters, time_point now) const
{
    time_point earliest = now;
    for (const replaced_host_list &earlier : m_replaced) {
        if (earlier.leasesEndBy > earliest && !quorumsIntersect(votersOf(earlier.hosts, group), voters)) {
            earliest = earlier.leasesEndBy;
        }
    }
    return earliest;
}

bool host_list_tracker::inTransition(time_point now) const
{
    return std::any_of(m_replaced.begin(), m_replaced.end(), [&](const replaced_host_list &earlier) { return earlier.leasesEndBy > now; });
}

} // namespace orioledrum
