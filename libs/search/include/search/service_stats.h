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

/// What the root knows about one backend server.
struct backend_record {
    backend_state state = backend_state::warm;
    bool excluded = false; ///< By the newest topology.
    std::uint32_t slots = 1;
    std::uint32_t slotsInUse = 0;
    std::uint32_t outstanding = 0; ///< Attempts of this thread without an answer.
    std::vector<snapshot_ref> held; ///< Sorted.
    bool heldKnown = false;
    float refusals = 0; ///< Decaying share of refused attempts.
    float queueMicros = 0; ///< Decaying mean of the wait at the owner.
    std::uint32_t consecutiveFailures = 0;
    bool ejected = false; ///< Gets only probes until it answers one.
    std::uint32_t failedProbes = 0; ///< Since the ejection, for the back-off.
    time_point ejectedSince;
    time_point drainingUntil; ///< No attempts before this time.
    time_point updated; ///< Latest outcome.
    time_point reported; ///< Latest news of the snapshots held.
    time_point nextProbe; ///< Earliest next attempt while ejected, draining or believed not to hold the snapshot.
    bool ownZone = false; ///< In the zone of this entry host.
};

/// The records of the backend servers of one topology.
struct backend_table {
    std::shared_ptr<const search_topology> topology;
    std::vector<backend_record> records; ///< By backend number.
    std::uint64_t version = 1; ///< Changes whenever held snapshots or availability change.
};

/// Shared by the runs of one service on one worker thread. Not thread-safe.
class service_stats
{
public:
    /// Budget of hedges as a share of first attempts until setHedgeShare is called.
    static constexpr double hedgeShare = 0.04;
    /// Service-wide budget of retries as a share of first attempts, on top of the bound per query.
    static constexpr double retryShare = 0.10;

    /// @param topology Topology of the service.
    /// @param ownZone Zone of this entry host.
    /// @param now Current time.
    service_stats(std::shared_ptr<const search_topology> topology, zone_id ownZone, time_point now);

    /// Replaces the topology. Records of backend servers in both are kept; running queries keep their layouts, but
    /// send nothing more to backend servers that the new topology excludes or no longer has.
    void setTopology(std::shared_ptr<const search_topology> topology, time_point now);

    /// @param share Budget of hedges as a share of first attempts, 0 to 1.
    void setHedgeShare(double share) { m_hedgeTokens.setShare(share); }

    /// Takes in what a backend server said about itself, also from late answers.
    void observe(const backend_id &backend, const backend_report &report, time_point now);

    /// @return The topology that new queries use.
    [[nodiscard]] const std::shared_ptr<const search_topology> &topology() const { return m_table->topology; }
    [[nodiscard]] const zone_id &ownZone() const { return m_ownZone; }

    /// @return Latency below which this share of attempts was answered, or nothing before enough samples.
    [[nodiscard]] std::optional<std::chrono::microseconds> latencyQuantile(double quantile) const;

    /// @return Time after which an unanswered attempt is hedged. It grows from the 95th percentile as the budget is
    /// used up, so that the budget is left to the slowest attempts.
    [[nodiscard]] std::chrono::microseconds hedgeDelay(std::chrono::microseconds minimum) const;

    /// @return The (snapshot, layout) pair to pin, or nothing while no snapshot is known.
    /// @param minCoverage The newest pair held by this share of shards is taken, else the one held by most shards.
    /// @param newerThan Only pairs with a greater snapshot number, for a restart.
    std::optional<snapshot_ref> choosePin(double minCoverage, std::optional<snapshot_ref> newerThan, time_point now);

    /// @return The record of a backend server, or null when the service has none of that name.
    [[nodiscard]] const backend_record *record(const backend_id &backend) const;

    /// Totals since the start, for metrics.
    struct totals {
        std::uint64_t firstAttempts = 0;
        std::uint64_t hedges = 0;
        std::uint64_t retries = 0;
        std::uint64_t ejections = 0;
        std::uint64_t droppedAnswers = 0; ///< Answers that matched no attempt.
    };
    [[nodiscard]] const totals &counts() const { return m_counts; }

private:
    friend class search_run;

    // Weights of evidence against a backend server without an answer between; it is ejected at the threshold.
    static constexpr std::uint32_t slowWeight = 1; // A hedge was faster; a fifth one in a row is unlikely by chance.
    static constexpr std::uint32_t failureWeight = 2;
    static constexpr std::uint32_t unreachableWeight = 3;
    static constexpr std::uint32_t ejectionThreshold = 5;

    struct pin_choice {
        snapshot_ref pin;
        double share = 0; // Share of the layout's shards with a replica that holds it.
    };
    // Pin chosen for one coverage at one version of the table.
    struct pin_cache {
        std::uint64_t version = 0;
        double minCoverage = 0;
        time_point until;
        std::optional<pin_choice> choice;
    };

    static std::shared_ptr<backend_table> makeTable(std::shared_ptr<const search_topology> topology, const zone_id &ownZone);
    std::optional<pin_choice>
    choosePinIn(const backend_table &table, double minCoverage, std::optional<snapshot_ref> newerThan, time_point now);
    static std::vector<pin_choice> collectPins(const backend_table &table, std::optional<snapshot_ref> newerThan, time_point now);
    static std::optional<pin_choice> selectPin(const std::vector<pin_choice> &choices, double minCoverage);
    static void applyReport(backend_table &table, backend_record &record, const backend_report &report, time_point now);
    void noteOutcome(backend_table &table, backend_record &record, const shard_answer &answer, time_point now);
    static void noteNotHeld(backend_table &table, backend_record &record, snapshot_ref snapshot, time_point now);
    void noteFailure(backend_table &table, backend_record &record, std::uint32_t weight, time_point now);
    void noteFirstAttempts(std::uint32_t count);
    bool takeHedgeToken();
    bool takeRetryToken();

    std::shared_ptr<backend_table> m_table;
    std::vector<std::weak_ptr<backend_table>> m_oldTables;
    zone_id m_ownZone;
    latency_histogram m_latency;
    token_bucket m_hedgeTokens;
    token_bucket m_retryTokens;
    pin_cache m_pinCache;
    totals m_counts;
};

} // namespace orioledrum
