#pragma once

#include <ownership/backend_group.h>
#include <ownership/lease_actions.h>
#include <ownership/lease_slot.h>
#include <ownership/lease_timing.h>
#include <ownership/voter_set.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace orioledrum
{

/// Requests, renews and gives back the lease of one group.
class lease_holder
{
public:
    /// @param self This host. @param incarnation This run. @param group The group. @param slot Where the lease is published.
    /// @param timing Periods. @param earlierCallsEndBy When the last call of an earlier lease of this run has ended at the latest.
    lease_holder(entry_host_id self,
                 incarnation_id incarnation,
                 group_id group,
                 std::shared_ptr<lease_slot> slot,
                 const lease_timing &timing,
                 time_point earlierCallsEndBy);

    /// Begins a round of requests. @param sequence Number of the round, greater than all before. @param roster Revision of
    /// the voters' roster. @param isolated Ask for a lease of a zone that is cut off. @param voters The present voters. @param now Time of
    /// sending.
    /// @return The request for each voter, or for each host of the zone.
    lease_request makeRequest(std::uint64_t sequence, revision_number roster, bool isolated, const voter_set &voters, time_point now);

    /// Takes a voter's answer. @param answer The answer. @param voters The present voters. @param now The time.
    /// @param actions Receives lease_gained and lease_lost.
    void receiveAnswer(const lease_answer &answer, const voter_set &voters, time_point now, lease_actions &actions);

    /// Ends the lease if its time has passed. @param now The time. @param actions Receives lease_lost.
    void expire(time_point now, lease_actions &actions);

    /// Ends the lease at once without giving it back. @param reason Why. @param now The time. @param actions Receives lease_lost.
    void revoke(lease_loss reason, time_point now, lease_actions &actions);

    /// Stops new calls in order to give the lease back. @param now The time. @param actions Receives handover_started when the lease is
    /// held.
    void beginHandover(time_point now, lease_actions &actions);

    /// Gives all grants back. The caller makes sure that no call is in flight. @param now The time.
    /// @return The message for each voter.
    lease_release makeRelease(time_point now);

    [[nodiscard]] bool held() const { return m_held; } ///< @return Whether the lease is held and calls are allowed.
    [[nodiscard]] bool heldIsolated() const { return m_held && m_isolated; } ///< @return Whether it is an isolated lease.
    [[nodiscard]] bool handingOver() const { return m_handingOver; } ///< @return Whether a handover waits for calls.
    /// Decides whether grants of a round that was not completed stand in the way of another host and should be given back: a
    /// quorum has granted the lease to that host, or it ranks before this one and this one cannot reach a quorum. Two rounds in
    /// a row must show this, because a voter may hear of a release later than this host.
    /// @param voters The present voters. @return Whether to give them back.
    [[nodiscard]] bool shouldReleaseGrants(const voter_set &voters) const;
    /// @return When the last call that a lease allowed has ended at the latest.
    [[nodiscard]] time_point callsEndBy() const { return m_callsEndBy; }
    [[nodiscard]] time_point lastRequestTime() const { return m_lastRequestTime; } ///< @return Time of the last round.
    /// @return The holder that a refusing voter named last; empty when none did.
    [[nodiscard]] const entry_host_id &namedHolder() const { return m_namedHolder; }

private:
    struct vote {
        time_point sent; ///< When the request that was granted was sent.
        bool isolated = false;
    };
    struct round {
        std::uint64_t sequence = 0;
        time_point sent;
        bool isolated = false;
    };

    void evaluate(const voter_set &voters, time_point now, lease_actions &actions);
    [[nodiscard]] bool contended(const voter_set &voters) const;
    [[nodiscard]] time_point quorumSentTime(const voter_set &voters, std::size_t among, std::size_t needed, bool isolated) const;

    entry_host_id m_self;
    incarnation_id m_incarnation;
    group_id m_group;
    std::shared_ptr<lease_slot> m_slot;
    lease_timing m_timing;
    std::unordered_map<entry_host_id, vote> m_votes;
    std::unordered_map<entry_host_id, entry_host_id> m_refusals; ///< Voters that refused the last round, and the holders they named.
    std::deque<round> m_rounds; ///< Rounds whose answers may still arrive, oldest first.
    std::uint64_t m_releasedSequence = 0; ///< Answers to rounds up to this one no longer count.
    time_point m_lastRequestTime;
    time_point m_callsEndBy;
    entry_host_id m_namedHolder;
    unsigned m_contendedRounds = 0; ///< Rounds in a row that failed because of another host.
    bool m_held = false;
    bool m_isolated = false;
    bool m_handingOver = false;
};

} // namespace orioledrum
