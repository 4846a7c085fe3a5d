#pragma once

#include <ownership/lease_timing.h>

#include <wire/control_messages.h>

#include <optional>
#include <set>
#include <unordered_map>

namespace orioledrum
{

/// State of this host, and of the requested group, that limits what its voter may grant.
struct voter_conditions {
    bool grantsAllowed = true; ///< False while fixed shares (see lease_manager) are in use or calls sent under them are in flight.
    bool isolated = false; ///< The group is in this host's zone, and that zone counts as cut off from all others.
    revision_number hostListRevision = 0; ///< The adopted host list revision.
    time_point earliestGrant; ///< The group may not be granted under the adopted host list before this time.
};

/// Grants leases of groups, each to one holder at a time. Grants are kept in memory only.
class lease_voter
{
public:
    /// @param self This host. @param start When the process started.
    lease_voter(entry_host_id self, const lease_timing &timing, time_point start);

    /// Grants or refuses a request. @param conditions State of this host. @param now Time of receipt.
    /// @return The answer; a refusal names the current holder if there is one.
    lease_answer answer(const lease_request &request, const voter_conditions &conditions, time_point now);

    /// Ends a grant that its holder releases. Afterwards, requests that the holder sent before the release are refused, until
    /// another host's release for the group is received.
    /// @param now Time of receipt.
    /// @return Whether a grant was ended.
    bool release(const lease_release &release, time_point now);

    /// @return The host that holds this voter's grant; std::nullopt when there is none.
    [[nodiscard]] std::optional<entry_host_id> holderOf(const group_id &group, time_point now) const;

    /// @return The time since which this voter has had no grant for the group; std::nullopt while there is one. Without a record
    /// this is the end of lease_timing::initialGrantDelay, which may be in the future.
    [[nodiscard]] std::optional<time_point> freeSince(const group_id &group, time_point now) const;

    /// @return The host that had this voter's last grant; null without a record, empty when only releases were received.
    [[nodiscard]] const entry_host_id *lastHolder(const group_id &group) const;

    /// @return Whether the host's grant expired or the host sent a release, and the host has not sent a request since.
    [[nodiscard]] bool stoppedRequesting(const group_id &group, const entry_host_id &host, time_point now) const;

    /// @return Whether another host holds a grant of this voter for any group.
    [[nodiscard]] bool grantedToOthers(time_point now) const;

    /// Deletes the records of grants that ended 60 s ago or earlier.
    void deleteOldRecords(time_point now);

private:
    struct grant_record {
        entry_host_id holder; ///< Holder of the last grant.
        incarnation_id incarnation;
        std::uint64_t sequence = 0;
        time_point grantEnd; ///< End of the last grant; the time of the first release when there was no grant.
        entry_host_id releasedBy; ///< Sender of the last release received; empty without one.
        incarnation_id releasedIncarnation;
        std::uint64_t releasedSequence = 0;
        bool endRecorded = false; ///< recordEndedGrant() has added the holder of the last grant to stoppedHosts.
        /// Hosts that let a grant end or sent a release, and that have not sent a request since.
        std::set<entry_host_id> stoppedHosts;
    };

    static void recordEndedGrant(grant_record &grant, time_point now);

    entry_host_id m_self;
    lease_timing m_timing;
    time_point m_start;
    std::unordered_map<group_id, grant_record> m_grants;
};

} // namespace orioledrum
