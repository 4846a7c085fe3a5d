#pragma once

#include <base/ids.h>

#include <cstddef>
#include <vector>

namespace orioledrum
{

/// Maximum number of backend servers that share one lease.
inline constexpr std::size_t maxGroupSize = 8;

/// Backend servers of one service in one zone that share one lease.
struct backend_group {
    group_id id; ///< "service/zone/index".
    zone_id zone;
    std::vector<backend_id> members; ///< Ordered by id.
    bool operator==(const backend_group &other) const = default;
};

/// Divides the backend servers of a service in a zone into the fewest groups of at most maxGroupSize members. Group
/// sizes differ by at most one. The result depends only on the set of names.
/// @param zone The availability zone of all the backend servers.
/// @param backends The backend servers, in any order; duplicates are ignored.
/// @return The groups, ordered by index.
std::vector<backend_group> partitionIntoGroups(const service_id &service, const zone_id &zone, std::vector<backend_id> backends);

/// Lists the backend servers whose group changed between two configurations. The lease of the new group does not
/// exclude the holder of the old group's lease. Nothing may therefore be sent to these backend servers until every host
/// has the new configuration and the leases held under the old one have expired.
/// @param before Groups of the old configuration.
/// @param after Groups of the new configuration.
/// @return Backend servers that are in both configurations under different group ids, ordered by id.
std::vector<backend_id> regroupedBackends(const std::vector<backend_group> &before, const std::vector<backend_group> &after);

/// Extracts the zone from a group id.
/// @return The zone; empty when the id contains fewer than two slashes.
zone_id zoneOfGroup(const group_id &group);

} // namespace orioledrum
