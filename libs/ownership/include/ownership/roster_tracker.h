#pragma once

#include <ownership/lease_timing.h>
#include <ownership/roster.h>
#include <ownership/voter_set.h>

#include <vector>

namespace orioledrum
{

/// Stores the adopted roster and the replaced rosters under which other hosts may still hold leases.
class roster_tracker
{
public:
    explicit roster_tracker(const lease_timing &timing);

    /// Adopts a newer roster. @param next The roster. @param now The time.
    /// @return False when the revision is not newer; nothing changes then.
    bool adopt(roster next, time_point now);

    /// @return The adopted roster.
    [[nodiscard]] const roster &current() const { return m_current; }

    /// Returns the time from which the group may be granted or requested under the adopted roster. This is now if the group's
    /// quorums share a voter with the quorums of every roster replaced within the last lease + rosterLag; otherwise it is the
    /// time at which the latest conflicting roster was replaced, plus lease + rosterLag.
    /// @param group The group. @param voters Its voters under the adopted roster. @param now The time.
    /// @return The time; not after now when there is no need to wait.
    [[nodiscard]] time_point earliestGrant(const group_id &group, const voter_set &voters, time_point now) const;

    /// @return Whether a roster was replaced within the last lease + rosterLag.
    [[nodiscard]] bool inTransition(time_point now) const;

private:
    struct replaced_roster {
        roster hosts;
        time_point until;
    };

    lease_timing m_timing;
    roster m_current;
    std::vector<replaced_roster> m_replaced;
};

} // namespace orioledrum
