#pragma once

#include <ownership/lease_state.h>
#include <ownership/lease_timing.h>
#include <ownership/share_state.h>

#include <base/ids.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace orioledrum
{

/// The lease states of the groups for which this host is or was a voter. The map is immutable. The lease states are shared
/// with later tables, so that a revocation also reaches threads that still use an older table. Thread-safe.
class lease_table
{
public:
    using lease_state_map = std::unordered_map<group_id, std::shared_ptr<lease_state>>;

    /// @param states Lease states by group. @param shares Permission for fixed shares.
    lease_table(lease_state_map states, std::shared_ptr<share_state> shares, const lease_timing &timing);

    /// Decides whether a call to a backend server of the group may be sent. Call this immediately before each write.
    /// @param callEnd Deadline of the call by this host's clock; a call is refused when the deadline is not after now or more than
    /// lease_timing::maxCallDuration after now.
    /// @param now Must be read for this check, not reused from an earlier one.
    /// @param reachableSince Time since which the backend server has been reachable without a failure. Used only for a group
    /// of another zone; std::nullopt means that the backend server is unreachable.
    /// @return True when the lease lasts at least until callEnd plus lease_timing::deadlineGrace. Before the isolation wait is over
    /// (lease_timing::isolatedHolderWait), the votes of the group's zone must last as long, too.
    [[nodiscard]] bool
    maySend(const group_id &group, time_point callEnd, time_point now, std::optional<time_point> reachableSince = std::nullopt) const;

    /// Returns the latest deadline for which maySend is true; the caller shortens a later deadline to it.
    /// @param reachableSince As in maySend.
    /// @return The deadline; std::nullopt when no call may be sent.
    [[nodiscard]] std::optional<time_point>
    latestCallEnd(const group_id &group, time_point now, std::optional<time_point> reachableSince = std::nullopt) const;

    /// Returns the divisor of this host's fixed share of each backend server's capacity. Only a host without a reachable quorum
    /// uses fixed shares, in place of leases.
    /// @param reachableSince As in maySend.
    /// @return The number by which the slots and connections of each backend server are divided, rounding down;
    /// 0 when fixed shares are not in use, the group is not in the table, or the isolation wait of a group of another zone is not over.
    [[nodiscard]] std::uint32_t
    shareDivisor(const group_id &group, time_point now, std::optional<time_point> reachableSince = std::nullopt) const;

    /// @return Whether this host holds the lease. During the isolation wait, maySend can still be false.
    [[nodiscard]] bool holds(const group_id &group, time_point now) const;

    /// @return The lease state; null for a group that is not in the table.
    [[nodiscard]] std::shared_ptr<lease_state> leaseState(const group_id &group) const;

    /// Ends every lease and the use of fixed shares immediately, from any thread. The control thread can renew them
    /// afterwards.
    void revokeAll() const;

private:
    /// @return True when lease_timing::isolatedHolderWait has passed since lease_state::isolationWaitStart or, for a group of another zone,
    /// since reachableSince if that is later; false for such a group while reachableSince is empty (backend server unreachable).
    [[nodiscard]] bool isolationWaitOver(const lease_state &state, time_point now, std::optional<time_point> reachableSince) const;

    lease_state_map m_states;
    std::shared_ptr<share_state> m_shares;
    lease_timing m_timing;
};

} // namespace orioledrum
