#include <ownership/host_list_view.h>

#include <algorithm>

namespace orioledrum
{

bool host_list_view::contains(const entry_host_id &host) const
{
    const auto found = std::lower_bound(
        members.begin(), members.end(), host, [](const host_list_member &member, const entry_host_id &id) { return member.host < id; });
    return found != members.end() && found->host == host;
}

std::size_t host_list_view::hostsInZone(const zone_id &zone) const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const host_list_member &member) { return member.zone == zone; }));
}

host_list_view makeHostListView(const host_list &list)
{
    host_list_view result;
    result.revision = list.revision;
    for (const platform_host &host : list.hosts) {
        if (host.kind == host_kind::entryHost) {
            result.members.push_back({entry_host_id(host.id), host.zone});
        }
    }
    std::sort(result.members.begin(), result.members.end(), [](const host_list_member &left, const host_list_member &right) {
        return left.host < right.host;
    });
    const auto sameHost = [](const host_list_member &left, const host_list_member &right) { return left.host == right.host; };
    result.members.erase(std::unique(result.members.begin(), result.members.end(), sameHost), result.members.end());
    return result;
}

} // namespace orioledrum
