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

/// This host now holds the lease; calls are allowed as far as lease_table says.
struct lease_gained {
    group_id group;
    bool isolated = false; ///< Granted by the hosts of a zone that is cut off.
};

/// Why a lease ended.
enum class lease_loss : std::uint8_t { expired, revoked, notIsolated, groupRemoved };

/// @return "expired", "revoked", "notIsolated" or "groupRemoved".
std::string_view toString(lease_loss reason);

/// The lease has ended without being given back; calls in flight end by themselves before another host gets it.
struct lease_lost {
    group_id group;
    lease_loss reason = lease_loss::expired;
};

/// No new calls are allowed; call lease_manager::callsFinished when the last call in flight has ended.
struct handover_started {
    group_id group;
};

/// A voter refused because it has a newer host list; fetch it from that host.
struct host_list_wanted {
    entry_host_id from;
    revision_number revision = 0;
};

/// The use of fixed shares began or ended. After the end call lease_manager::shareCallsFinished when the last call sent
/// under shares has ended.
struct shares_changed {
    bool inUse = false;
};

using lease_action = std::variant<send_lease_batch, lease_gained, lease_lost, handover_started, host_list_wanted, shares_changed>;
using lease_actions = std::vector<lease_action>;

} // namespace orioledrum
