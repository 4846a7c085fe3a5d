#include <membership/membership_view.h>

#include <algorithm>

namespace orioledrum
{

const member *membership_view::find(const entry_host_id &host) const
{
    const auto found = std::lower_bound(
        members.begin(), members.end(), host, [](const member &entry, const entry_host_id &id) { return entry.host < id; });
    return found != members.end() && found->host == host ? &*found : nullptr;
}

std::vector<const member *> membership_view::liveInZone(const zone_id &zone) const
{
    std::vector<const member *> result;
    for (const member &entry : members) {
        if (entry.zone == zone && entry.state == host_state::live) {
            result.push_back(&entry);
        }
    }
    return result;
}

} // namespace orioledrum
