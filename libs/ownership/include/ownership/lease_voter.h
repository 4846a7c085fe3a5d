#pragma once

#include <ownership/lease_timing.h>

#include <wire/control_messages.h>

#include <optional>
#include <set>
#include <unordered_map>

namespace orioledrum
{

/// What this host's state allows its voter to do, and what it knows about the group of a request.
struct voter_conditions {
    bool grantsAllowed = true; ///< False while fixed shares are in use or their calls are in flight.
    bool isolated = false; ///< This host's zone counts as cut off from all others.
    revision_number roster = 0; ///< The adopted host list revision.
    time_point earliestGrant; ///< Before this time the group may not be granted under the adopted roster.
};

/// Grants leases of groups, each to one holder at a time, in memory.
class lease_voter
{
public:
    /// @param self This host. @param timing Periods. @param start When the process started.
    lease_voter(entry_host_id self, const lease_timing &timing, time_point start);

    /// Decides on a request. @param request The request. @param conditions State of this host. @param now Time of receipt.
    /// @return The answer; a refusal names the present holder if there is one.
    lease_answer answer(const lease_request &request, const voter_conditions &conditions, time_point now);

    /// Frees a grant that its holder gives back. Requests that the holder sent before the release are refused afterwards.
    /// @param release The message. @param now Time of receipt.
    /// @return Whether a grant was freed.
    bool release(const lease_release &release, time_point now);

    /// @param group The group. @param now The time.
    /// @return The host that holds a grant of this voter.
    [[nodiscard]] std::optional<entry_host_id> holderOf(const group_id &group, time_point now) const;

    /// @param group The group. @param now The time.
    /// @return Since when the group has been without a grant of this voter; nothing while there is one.
    [[nodiscard]] std::optional<time_point> freeSince(const group_id &group, time_point now) const;

    /// @param group The group. @return The host that had the last grant of this voter; null when none is remembered.
    [[nodiscard]] const entry_host_id *lastHolder(const group_id &group) const;

    /// @param group The group. @param host A host. @param now The time.
    /// @return Whether the host had a grant, let it expire or gave it back, and has not asked since.
    [[nodiscard]] bool relinquished(const group_id &group, const entry_host_id &host, time_point now) const;

    /// @param now The time.
    /// @return Whether any other host holds a grant of this voter.
    [[nodiscard]] bool grantedToOthers(time_point now) const;

    /// Drops what has no effect any more. @param now The time.
    void expire(time_point now);

private:
    struct grant_record {
        entry_host_id holder; ///< Holder of the last grant.
        incarnation_id incarnation;
        std::uint64_t sequence = 0;
        time_point until; ///< End of the last grant.
        entry_host_id releasedBy;
        incarnation_id releasedIncarnation;
        std::uint64_t releasedSequence = 0;
        bool ended = false; ///< The last grant has ended and its holder has been added to gaveUp.
        std::set<entry_host_id> relinquishedBy; ///< Hosts that let a grant expire or gave it back and have not asked since.
    };

    static void markEndedGrant(grant_record &grant, time_point now);

    entry_host_id m_self;
    lease_timing m_timing;
    time_point m_start;
    std::unordered_map<group_id, grant_record> m_grants;
};

} // namespace orioledrum
