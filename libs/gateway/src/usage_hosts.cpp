#include <usage_hosts.h>

#include <membership/membership.h>

#include <algorithm>
#include <unordered_map>

namespace orioledrum
{

namespace
{

/// Periods of membership by which the views of two hosts on one change may differ.
constexpr int noticePeriods = 4;
/// In larger fleets than membership_settings::scalingThreshold, digests do not carry each heartbeat to all hosts in time, and live hosts
/// are suspected: on average 0.5 by each of 118 hosts and 1.5 by each of 145. Only hosts that are down count as lost there.
bool suspicionCounts(const membership_view &view)
{
    return view.members.size() <= membership_settings().scalingThreshold;
}

usage_host_state toUsageState(host_state state, bool suspicion)
{
    switch (state) {
    case host_state::live:
        return usage_host_state::live;
    case host_state::leaving:
        return usage_host_state::leaving;
    case host_state::suspect:
        return suspicion ? usage_host_state::lost : usage_host_state::live;
    case host_state::down:
        return usage_host_state::lost;
    }
    return usage_host_state::lost;
}

} // namespace

std::vector<usage_host> usageHostsOf(const membership_view &view)
{
    std::vector<usage_host> hosts;
    hosts.reserve(view.members.size());
    const bool suspicion = suspicionCounts(view);
    for (const auto &member : view.members) {
        hosts.push_back({member.host, member.address, member.zone, toUsageState(member.state, suspicion), member.firstRun});
    }
    return hosts;
}

usage_fleet_times usageTimesOf(const membership_view &view)
{
    const membership_settings settings;
    std::unordered_map<zone_id, std::size_t> hostsOfZone;
    std::size_t largestZone = 0;
    for (const auto &member : view.members) {
        largestZone = std::max(largestZone, ++hostsOfZone[member.zone]);
    }
    const auto scale = std::max<std::size_t>(1, (largestZone + settings.scalingThreshold - 1) / settings.scalingThreshold);
    usage_fleet_times times;
    times.notice = settings.period * noticePeriods;
    times.establish =
        (suspicionCounts(view) ? settings.suspectAfter : settings.downAfter) * static_cast<std::int64_t>(scale) + times.notice;
    return times;
}

} // namespace orioledrum
