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

/// Entry host to which calls to a group are sent.
struct group_route {
    entry_host_id owner; ///< Assumed holder of the group's lease; may be out of date. Empty when unknown.
    std::string address; ///< "ip:port" at which other entry hosts reach the owner; empty when unknown.
};

/// Configuration, membership and routes as the request threads see them. Immutable; the control thread publishes a new state after
/// each change.
struct routing_state {
    std::shared_ptr<const configuration> config; ///< Null before the first configuration.
    std::shared_ptr<const membership_view> view;
    std::unordered_map<backend_id, group_id> groupOf; ///< Group of each backend server of the configuration.
    std::unordered_map<group_id, group_route> routes;
    std::unordered_map<service_id, std::shared_ptr<const search_topology>> topologies; ///< For search services only.
    std::unordered_set<backend_id> leaving; ///< Backend servers that are marked as leaving in the host list.
    /// For each backend server that a configuration has moved to another group: the time before which no call is sent to it, because
    /// the lease of the new group does not exclude a host that still holds the lease of the old group.
    std::unordered_map<backend_id, time_point> callsBlockedUntil;

    /// @return True when the backend server is configured, its availability zone is in service and the host list does not mark it as
    /// leaving.
    [[nodiscard]] bool acceptsWork(const backend_id &backend) const;
    /// @return The "ip:port" at which peers reach the entry host, or an empty string when the host is unknown.
    [[nodiscard]] std::string addressOf(const entry_host_id &host) const;
};

/// @return The groups of backend servers of all services; a group never spans services or availability zones.
std::vector<backend_group> buildGroups(const configuration &config);

/// @param previous State whose topologies are reused if neither the configuration nor the leaving backend servers have changed; may be
/// null.
/// @return A state for the configuration and the membership view, with empty `routes` and `callsBlockedUntil`.
std::shared_ptr<routing_state>
buildRouting(std::shared_ptr<const configuration> config, std::shared_ptr<const membership_view> view, const routing_state *previous);

/// @param workers Number of workers, greater than 0.
/// @return Index of the worker that the group belongs to; the same on every host with this number of workers.
std::size_t workerIndexOfGroup(const group_id &group, std::size_t workers);

} // namespace orioledrum
