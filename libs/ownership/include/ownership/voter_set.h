#pragma once

#include <ownership/host_list_view.h>

#include <base/ids.h>

#include <cstddef>
#include <vector>

namespace orioledrum
{

/// Maximum number of voters of a group.
inline constexpr std::size_t maxVoters = 7;

/// The hosts that grant the lease of one group under one host list. Only voters can hold the lease.
struct voter_set {
    std::vector<entry_host_id> voters; ///< By rank: hosts of the group's zone, then of other zones, both in rendezvous order.
    std::size_t zoneVoters = 0; ///< The first zoneVoters voters are in the group's zone.
    std::size_t zoneHosts = 0; ///< Number of listed hosts in the group's zone.
    std::size_t hostListSize = 0; ///< Number of hosts in the host list.
    std::size_t quorum = 0; ///< Number of grants required for a lease; 0 when the host list is empty.
    bool operator==(const voter_set &other) const = default;

    /// @return The rank of the host; voters.size() when it is not a voter.
    [[nodiscard]] std::size_t rankOf(const entry_host_id &host) const;
    /// @return Whether the host is a voter.
    [[nodiscard]] bool isVoter(const entry_host_id &host) const { return rankOf(host) < voters.size(); }
    /// @return Whether every listed host is a voter.
    [[nodiscard]] bool allHostsVote() const { return hostListSize == voters.size(); }
    /// @return The number of grants required for an isolated lease, which the zone's hosts grant alone while the zone is cut
    /// off from all others. 0 when the zone never uses the isolated mode, because its voters are a quorum by themselves or it
    /// has no host.
    [[nodiscard]] std::size_t isolatedQuorum() const;
};

/// Selects the voters of a group.
/// @return The voters and the quorum.
voter_set votersOf(const host_list_view &hosts, const group_id &group);

/// @param before Voters under one host list. @param after Voters under another host list.
/// @return Whether each quorum of one set shares a voter with each quorum of the other, and each isolated quorum with each isolated
/// quorum. When the zone uses the isolated mode under one host list only, its isolated quorums are compared with the normal quorums of
/// the other if that list has hosts in the zone. True when one of the host lists is empty.
bool quorumsIntersect(const voter_set &before, const voter_set &after);

} // namespace orioledrum
