#include <ownership/roster.h>

#include <algorithm>

namespace orioledrum
{

bool roster::contains(const entry_host_id &host) const
{
    const auto found = std::lower_bound(
        members.begin(), members.end(), host, [](const roster_member &member, const entry_host_id &id) { return member.host < id; });
    return found != members.end() && found->host == host;
}

std::size_t roster::hostsInZone(const zone_id &zone) const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const roster_member &member) { return member.zone == zone; }));
}

roster makeRoster(const host_list &list)
{
    roster result;
    result.revision = list.revision;
    for (const platform_host &host : list.hosts) {
        if (host.kind == host_kind::entryHost) {
            result.members.push_back({entry_host_id(host.id), host.zone});
        }
    }
    std::sort(result.members.begin(), result.members.end(), [](const roster_member &left, const roster_member &right) {
        return left.host < right.host;
    });
    const auto sameHost = [](const roster_member &left, const roster_member &right) { return left.host == right.host; };
    result.members.erase(std::unique(result.members.begin(), result.members.end(), sameHost), result.members.end());
    return result;
}

} // namespace orioledrum
