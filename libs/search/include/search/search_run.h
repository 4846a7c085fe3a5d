#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <base/random_source.h>
#include <search/search_action.h>
#include <search/search_policy.h>
#include <search/service_stats.h>
#include <wire/search_messages.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Parameters of one query.
struct search_input {
    request_id request;
    search_policy policy;
    std::uint32_t limit = 10; ///< Maximum number of hits to return.
    time_point deadline; ///< The result must be returned before this time.
};

/// The fan-out of one query at the root, the entry host that received the query. Not thread-safe. The statistics and the random
/// source must outlive it.
///
/// The root calls start(), passes in each event, and carries out the actions returned by takeActions() until finished().
class search_run
{
public:
    /// The result is returned at least this long before the deadline.
    static constexpr std::chrono::milliseconds answerMargin{5};
    /// The margin is at least the time from start to deadline divided by this, because a busy machine delays the result.
    static constexpr int answerMarginDivisor = 20;

    /// @param stats Statistics of the service. The query keeps the topology that is current on construction.
    /// @param random Random source for replica selection and jitter.
    search_run(search_input input, service_stats &stats, random_source &random);
    ~search_run();
    search_run(const search_run &) = delete;
    search_run &operator=(const search_run &) = delete;
    search_run(search_run &&) = delete;
    search_run &operator=(search_run &&) = delete;

    /// Pins a snapshot, so that all hits come from it, and sends the first attempts. When no snapshot is known, starts discovery:
    /// asks the backend servers which snapshots they hold.
    void start(time_point now);

    /// Handles an answer. It is dropped unless it matches an outstanding attempt in request, attempt, backend server and shard; a full
    /// or partial answer must also match in snapshot and layout. The report in a dropped answer to this request still updates the
    /// statistics.
    void handleAnswer(const request_id &request, shard_answer &&answer, time_point now);

    /// Handles an attempt that will not be answered: the owner of the backend server's group (the lease holder) is unknown or
    /// unreachable, or the stream of its answers was interrupted.
    /// @param code Cause, for example unreachable or notOwner.
    void handleAttemptFailure(std::uint64_t attempt, error_code code, time_point now);

    /// Cancels all attempts, for example because the caller disconnected. The finish_search action still returns the hits received so far.
    void cancel(time_point now);

    /// Handles due timers: retries, hedges and the end of waits. Call it at nextWakeup() or later.
    void wakeup(time_point now);

    /// @return Time of the next wakeup(), or nothing when the run is finished.
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /// @return True after the finish_search action has been produced.
    [[nodiscard]] bool finished() const { return m_finished; }

    /// Moves the pending actions to the end of `out`, in order.
    void takeActions(std::vector<search_action> &out);

    /// @return The pinned (snapshot, layout) pair. The snapshot number is 0 during discovery.
    [[nodiscard]] const snapshot_ref &pinned() const { return m_pinned; }

private:
    struct attempt_state;
    struct shard_state;

    // Resets the run, pins the snapshot and sends the first attempt for each shard.
    void startWithSnapshot(snapshot_ref ref, time_point now);
    void startDiscovery(time_point now);
    void sendDiscovery(std::uint32_t layoutIndex, std::uint32_t shard, time_point now);
    void updateDiscovery(time_point now);
    void handleDiscoveryFailure(const attempt_state &attempt, error_code code, time_point now);
    // True when a replica of the shard is neither excluded nor draining.
    [[nodiscard]] bool hasReplicaInService(std::uint32_t shard, time_point now) const;
    void sendFirst(std::uint32_t shard, time_point now);
    void send(std::uint32_t shard, std::uint32_t replica, attempt_kind kind, time_point now);
    [[nodiscard]] std::optional<std::uint32_t> chooseReplica(std::uint32_t shard, bool firstAttempt, bool allowRepeat, time_point now);
    void acceptAnswer(std::uint32_t shard, std::vector<hit> &&hits, time_point now);
    void endAttempt(attempt_state &attempt);
    void handleFailedAttempt(std::uint32_t shard, missing_reason reason, error_code code, time_point now);
    [[nodiscard]] static bool neverReachedBackend(error_code code);
    void scheduleRetry(std::uint32_t shard, time_point now);
    void sendRetries(time_point now);
    void sendHedges(time_point now);
    bool considerHedge(std::uint32_t attempt, time_point now);
    void giveUp(std::uint32_t shard, missing_reason reason, error_code code);
    void mergeHits(std::vector<hit> &&hits);
    void cancelAttempt(std::uint32_t attempt, time_point now);
    void cancelAll(time_point now);
    bool tryRestart(time_point now);
    void evaluateProgress(time_point now);
    // End of the wait for the remaining shards once the coverage of the policy is met. Valid while m_coverageMet is true.
    [[nodiscard]] time_point extraWaitEnd() const;
    void finish(time_point now);
    [[nodiscard]] attempt_state *findAttempt(std::uint64_t attempt);
    [[nodiscard]] const search_layout &layout() const;
    [[nodiscard]] time_point answerDeadline() const;

    search_input m_input;
    service_stats &m_stats;
    random_source &m_random;
    std::shared_ptr<backend_table> m_table;
    std::size_t m_layoutIndex = 0;
    snapshot_ref m_pinned;
    bool m_discovering = false;
    bool m_finished = false;
    bool m_coverageMet = false;
    std::vector<shard_state> m_shards;
    std::vector<attempt_state> m_attempts;
    std::uint64_t m_firstAttemptId = 1; // Id of m_attempts[0]. A restart increases it so that answers to earlier attempts never match.
    std::uint32_t m_requiredShards = 0; // Number of answered shards that meets the coverage of the policy.
    std::uint32_t m_answeredShards = 0;
    std::uint32_t m_givenUpShards = 0;
    std::uint32_t m_outstandingAttempts = 0;
    std::uint32_t m_overloadRefusals = 0;
    std::uint32_t m_retriesLeft = 0;
    std::uint32_t m_probesLeft = 0; // First attempts that may still be used as probes, see chooseReplica().
    std::chrono::microseconds m_hedgeDelay{0};
    std::uint32_t m_nextHedgeCandidate = 0; // Index in m_attempts; the attempts before it have been considered for a hedge.
    std::vector<std::uint32_t> m_delayedHedges; // Attempts whose hedge waits for budget or for a longer delay.
    time_point m_nextHedgeCheck;
    std::vector<std::uint32_t> m_scheduledRetries; // Shards with a retry that has not been sent yet.
    time_point m_startTime;
    time_point m_coverageMetAt; // Time at which the coverage of the policy was reached.
    time_point m_nextPinCheck; // Earliest next check for a snapshot to pin, during discovery or for a restart.
    time_point m_discoveryRoundEnd; // Then other replicas of the shards without an answer are asked.
    std::vector<bool> m_askedBackends; // By backend number; used during discovery.
    missing_reason m_discoveryReason = missing_reason::noReplica;
    error_code m_discoveryCode = error_code::unreachable;
    std::vector<hit> m_topHits; // Heap of the best hits so far, with the lowest-ranked of them in front.
    search_result m_result;
    std::vector<search_action> m_actions;
};

} // namespace orioledrum
