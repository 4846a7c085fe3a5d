#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace orioledrum
{

class configuration;
class search_topology;
struct backend_group;
struct membership_view;

/// Where calls to a group go.
struct group_route {
    entry_host_id owner; ///< Believed holder of the lease; empty when unknown.
    std::string address; ///< Its "ip:port" for peers; empty for this host.
};

/// What the request path reads. Immutable; the control thread publishes a new one after each change.
struct routing_state {
    std::shared_ptr<const configuration> config; ///< Null before the first revision.
    std::shared_ptr<const membership_view> view;
    std::unordered_map<backend_id, group_id> groupOf;
    std::unordered_map<group_id, group_route> routes;
    std::unordered_map<service_id, std::shared_ptr<const search_topology>> topologies;
    std::unordered_set<backend_id> leaving; ///< Backend servers that the host list calls leaving.
    /// Backend servers whose group changed with the configuration; nothing is sent to them before this time, because
    /// the lease of the new group does not exclude the holder of the old one.
    std::unordered_map<backend_id, time_point> regroupedUntil;

    /// @return True when the backend server may get new work as far as configuration and host list say.
    [[nodiscard]] bool acceptsWork(const backend_id &backend) const;
    /// @return The peer address of an entry host, or an empty string.
    [[nodiscard]] std::string addressOf(const entry_host_id &host) const;
};

/// Groups of all services of a configuration.
std::vector<backend_group> buildGroups(const configuration &config);

/// @param previous Reused for services whose topology did not change; may be null.
/// @return The state for a configuration and a view, with routes still empty.
std::shared_ptr<routing_state>
buildRouting(std::shared_ptr<const configuration> config, std::shared_ptr<const membership_view> view, const routing_state *previous);

/// @return The worker, below `workers`, that the group belongs to on every host with that many workers.
std::size_t workerIndexOfGroup(const group_id &group, std::size_t workers);

} // namespace orioledrum
