#pragma once

#include <wire/control_messages.h>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace orioledrum
{

/// Send the batch to the peer and pass its answer to lease_manager::receiveAnswers.
struct send_lease_batch {
    entry_host_id to;
    lease_batch batch;
};

/// This host now holds the lease. lease_table decides which calls it allows.
struct lease_gained {
    group_id group;
    bool isolated = false; ///< Granted only by the hosts of a zone that is cut off from all others.
};

/// Why a lease was lost. revoked: by lease_manager::revokeAll. notIsolated: the lease was isolated, but the zone is not cut off.
enum class lease_loss : std::uint8_t { expired, revoked, notIsolated, groupRemoved };

/// @return "expired", "revoked", "notIsolated" or "groupRemoved".
std::string_view toString(lease_loss reason);

/// The lease has ended without a release. Another host may send calls under a lease of the group only after the deadlines of
/// this host's calls in flight have passed.
struct lease_lost {
    group_id group;
    lease_loss reason = lease_loss::expired;
};

/// A handover has started and new calls are no longer allowed. Call lease_manager::callsFinished when the last call in
/// flight has ended; otherwise the lease is released at the time when it would have expired.
struct handover_started {
    group_id group;
};

/// A lease message from another host names a newer host list revision than the adopted one. Fetch the list from that host.
struct fetch_host_list_from_host {
    entry_host_id from;
    revision_number revision = 0;
};

/// The use of fixed shares started or ended. After the end, call lease_manager::shareCallsFinished when the last call sent
/// under fixed shares has ended; otherwise the calls count as ended after lease_timing::maxCallDuration + deadlineGrace.
struct shares_changed {
    bool inUse = false;
};

using lease_action = std::variant<send_lease_batch, lease_gained, lease_lost, handover_started, fetch_host_list_from_host, shares_changed>;
using lease_actions = std::vector<lease_action>;

} // namespace orioledrum
