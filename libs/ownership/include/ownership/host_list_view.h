#pragma once

#include <wire/control_messages.h>

#include <cstddef>
#include <vector>

namespace orioledrum
{

/// An entry host of the host list, which can be a voter.
struct host_list_member {
    entry_host_id host;
    zone_id zone;
    bool operator==(const host_list_member &other) const = default;
};

/// The entry hosts of the platform's host list at one revision, ordered by id. Includes hosts that are leaving.
struct host_list_view {
    revision_number revision = 0; ///< 0 when no host list is known yet.
    std::vector<host_list_member> members;

    /// @return Whether the host is a member.
    [[nodiscard]] bool contains(const entry_host_id &host) const;
    /// @return The number of members in the zone.
    [[nodiscard]] std::size_t hostsInZone(const zone_id &zone) const;
};

/// Extracts the entry hosts from the platform's host list.
/// @return The host list; duplicates are removed.
host_list_view makeHostListView(const host_list &list);

} // namespace orioledrum
