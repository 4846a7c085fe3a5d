#pragma once

#include <ownership/backend_group.h>
#include <ownership/connectivity_tracker.h>
#include <ownership/host_list_tracker.h>
#include <ownership/lease_actions.h>
#include <ownership/lease_holder.h>
#include <ownership/lease_table.h>
#include <ownership/lease_timing.h>
#include <ownership/lease_voter.h>

#include <base/rcu_cell.h>

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Identity of a host in the lease protocol.
struct lease_identity {
    entry_host_id self;
    zone_id zone;
    incarnation_id incarnation; ///< New for each run of the process.
};

/// The lease protocol of one entry host: its voter, the leases it holds or requests, and the fallbacks without a quorum, which
/// are the isolated mode and the fixed shares. The owner of a group is the host that holds the group's lease.
/// Only table() may be used outside the control thread. Messages to this host itself are handled internally.
///
/// The functions that handle events report the actions that the caller must carry out, in order. The caller calls tick() every
/// 100 ms and uses ownerOf() for routing.
class lease_manager
{
public:
    /// @param start When the process started.
    lease_manager(lease_identity identity, const lease_timing &timing, time_point start);

    /// Adopts the entry hosts of the platform's list; a revision that is not newer is ignored.
    lease_actions setHostList(const host_list_view &hosts, time_point now);
    /// Sets the groups of the configuration, for all zones. Leases of removed groups end immediately, without a release.
    lease_actions setGroups(const std::vector<backend_group> &groups, time_point now);
    /// Sets the state of another host as the membership reports it. A host that was never reported counts as live
    /// during the first 5 seconds of this process, and as suspect afterwards. A suspect or down host from which messages still
    /// arrive counts as live.
    lease_actions setPeerState(const entry_host_id &host, host_state state, time_point now);
    /// Records a message from a peer other than a lease message, such as a digest. @param host The sender. @param now Time of receipt.
    void recordPeerMessage(const entry_host_id &host, time_point now);
    /// Records an answer of the platform's services. @param now Time of receipt.
    void recordPlatformAnswer(time_point now);

    /// Answers a peer's batch of lease requests and releases. @param from The sender. @param now Time of receipt.
    /// @param actions Receives further actions to carry out. @return The answer to send back.
    lease_batch_answer receiveBatch(const entry_host_id &from, const lease_batch &batch, time_point now, lease_actions &actions);
    /// Handles a peer's answer to an earlier batch. @param from The sender. @param now Time of receipt.
    lease_actions receiveAnswers(const entry_host_id &from, const lease_batch_answer &answers, time_point now);
    /// Expires and requests leases, updates the fallbacks and starts handovers that are due.
    lease_actions tick(time_point now);

    /// Starts a handover of every lease, releases the grants of incomplete leases, ends the use of fixed shares and requests no
    /// further leases.
    lease_actions leave(time_point now);
    /// Starts a handover of one lease, which ends with its release. @param group The group; ignored when its lease is not held.
    lease_actions beginHandover(const group_id &group, time_point now);
    /// Reports that no call of a group in handover is in flight any more.
    lease_actions callsFinished(const group_id &group, time_point now);
    /// Reports that no call sent under fixed shares is in flight any more.
    lease_actions shareCallsFinished(time_point now);
    /// Ends all leases and the use of fixed shares immediately, without a release. Used when this host's configuration is stale
    /// (freshness_state::stale). Unless requests are disabled, too, the leases are requested again.
    lease_actions revokeAll(time_point now);
    /// Enables or disables lease requests, including renewals, and the use of fixed shares. The caller disables them until it is
    /// ready with a configuration, and while that configuration is stale. Held leases are not ended.
    /// @param enabled Whether to allow both; true after construction.
    void setRequestsEnabled(bool enabled) { m_requestsEnabled = enabled; }

    /// @return The host believed to hold the lease: this host if it holds the lease, else the holder recorded by this host's
    /// voter, else the holder named in a refusal within the last lease_timing::lease, else the first voter by rank that is
    /// available and has not stopped requesting the lease (lease_voter::stoppedRequesting). Empty when the group is unknown or
    /// there is no such voter.
    [[nodiscard]] entry_host_id ownerOf(const group_id &group, time_point now) const;
    /// @return The groups for which this host holds the lease.
    [[nodiscard]] std::vector<group_id> heldGroups(time_point now) const;
    /// @return Whether no lease is held and no handover is in progress, so that a leaving host may stop.
    [[nodiscard]] bool allLeasesReturned() const;
    /// @return Whether this host's zone counts as cut off from all others.
    [[nodiscard]] bool isolated(time_point now) const { return m_connectivity.isolated(now); }
    /// @return The voters of the group; null for an unknown group.
    [[nodiscard]] const voter_set *voters(const group_id &group) const;

    /// @return The published table for request threads; the reference is valid as long as this object. Thread-safe.
    [[nodiscard]] const rcu_cell<lease_table> &table() const { return m_table; }

private:
    /// Use of fixed shares. While draining, no new calls are sent under fixed shares, but earlier ones may be in flight.
    enum class shares_phase : std::uint8_t { off, inUse, draining };

    struct group_entry {
        backend_group group;
        voter_set voters;
        std::shared_ptr<lease_state> leaseState;
        std::unique_ptr<lease_holder> holder; ///< Null unless this host is or was a voter.
        std::size_t rank = 0; ///< Rank of this host; voters.voters.size() when it is not a voter.
        time_point earliestGrant; ///< The group's lease is neither granted nor requested before this time.
        time_point fastRetryUntil; ///< Until this time requests are repeated at the shorter interval lease_timing::retry.
        entry_host_id reportedHolder; ///< Holder named in the latest refusal that named one.
        time_point reportedHolderUntil; ///< reportedHolder is ignored from this time on.
        time_point preferredRequestSince; ///< Since when a preferred host, one ranked before this one, has requested the held lease.
        time_point preferredRequestAt; ///< Time of the latest of these requests.
    };
    using outbox = std::unordered_map<entry_host_id, lease_batch>;

    /// Restarts the timers and expires leases when the gap since the previous event indicates a pause of this process.
    void detectPause(time_point now, lease_actions &actions);
    /// Sets the isolation wait start of m_localZoneLeases to the start of the current period of contact with other zones or the
    /// platform; see lease_state::setIsolationWaitStart.
    void updateLocalIsolationWaits();
    /// Records a message of any kind from a host and updates the isolation waits that depend on it.
    void recordContact(const entry_host_id &host, time_point now);
    /// Recomputes the voters of all groups, except those of the unchanged zones, creates missing lease holders, starts handovers
    /// of leases for which this host is no longer a voter, and publishes a new table.
    void refreshGroups(const std::set<zone_id> &unchanged, time_point now, lease_actions &actions);
    void publishTable();
    [[nodiscard]] voter_conditions conditionsFor(const group_id &group, time_point now) const;
    /// @return Whether the host is leaving or not known to be live. Before it requests a lease, this host does
    /// not wait for such a host.
    [[nodiscard]] bool isUnavailable(const entry_host_id &host, time_point now) const;
    [[nodiscard]] bool usesIsolatedMode(const group_entry &entry, time_point now) const;
    [[nodiscard]] bool shouldRequest(const group_entry &entry, time_point now) const;
    /// Adds a request for the lease to the outbox if shouldRequest() allows it.
    void requestIfDue(group_entry &entry, time_point now, outbox &out);
    void releaseGrants(group_entry &entry, time_point now, outbox &out);
    lease_batch_answer answerBatch(const lease_batch &batch, time_point now, lease_actions &actions);
    void processAnswers(const lease_batch_answer &answers, time_point now, outbox &out, lease_actions &actions);
    /// Starts, renews or ends the use of fixed shares.
    void updateShares(time_point now, lease_actions &actions);
    /// Starts the handover of one lease to a preferred host that has requested it for lease_timing::failbackAfter.
    void startDueFailback(time_point now, lease_actions &actions);
    void handOverOrReleaseGrants(group_entry &entry, time_point now, outbox &out, lease_actions &actions);
    /// Passes the batch for this host to its voter and turns the other batches into send_lease_batch actions.
    void flush(outbox out, time_point now, lease_actions &actions);

    lease_identity m_identity;
    lease_timing m_timing;
    time_point m_start;
    time_point m_lastEventTime;
    host_list_tracker m_hostList;
    lease_voter m_voter;
    connectivity_tracker m_connectivity;
    std::unordered_map<group_id, group_entry> m_groups;
    std::vector<group_entry *> m_holderEntries; ///< The entries of m_groups that have a holder.
    std::unordered_map<entry_host_id, host_state> m_peers;
    std::unordered_map<zone_id, std::vector<std::shared_ptr<lease_state>>> m_otherZoneLeases; ///< By the zone of the group.
    std::vector<std::shared_ptr<lease_state>> m_localZoneLeases; ///< Of groups of this host's zone that can use the isolated mode.
    std::unordered_map<group_id, time_point> m_removedGroups; ///< Removed groups, and the time by which their calls have ended.
    std::shared_ptr<share_state> m_shareState;
    rcu_cell<lease_table> m_table;
    std::uint64_t m_sequence = 0;
    shares_phase m_sharesPhase = shares_phase::off;
    time_point m_sharesEnd; ///< Time by which all calls under fixed shares have ended.
    bool m_leaving = false;
    bool m_requestsEnabled = true;
    time_point m_lastFailback;
};

} // namespace orioledrum
