#pragma once

#include <ownership/lease_timing.h>
#include <ownership/roster.h>
#include <ownership/voter_set.h>

#include <vector>

namespace orioledrum
{

/// Holds the adopted roster and the earlier ones under which leases may still be held elsewhere.
class roster_tracker
{
public:
    explicit roster_tracker(const lease_timing &timing);

    /// Adopts a newer roster. @param next The roster. @param now The time.
    /// @return False when the revision is not newer; nothing changes then.
    bool adopt(roster next, time_point now);

    /// @return The adopted roster.
    [[nodiscard]] const roster &current() const { return m_current; }

    /// Tells when the group may be granted or requested under the adopted roster: at once when its quorums share a voter
    /// with those of every roster replaced within the last lease + rosterLag, else after that time.
    /// @param group The group. @param voters Its voters under the adopted roster. @param now The time.
    /// @return The time; not after now when nothing has to be waited out.
    [[nodiscard]] time_point earliestGrant(const group_id &group, const voter_set &voters, time_point now) const;

    /// @return Whether an earlier roster is still within its waiting time.
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
