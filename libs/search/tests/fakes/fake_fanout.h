#pragma once

#include <base/random_source.h>
#include <search/search_run.h>

#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace orioledrum
{

/// Behaviour of the fake backend servers. Each number of type double is a probability per attempt.
struct fanout_behaviour {
    double slow = 0.01; ///< Answers after 150 ms.
    double unanswered = 0.001; ///< Never answered.
    double refused = 0;
    double failed = 0;
    double partial = 0;
    double duplicated = 0; ///< The answer is delivered twice.
    double mismatched = 0; ///< An answer with a wrong request, attempt, shard, backend server, snapshot or layout comes first.
    std::chrono::microseconds median{4000}; ///< Median latency of an attempt that is not slow.
};

/// Deliberate defects of fake_fanout. Each of them imitates a fault of the root that the checks of the tests must detect.
enum class fanout_defect {
    none,
    mismatchesRelabelled, ///< Mismatched answers carry the ids that the root expects.
    partialCountsAsFull, ///< Partial answers are marked as full answers.
    delaysWakeups, ///< Wakeups are 20 ms late.
};

/// Fake owners and backend servers that answer the attempts of a search_run in simulated time. The outcome contains the
/// delivered answers, so that the result of the run can be checked against them. The ids of the hits contain snapshot, layout and shard.
class fake_fanout
{
public:
    fake_fanout(std::uint64_t seed, fanout_behaviour behaviour, fanout_defect defect = fanout_defect::none)
        : m_random(seed)
        , m_behaviour(behaviour)
        , m_defect(defect)
    {
    }

    /// Sets the snapshots that a backend server holds from a point in time on.
    void setHeldSnapshots(const backend_id &backend, std::vector<snapshot_ref> heldSnapshots, time_point from = {})
    {
        m_heldSnapshots[backend][from] = std::move(heldSnapshots);
    }

    /// Makes a backend server never answer.
    void setUnresponsive(const backend_id &backend) { m_unresponsive.insert(backend); }

    /// While `reachable` is false, calls to the backend server are refused with error_code::unreachable.
    void setReachable(const backend_id &backend, bool reachable)
    {
        if (reachable) {
            m_unreachable.erase(backend);
        } else {
            m_unreachable.insert(backend);
        }
    }

    /// @return The hits of a shard in a snapshot.
    static std::vector<hit> hitsOf(const snapshot_ref &snapshot, const shard_id &shard)
    {
        std::vector<hit> hits;
        for (int index = 0; index < 3; ++index) {
            const auto id =
                std::to_string(snapshot.snapshot) + ":" + std::to_string(snapshot.layout) + ":" + shard.str() + ":" + std::to_string(index);
            hits.push_back({id, static_cast<double>(std::hash<std::string>{}(id) % 1000), "text"});
        }
        return hits;
    }

    /// @return Random latency of one attempt; the maximum value when it is never answered.
    std::chrono::microseconds sampleLatency()
    {
        if (m_random.nextDouble() < m_behaviour.unanswered) {
            return std::chrono::microseconds::max();
        }
        if (m_random.nextDouble() < m_behaviour.slow) {
            return std::chrono::milliseconds(150);
        }
        return m_behaviour.median / 2 + std::chrono::microseconds(m_random.below(static_cast<std::uint64_t>(m_behaviour.median.count())));
    }

    /// Actions of a run and the answers that were delivered to it.
    struct outcome {
        search_result result;
        time_point finishedAt;
        std::vector<send_attempt> sent;
        std::vector<time_point> sentAt;
        std::size_t cancelled = 0;
        std::size_t finishes = 0; ///< Number of finish_search actions plus the number of actions after the end of the run.
        std::set<shard_id> fullShards; ///< Shards with a full answer for the pinned snapshot that was delivered before the end of the run.
        std::map<shard_id, std::vector<hit>> partialHits; ///< Latest partial answer delivered for the pinned snapshot.
    };

    /// Runs a query to its end in simulated time, and delivers the remaining answers to the finished query.
    outcome run(search_run &query, const request_id &request, time_point now)
    {
        outcome observed;
        query.start(now);
        std::vector<search_action> actions;
        std::map<snapshot_ref, std::set<shard_id>> full;
        std::map<snapshot_ref, std::map<shard_id, std::vector<hit>>> partial;
        for (;;) {
            actions.clear();
            query.takeActions(actions);
            for (auto &action : actions) {
                if (auto *send = std::get_if<send_attempt>(&action)) {
                    observed.sent.push_back(*send);
                    observed.sentAt.push_back(now);
                    scheduleAnswer(*send, request, now);
                } else if (std::holds_alternative<cancel_attempt>(action)) {
                    ++observed.cancelled;
                } else {
                    ++observed.finishes;
                    observed.finishedAt = now;
                    observed.result = std::move(std::get<finish_search>(action).result);
                }
            }
            auto wakeup = query.nextWakeup();
            if (!wakeup) {
                break;
            }
            if (m_defect == fanout_defect::delaysWakeups) {
                *wakeup += std::chrono::milliseconds(20);
            }
            if (m_deliveries.empty() || *wakeup <= m_deliveries.top().when) {
                now = std::max(now, *wakeup);
                query.wakeup(now);
                continue;
            }
            auto next = m_deliveries.top();
            m_deliveries.pop();
            now = std::max(now, next.when);
            if (next.matching && next.answer.status == shard_status::answered) {
                full[next.answer.snapshot].insert(next.answer.shard);
            } else if (next.matching && next.answer.status == shard_status::partial) {
                partial[next.answer.snapshot][next.answer.shard] = next.answer.hits;
                if (m_defect == fanout_defect::partialCountsAsFull) {
                    next.answer.status = shard_status::answered;
                }
            }
            query.handleAnswer(next.request, std::move(next.answer), now);
        }
        observed.fullShards = full[observed.result.snapshot];
        observed.partialHits = partial[observed.result.snapshot];
        // Delivers late answers to the finished query.
        while (!m_deliveries.empty()) {
            auto next = m_deliveries.top();
            m_deliveries.pop();
            query.handleAnswer(next.request, std::move(next.answer), std::max(now, next.when));
        }
        actions.clear();
        query.takeActions(actions);
        observed.finishes += actions.size();
        return observed;
    }

private:
    struct delivery {
        time_point when;
        std::uint64_t sequence = 0; // Order of deliveries at the same time.
        request_id request;
        shard_answer answer;
        bool matching = true; // False for a mismatched answer, see fanout_behaviour::mismatched.
        bool operator<(const delivery &other) const { return when != other.when ? when > other.when : sequence > other.sequence; }
    };

    [[nodiscard]] std::vector<snapshot_ref> heldSnapshotsAt(const backend_id &backend, time_point when) const
    {
        const auto found = m_heldSnapshots.find(backend);
        if (found == m_heldSnapshots.end()) {
            return {};
        }
        auto entry = found->second.upper_bound(when);
        return entry == found->second.begin() ? std::vector<snapshot_ref>{} : std::prev(entry)->second;
    }

    void deliver(time_point when, const request_id &request, shard_answer answer, bool matching)
    {
        m_deliveries.push({when, m_nextSequence++, request, std::move(answer), matching});
    }

    void scheduleAnswer(const send_attempt &send, const request_id &request, time_point now)
    {
        const auto latency = sampleLatency();
        if (m_unresponsive.contains(send.replica->backend) || latency == std::chrono::microseconds::max()) {
            return;
        }
        const auto when = now + latency;
        shard_answer answer;
        answer.attempt = send.attempt;
        answer.backend = send.replica->backend;
        answer.shard = *send.shard;
        answer.snapshot = send.snapshot;
        answer.hasReport = true;
        answer.report.state = backend_state::warm;
        answer.report.slots = 2;
        answer.report.instance = "1";
        answer.report.heldSnapshots = heldSnapshotsAt(send.replica->backend, when);
        const bool holds = std::find(answer.report.heldSnapshots.begin(), answer.report.heldSnapshots.end(), send.snapshot)
            != answer.report.heldSnapshots.end();
        if (m_unreachable.contains(send.replica->backend)) {
            answer.status = shard_status::refused;
            answer.code = error_code::unreachable;
            answer.hasReport = false;
        } else if (!holds) {
            answer.status = shard_status::refused;
            answer.code = error_code::snapshotNotHeld;
        } else if (m_random.nextDouble() < m_behaviour.refused) {
            answer.status = shard_status::refused;
            answer.code = m_random.below(2) == 0 ? error_code::overloaded : error_code::notOwner;
        } else if (m_random.nextDouble() < m_behaviour.failed) {
            answer.status = shard_status::failed;
        } else if (m_random.nextDouble() < m_behaviour.partial) {
            answer.status = shard_status::partial;
            answer.hits = hitsOf(send.snapshot, *send.shard);
            answer.hits.pop_back();
        } else {
            answer.status = shard_status::answered;
            answer.hits = hitsOf(send.snapshot, *send.shard);
        }
        if (m_random.nextDouble() < m_behaviour.mismatched) {
            auto mismatch = answer;
            mismatch.status = shard_status::answered;
            mismatch.hits = {{"mismatched", 1e9, ""}};
            auto mismatchRequest = request;
            switch (m_defect == fanout_defect::mismatchesRelabelled ? 6 : m_random.below(6)) {
            case 0:
                mismatchRequest = request_id("another");
                break;
            case 1:
                mismatch.attempt += 100000;
                break;
            case 2:
                mismatch.shard = shard_id("another");
                break;
            case 3:
                mismatch.backend = backend_id("another");
                break;
            case 4:
                ++mismatch.snapshot.snapshot;
                break;
            case 5:
                ++mismatch.snapshot.layout;
                break;
            default:
                break;
            }
            deliver(now + latency / 2, mismatchRequest, mismatch, false);
        }
        if (m_random.nextDouble() < m_behaviour.duplicated) {
            deliver(when + std::chrono::microseconds(m_random.below(5000)), request, answer, true);
        }
        deliver(when, request, std::move(answer), true);
    }

    random_source m_random;
    fanout_behaviour m_behaviour;
    fanout_defect m_defect;
    std::map<backend_id, std::map<time_point, std::vector<snapshot_ref>>> m_heldSnapshots;
    std::set<backend_id> m_unresponsive;
    std::set<backend_id> m_unreachable;
    std::priority_queue<delivery> m_deliveries;
    std::uint64_t m_nextSequence = 0;
};

} // namespace orioledrum
