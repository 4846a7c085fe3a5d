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

/// What a caller asks for.
struct search_input {
    request_id request;
    search_policy policy;
    std::uint32_t limit = 10; ///< Number of hits wanted.
    time_point deadline; ///< The answer must have been given by then.
};

/// The fan-out of one query at the root. Not thread-safe; stats and random must outlive it.
///
/// The root calls start, then passes in each event and carries out the actions of takeActions, until finished.
class search_run
{
public:
    /// Time before the deadline at which the answer is given at the latest.
    static constexpr std::chrono::milliseconds answerMargin{5};
    /// With longer deadlines the margin is the deadline divided by this, since a busy machine delays the answer itself.
    static constexpr int answerMarginDivisor = 20;

    /// @param input The query.
    /// @param stats Statistics of the service; its topology at this moment is used for the whole query.
    /// @param random Source for replica choice and jitter.
    search_run(search_input input, service_stats &stats, random_source &random);
    ~search_run();
    search_run(const search_run &) = delete;
    search_run &operator=(const search_run &) = delete;
    search_run(search_run &&) = delete;
    search_run &operator=(search_run &&) = delete;

    /// Pins a snapshot and sends the first attempts.
    void start(time_point now);

    /// An answer arrived. One that matches no outstanding attempt in request, attempt, backend server, shard,
    /// snapshot and layout is dropped, apart from what it reports about the backend server.
    void answered(const request_id &request, shard_answer &&answer, time_point now);

    /// The attempt cannot be answered any more: its owner is unknown or unreachable, or the stream broke.
    /// @param code For example unreachable or notOwner.
    void attemptFailed(std::uint64_t attempt, error_code code, time_point now);

    /// The caller has gone away: cancels all attempts. The result is still returned.
    void cancel(time_point now);

    /// Applies the passing of time. Called at nextWakeup or later.
    void wakeup(time_point now);

    /// @return When wakeup has something to do; nothing when finished.
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /// @return True after the finish_search action has been produced.
    [[nodiscard]] bool finished() const { return m_finished; }

    /// Appends the pending actions to out, in order, and clears them.
    void takeActions(std::vector<search_action> &out);

    /// @return The pinned pair; number 0 while discovering.
    [[nodiscard]] const snapshot_ref &pinned() const { return m_pin; }

private:
    struct attempt_state;
    struct shard_state;

    void pin(snapshot_ref pin, time_point now);
    void discover(time_point now);
    void askHeld(std::uint32_t layoutIndex, std::uint32_t shard, time_point now);
    void checkDiscovery(time_point now);
    void discoveryLost(const attempt_state &attempt, error_code code, time_point now);
    [[nodiscard]] bool inService(std::uint32_t shard, time_point now) const;
    void sendFirst(std::uint32_t shard, time_point now);
    void send(std::uint32_t shard, std::uint32_t replica, attempt_kind kind, time_point now);
    [[nodiscard]] std::optional<std::uint32_t> chooseReplica(std::uint32_t shard, bool first, bool allowRepeat, time_point now);
    void useAnswer(std::uint32_t shard, std::vector<hit> &&hits, time_point now);
    void attemptEnded(attempt_state &attempt);
    void attemptLost(std::uint32_t shard, missing_reason reason, error_code code, time_point now);
    [[nodiscard]] static bool neverSent(error_code code);
    void scheduleRetry(std::uint32_t shard, time_point now);
    void sendRetries(time_point now);
    void sendHedges(time_point now);
    bool hedge(std::uint32_t attempt, time_point now);
    void giveUp(std::uint32_t shard, missing_reason reason, error_code code);
    void mergeHits(std::vector<hit> &&hits);
    void cancelAttempt(std::uint32_t attempt, time_point now);
    void cancelAll(time_point now);
    bool tryRestart(time_point now);
    void settle(time_point now);
    [[nodiscard]] time_point extraWaitEnd() const;
    void finish(time_point now);
    [[nodiscard]] attempt_state *findAttempt(std::uint64_t attempt);
    [[nodiscard]] const search_layout &layout() const;
    [[nodiscard]] time_point finishAt() const;

    search_input m_input;
    service_stats &m_stats;
    random_source &m_random;
    std::shared_ptr<backend_table> m_table;
    std::size_t m_layoutIndex = 0;
    snapshot_ref m_pin;
    bool m_discovering = false;
    bool m_finished = false;
    bool m_coverageMet = false;
    std::vector<shard_state> m_shards;
    std::vector<attempt_state> m_attempts;
    std::uint64_t m_firstAttemptId = 1; // Id of m_attempts[0]; grows with a restart, so that old answers never match.
    std::uint32_t m_required = 0; // Shards that meet the policy's coverage.
    std::uint32_t m_answered = 0;
    std::uint32_t m_givenUp = 0;
    std::uint32_t m_outstanding = 0;
    std::uint32_t m_overloads = 0;
    std::uint32_t m_retriesLeft = 0;
    std::uint32_t m_probesLeft = 0;
    std::chrono::microseconds m_hedgeDelay{0};
    std::uint32_t m_hedgeCursor = 0; // Attempts before it have been considered for a hedge.
    std::vector<std::uint32_t> m_hedgeWaiting; // Attempts whose hedge waits for budget or time.
    time_point m_nextHedgeCheck;
    std::vector<std::uint32_t> m_retryWaiting; // Shards whose retry waits for its time.
    time_point m_startTime;
    time_point m_coverageTime; // When the policy's coverage was reached.
    time_point m_nextRestartCheck;
    time_point m_discoveryEnd;
    std::vector<bool> m_asked; // While discovering, by backend number.
    missing_reason m_discoveryReason = missing_reason::noReplica;
    error_code m_discoveryCode = error_code::unreachable;
    std::vector<hit> m_best; // Heap with the worst of the best hits in front.
    search_result m_result;
    std::vector<search_action> m_actions;
};

} // namespace orioledrum
