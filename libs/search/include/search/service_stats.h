#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <limits/token_bucket.h>
#include <search/latency_histogram.h>
#include <search/search_topology.h>
#include <wire/search_messages.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace orioledrum
{

/// State of one backend server as seen by one worker thread of the root.
struct backend_record {
    backend_state state = backend_state::warm;
    bool excluded = false; ///< Gets no new attempts according to the newest topology.
    std::uint32_t slots = 1; ///< Latest reported limit on concurrent calls.
    std::uint32_t slotsInUse = 0; ///< Latest reported number of slots in use.
    std::uint32_t outstanding = 0; ///< Outstanding attempts of this thread.
    std::vector<snapshot_ref> heldSnapshots; ///< Snapshots that the backend server can search, sorted.
    bool heldSnapshotsKnown = false; ///< False until a report or a refusal gives information about the held snapshots.
    float refusalShare = 0; ///< Moving average of the share of attempts refused as overloaded, deadlineExceeded or notReady.
    float meanQueueMicros = 0; ///< Moving average of the queue time at the owner, in microseconds.
    std::uint32_t failureScore = 0; ///< Sum of the failure weights since the latest full or partial answer.
    bool ejected = false; ///< Gets only probes until its next full or partial answer; exception: see search_run::chooseReplica().
    std::uint32_t failuresSinceEjection = 0; ///< Determines the probe backoff.
    time_point ejectedSince;
    time_point drainingUntil; ///< No attempts before this time.
    time_point lastOutcomeAt; ///< Time of the latest answer to an attempt.
    time_point lastReportAt; ///< Time of the latest information about the held snapshots.
    time_point nextProbe; ///< Earliest next probe while ejected, draining, or not known to hold the snapshot.
    bool localZone = false; ///< In the availability zone of this entry host.
};

/// Records of the backend servers of one topology.
struct backend_table {
    std::shared_ptr<const search_topology> topology;
    std::vector<backend_record> records; ///< By backend number.
    std::uint64_t version = 1; ///< Incremented whenever the held snapshots or the availability of a backend server change.
};

/// Statistics, budgets and backend records of one service, shared by its search runs on one worker thread. Not thread-safe.
class service_stats
{
public:
    /// Hedge budget as a share of the first attempts, used until setHedgeShare is called.
    static constexpr double defaultHedgeShare = 0.04;
    /// Retry budget of the service as a share of the first attempts. Each query has a retry limit as well.
    static constexpr double retryShare = 0.10;

    /// @param localZone Availability zone of this entry host.
    service_stats(std::shared_ptr<const search_topology> topology, zone_id localZone, time_point now);

    /// Replaces the topology. Backend servers that are in both topologies keep their records. Running queries keep the
    /// layouts with which they started, but send no further attempts to backend servers that the new topology excludes or does not contain.
    void setTopology(std::shared_ptr<const search_topology> topology, time_point now);

    /// @param share Hedge budget as a share of the first attempts, 0 to 1.
    void setHedgeShare(double share) { m_hedgeTokens.setTokensPerCall(share); }

    /// Updates the record of a backend server from its report. Reports of late answers count as well.
    void recordReport(const backend_id &backend, const backend_report &report, time_point now);

    /// @return Topology used by new queries.
    [[nodiscard]] const std::shared_ptr<const search_topology> &topology() const { return m_table->topology; }
    [[nodiscard]] const zone_id &localZone() const { return m_localZone; }

    /// @param quantile Share of the attempts, 0 to 1.
    /// @return Latency within which this share was answered, or nothing with fewer than 100 samples.
    [[nodiscard]] std::optional<std::chrono::microseconds> latencyQuantile(double quantile) const;

    /// @return Time after which an unanswered attempt is hedged. It rises from the 95th towards the 99th percentile of the
    ///     latency as the budget is used up, so that the remaining budget goes to the slowest attempts. 20 ms with fewer than 100
    ///     samples. Not below `minimum`.
    [[nodiscard]] std::chrono::microseconds hedgeDelay(std::chrono::microseconds minimum) const;

    /// Chooses the newest (snapshot, layout) pair that is held by enough shards.
    /// @param minCoverage Required share of the shards. If no pair reaches it, the pair held by most shards is chosen;
    ///     of equals, the newest.
    /// @param newerThan Considers only pairs with a greater snapshot number than this; used for a restart.
    /// @return The pair to pin, or nothing while no snapshot is known.
    std::optional<snapshot_ref> chooseSnapshot(double minCoverage, std::optional<snapshot_ref> newerThan, time_point now);

    /// @return Record of a backend server, or null when the topology does not contain it.
    [[nodiscard]] const backend_record *findRecord(const backend_id &backend) const;

    /// Counters since construction.
    struct totals {
        std::uint64_t firstAttempts = 0;
        std::uint64_t hedges = 0;
        std::uint64_t retries = 0;
        std::uint64_t ejections = 0;
        std::uint64_t droppedAnswers = 0; ///< Answers that matched no outstanding attempt.
    };
    [[nodiscard]] const totals &counts() const { return m_counts; }

private:
    friend class search_run;

    // A backend server is ejected when the failure weights since its latest full or partial answer add up to ejectionThreshold.
    // slowWeight counts an attempt that was cancelled after the hedge delay, usually because a hedge was faster. Five of these in a row are
    // unlikely by chance.
    static constexpr std::uint32_t slowWeight = 1;
    static constexpr std::uint32_t failureWeight = 2;
    static constexpr std::uint32_t unreachableWeight = 3;
    static constexpr std::uint32_t ejectionThreshold = 5;

    // A (snapshot, layout) pair that a query could pin.
    struct snapshot_candidate {
        snapshot_ref ref;
        double share = 0; // Share of the shards of the layout that have a replica which holds the snapshot.
    };
    // The pair chosen for one minimum coverage and one version of the table.
    struct choice_cache {
        std::uint64_t version = 0;
        double minCoverage = 0;
        time_point validUntil;
        std::optional<snapshot_candidate> choice;
    };

    static std::shared_ptr<backend_table> makeTable(std::shared_ptr<const search_topology> topology, const zone_id &localZone);
    std::optional<snapshot_candidate>
    chooseCandidate(const backend_table &table, double minCoverage, std::optional<snapshot_ref> newerThan, time_point now);
    static std::vector<snapshot_candidate>
    collectCandidates(const backend_table &table, std::optional<snapshot_ref> newerThan, time_point now);
    static std::optional<snapshot_candidate> selectCandidate(const std::vector<snapshot_candidate> &candidates, double minCoverage);
    static void applyReport(backend_table &table, backend_record &record, const backend_report &report, time_point now);
    void recordOutcome(backend_table &table, backend_record &record, const shard_answer &answer, time_point now);
    static void removeHeldSnapshot(backend_table &table, backend_record &record, snapshot_ref snapshot, time_point now);
    void recordFailure(backend_table &table, backend_record &record, std::uint32_t weight, time_point now);
    // Counts first attempts and adds their share to the hedge and retry budgets.
    void recordFirstAttempts(std::uint32_t count);
    bool takeHedgeToken();
    bool takeRetryToken();

    std::shared_ptr<backend_table> m_table;
    std::vector<std::weak_ptr<backend_table>> m_oldTables; // Tables that running queries may still use.
    zone_id m_localZone;
    latency_histogram m_latency;
    token_bucket m_hedgeTokens;
    token_bucket m_retryTokens;
    choice_cache m_choiceCache;
    totals m_counts;
};

} // namespace orioledrum
