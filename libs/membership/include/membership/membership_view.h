#pragma once

#include <ownership/host_list_view.h>

#include <wire/control_messages.h>

#include <string>
#include <vector>

namespace orioledrum
{

/// This host's information about an entry host.
struct member {
    entry_host_id host;
    zone_id zone;
    std::string address; ///< "ip:port" for traffic between entry hosts.
    incarnation_id incarnation; ///< Empty when the host is known only from the host list.
    host_state state = host_state::suspect;
    bool self = false;
    /// The process started shortly before this host heard of it, and no host that it has met remembers an earlier run.
    bool firstRun = false;
};

/// Immutable snapshot of the fleet that can be published to all threads.
struct membership_view {
    std::vector<member> members; ///< Ordered by id. Includes this host and hosts that are down.
    host_list_view hosts; ///< Entry hosts of the platform's list.
    host_list platform; ///< The platform's list, including the backend servers; revision 0 when none has been received.

    /// @return The entry for the host; null when it is unknown.
    [[nodiscard]] const member *find(const entry_host_id &host) const;
    /// @return The members in the zone whose state is live, ordered by id.
    [[nodiscard]] std::vector<const member *> liveInZone(const zone_id &zone) const;
};

} // namespace orioledrum
