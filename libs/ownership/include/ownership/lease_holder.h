#pragma once

#include <ownership/backend_group.h>
#include <ownership/lease_actions.h>
#include <ownership/lease_state.h>
#include <ownership/lease_timing.h>
#include <ownership/voter_set.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace orioledrum
{

/// Requests, renews and releases the lease of one group for this host. The object also exists while the lease is not held.
class lease_holder
{
public:
    /// @param self This host. @param incarnation Incarnation of this process.
    /// @param leaseState Receives the end of the lease, for request threads.
    /// @param earlierCallsEndBy Time by which all calls under this process's earlier leases of the group have ended.
    lease_holder(entry_host_id self,
                 incarnation_id incarnation,
                 group_id group,
                 std::shared_ptr<lease_state> leaseState,
                 const lease_timing &timing,
                 time_point earlierCallsEndBy);

    /// Starts a round: one request that the caller sends to several voters.
    /// @param sequence Number of the round, greater than every earlier number. @param hostListRevision Revision of the voters' host list.
    /// @param isolated Whether to request an isolated lease, which only hosts of a zone that is cut off grant.
    /// @param voters The current voters, used to evaluate the previous round. @param now Time of sending.
    /// @return The request to send to each voter, or for an isolated lease to each voter of the group's zone.
    lease_request
    makeRequest(std::uint64_t sequence, revision_number hostListRevision, bool isolated, const voter_set &voters, time_point now);

    /// Handles a voter's answer. Ignores answers during a handover, and answers to rounds that were released, revoked or dropped
    /// as too old.
    /// @param voters The current voters. @param actions Receives lease_gained and lease_lost.
    void receiveAnswer(const lease_answer &answer, const voter_set &voters, time_point now, lease_actions &actions);

    /// Discards grants requested lease_timing::lease ago or earlier, and ends the lease if it has expired.
    /// @param actions Receives lease_lost when the lease ends.
    void expire(time_point now, lease_actions &actions);

    /// Ends the lease or its handover immediately, without a release. Discards all grants and ignores later answers to earlier rounds.
    /// @param actions Receives lease_lost with the reason when the lease was held.
    void revoke(lease_loss reason, time_point now, lease_actions &actions);

    /// Stops new calls in preparation for releasing the lease. Has no effect when the lease is not held.
    /// @param actions Receives handover_started when the lease is held.
    void beginHandover(time_point now, lease_actions &actions);

    /// Releases all grants. The caller ensures that no call is in flight.
    /// @return The message to send to each voter.
    lease_release makeRelease(time_point now);

    [[nodiscard]] bool held() const { return m_held; } ///< @return Whether the lease is held; an expired one counts until expire().
    [[nodiscard]] bool heldIsolated() const { return m_held && m_isolated; } ///< @return Whether an isolated lease is held.
    [[nodiscard]] bool handingOver() const { return m_handingOver; } ///< @return Whether a started handover waits for the release.
    /// Decides whether the grants that this host has received, too few for a lease, block another host and should be released.
    /// That is so when a quorum has granted the lease to the other host, or when the other host ranks before this host and this
    /// host cannot get a quorum. Two rounds in a row must show this, because in the first a voter may still name a host whose
    /// release has reached this host but not that voter.
    /// @param voters The current voters. @return Whether to release the grants.
    [[nodiscard]] bool shouldReleaseGrants(const voter_set &voters) const;
    /// @return The time by which all calls under this and earlier leases have ended.
    [[nodiscard]] time_point callsEndBy() const { return m_callsEndBy; }
    [[nodiscard]] time_point lastRequestTime() const { return m_lastRequestTime; } ///< @return Time of the last round.
    /// @return The holder named in the last refusal; empty when it named none or the lease was gained since.
    [[nodiscard]] const entry_host_id &namedHolder() const { return m_namedHolder; }

private:
    /// A grant received from a voter.
    struct vote {
        time_point sent; ///< When the granted request was sent.
        bool isolated = false;
    };
    struct round {
        std::uint64_t sequence = 0;
        time_point sent;
        bool isolated = false;
    };

    void updateLease(const voter_set &voters, time_point now, lease_actions &actions);
    /// @return Whether the latest round shows that the grants received block another host, as described at shouldReleaseGrants.
    [[nodiscard]] bool contended(const voter_set &voters) const;
    /// Considers only votes of the first voterCount voters, for isolated or for normal leases.
    /// @return The sending time of the oldest request among the requiredVotes most recent votes; the epoch when there are fewer
    /// votes or requiredVotes is 0.
    [[nodiscard]] time_point
    quorumSentTime(const voter_set &voters, std::size_t voterCount, std::size_t requiredVotes, bool isolated) const;

    entry_host_id m_self;
    incarnation_id m_incarnation;
    group_id m_group;
    std::shared_ptr<lease_state> m_leaseState;
    lease_timing m_timing;
    std::unordered_map<entry_host_id, vote> m_votes;
    std::unordered_map<entry_host_id, entry_host_id> m_refusals; ///< Voters that refused the latest round, and the holders they named.
    std::deque<round> m_rounds; ///< Rounds whose answers may still arrive, oldest first.
    std::uint64_t m_releasedSequence = 0; ///< Answers to rounds up to this number are ignored.
    time_point m_lastRequestTime;
    time_point m_callsEndBy;
    entry_host_id m_namedHolder;
    unsigned m_contendedRounds = 0; ///< Consecutive rounds for which contended() was true.
    bool m_held = false;
    bool m_isolated = false;
    bool m_handingOver = false;
};

} // namespace orioledrum
