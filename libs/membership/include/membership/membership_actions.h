#pragma once

#include <wire/control_messages.h>

#include <string>
#include <variant>
#include <vector>

namespace orioledrum
{

/// Send the digest to the address and pass the digest in the answer to membership::receiveAnswer.
struct send_digest {
    std::string address;
    digest message;
};

/// The view has changed; publish the new membership::view().
struct view_changed {
};

/// The state of a host has become known or changed, or the host has restarted; pass the state to lease_manager::setPeerState.
struct host_state_changed {
    entry_host_id host;
    host_state state = host_state::live;
    bool restarted = false; ///< The host has a new incarnation.
};

/// A peer has a newer host list; pull the list from the peer's address.
struct fetch_host_list_from_address {
    std::string address;
    revision_number revision = 0;
};

/// A peer's configuration has another revision or hash than this host's. Nothing to do if the digest is also passed to
/// config_sync_machine::onDigest; otherwise pull the configuration if the peer's revision is greater.
struct config_differs {
    std::string address;
    revision_number revision = 0;
    std::uint64_t hash = 0;
};

using membership_action = std::variant<send_digest, view_changed, host_state_changed, fetch_host_list_from_address, config_differs>;
using membership_actions = std::vector<membership_action>;

} // namespace orioledrum
