#pragma once

#include <ownership/roster.h>

#include <base/ids.h>

#include <cstddef>
#include <vector>

namespace orioledrum
{

/// Most voters of a group.
inline constexpr std::size_t maxVoters = 7;

/// The hosts that decide on the lease of one group under one roster. Only voters become owners.
struct voter_set {
    std::vector<entry_host_id> voters; ///< By rank: hosts of the group's zone first, each part in rendezvous order.
    std::size_t zoneVoters = 0; ///< The first zoneVoters voters are in the group's zone.
    std::size_t zoneHosts = 0; ///< Hosts of the roster in the group's zone.
    std::size_t rosterSize = 0; ///< Hosts of the roster.
    std::size_t quorum = 0; ///< Grants needed; 0 when the roster is empty.
    bool operator==(const voter_set &other) const = default;

    /// @return The rank of the host; voters.size() when it is no voter.
    [[nodiscard]] std::size_t rankOf(const entry_host_id &host) const;
    /// @return Whether the host is a voter.
    [[nodiscard]] bool isVoter(const entry_host_id &host) const { return rankOf(host) < voters.size(); }
    /// @return Whether every host of the roster votes.
    [[nodiscard]] bool allHostsVote() const { return rosterSize == voters.size(); }
    /// @return The grants that a zone cut off from all others needs; 0 when the zone reaches the quorum alone or has
    /// no host, and therefore never uses the isolated mode.
    [[nodiscard]] std::size_t isolatedQuorum() const;
};

/// @param hosts The roster.
/// @param group The group.
/// @return Its voters and quorum.
voter_set votersOf(const roster &hosts, const group_id &group);

/// @param before Voters under one roster. @param after Voters under another roster.
/// @return Whether each quorum of one shares a voter with each quorum of the other, also in the isolated mode.
bool quorumsIntersect(const voter_set &before, const voter_set &after);

} // namespace orioledrum
