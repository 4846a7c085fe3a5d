#pragma once

#include <ownership/roster.h>

#include <wire/control_messages.h>

#include <string>
#include <vector>

namespace orioledrum
{

/// What this host believes about another entry host.
struct member {
    entry_host_id host;
    zone_id zone;
    std::string address; ///< "ip:port" for traffic between entry hosts.
    incarnation_id incarnation; ///< Empty when only the host list names the host.
    host_state state = host_state::suspect;
    bool self = false;
};

/// Immutable picture of the fleet for publishing to all threads.
struct membership_view {
    std::vector<member> members; ///< Ordered by id, this host included; hosts that are down are included as well.
    roster hosts; ///< Entry hosts of the platform's list.
    host_list platform; ///< The platform's list, with the backend servers; revision 0 when none is known.

    /// @return The entry for the host; null when it is unknown.
    [[nodiscard]] const member *find(const entry_host_id &host) const;
    /// @return The members in the zone whose state is live, ordered by id.
    [[nodiscard]] std::vector<const member *> liveInZone(const zone_id &zone) const;
};

} // namespace orioledrum
