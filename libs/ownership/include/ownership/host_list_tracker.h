#pragma once

#include <ownership/host_list_view.h>
#include <ownership/lease_timing.h>
#include <ownership/voter_set.h>

#include <vector>

namespace orioledrum
{

/// Stores the adopted host list and the replaced host lists under which other hosts may still hold leases.
class host_list_tracker
{
public:
    explicit host_list_tracker(const lease_timing &timing);

    /// Adopts a newer host list.
    /// @return False when the revision is not newer; nothing changes then.
    bool adopt(host_list_view next, time_point now);

    /// @return The adopted host list.
    [[nodiscard]] const host_list_view &current() const { return m_current; }

    /// Returns the time from which the group's lease may be granted or requested under the adopted host list. This is now if the group's
    /// quorums share a voter with the quorums of every host list replaced within the last lease + hostListLag; otherwise it is the
    /// time at which the latest conflicting host list was replaced, plus lease + hostListLag.
    /// @param voters The group's voters under the adopted host list.
    /// @return The time; not after now when there is no need to wait.
    [[nodiscard]] time_point earliestGrant(const group_id &group, const voter_set &voters, time_point now) const;

    /// @return Whether a host list was replaced within the last lease + hostListLag.
    [[nodiscard]] bool inTransition(time_point now) const;

private:
    struct replaced_host_list {
        host_list_view hosts;
        time_point leasesEndBy; ///< Hosts may hold leases under this host list until this time.
    };

    lease_timing m_timing;
    host_list_view m_current;
    std::vector<replaced_host_list> m_replaced;
};

} // namespace orioledrum
