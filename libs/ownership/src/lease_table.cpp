#include <ownership/lease_table.h>

#include <algorithm>

namespace orioledrum
{

lease_table::lease_table(lease_state_map states, std::shared_ptr<share_state> shares, const lease_timing &timing)
    : m_states(std::move(states))
    , m_shares(std::move(shares))
    , m_timing(timing)
{
}

bool lease_table::isolationWaitOver(const lease_state &state, time_point now, std::optional<time_point> reachableSince) const
{
    if (state.inOtherZone() && !reachableSince) {
        return false;
    }
    const time_point waitStart = state.inOtherZone() ? std::max(*reachableSince, state.isolationWaitStart()) : state.isolationWaitStart();
    return now - waitStart >= m_timing.isolatedHolderWait;
}

bool lease_table::maySend(const group_id &group, time_point callEnd, time_point now, std::optional<time_point> reachableSince) const
{
    const std::optional<time_point> latest = latestCallEnd(group, now, reachableSince);
    return latest && now < callEnd && callEnd <= *latest;
}

std::optional<time_point> lease_table::latestCallEnd(const group_id &group, time_point now, std::optional<time_point> reachableSince) const
{
    const auto found = m_states.find(group);
    if (found == m_states.end()) {
        return std::nullopt;
    }
    const lease_state &state = *found->second;
    time_point end = state.expiry();
    if (!isolationWaitOver(state, now, reachableSince)) {
        end = std::min(end, state.zoneVotesUntil());
    }
    end = std::min(end - m_timing.deadlineGrace, now + m_timing.maxCallDuration);
    return end > now ? std::optional(end) : std::nullopt;
}

std::uint32_t lease_table::shareDivisor(const group_id &group, time_point now, std::optional<time_point> reachableSince) const
{
    const std::uint32_t divisor = m_shares->divisor(now);
    if (divisor == 0) {
        return 0;
    }
    const auto found = m_states.find(group);
    return found != m_states.end() && (!found->second->inOtherZone() || isolationWaitOver(*found->second, now, reachableSince)) ? divisor
                                                                                                                                : 0;
}

bool lease_table::holds(const group_id &group, time_point now) const
{
    const auto found = m_states.find(group);
    return found != m_states.end() && now < found->second->expiry();
}

std::shared_ptr<lease_state> lease_table::leaseState(const group_id &group) const
{
    const auto found = m_states.find(group);
    return found == m_states.end() ? nullptr : found->second;
}

void lease_table::revokeAll() const
{
    for (const auto &entry : m_states) {
        entry.second->revoke();
    }
    m_shares->revoke();
}

} // namespace orioledrum
