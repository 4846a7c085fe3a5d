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

/// How the fake backend servers behave; shares are per attempt.
struct fanout_behaviour {
    double slow = 0.01; ///< Answers after 150 ms.
    double never = 0.001;
    double refused = 0;
    double failed = 0;
    double partial = 0;
    double duplicated = 0; ///< The answer is delivered twice.
    double crossed = 0; ///< An answer with a wrong request, attempt, shard, backend server or snapshot precedes the right one.
    std::chrono::microseconds median{4000};
};

/// Deliberate faults of fake_fanout, each of which takes one mechanism of the root out of use.
enum class fanout_defect {
    none,
    matchesAnything, ///< Crossed answers reach the root with the labels that it expects.
    partialCountsAsFull, ///< Partial answers reach the root as full ones.
    ignoresTime, ///< The root is woken up 20 ms late.
};

/// Fake owners and backend servers that answer the attempts of one search_run in simulated time, and record the truth
/// that its result is checked against. Each shard holds hits whose ids name snapshot, layout and shard.
class fake_fanout
{
public:
    fake_fanout(std::uint64_t seed, fanout_behaviour behaviour, fanout_defect defect = fanout_defect::none)
        : m_random(seed)
        , m_behaviour(behaviour)
        , m_defect(defect)
    {
    }

    /// Sets what a backend server holds from a time on.
    void hold(const backend_id &backend, std::vector<snapshot_ref> held, time_point from = {}) { m_held[backend][from] = std::move(held); }

    /// A backend server that never answers.
    void silence(const backend_id &backend) { m_silent.insert(backend); }

    /// Makes a backend server refuse connections, or accept them again.
    void setReachable(const backend_id &backend, bool reachable)
    {
        if (reachable) {
            m_unreachable.erase(backend);
        } else {
            m_unreachable.insert(backend);
        }
    }

    /// @return The hits of a shard at a snapshot.
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

    /// @return The latency of one attempt; the greatest value when it is never answered.
    std::chrono::microseconds sampleLatency()
    {
        if (m_random.unit() < m_behaviour.never) {
            return std::chrono::microseconds::max();
        }
        if (m_random.unit() < m_behaviour.slow) {
            return std::chrono::milliseconds(150);
        }
        return m_behaviour.median / 2 + std::chrono::microseconds(m_random.below(static_cast<std::uint64_t>(m_behaviour.median.count())));
    }

    /// What happened during a run.
    struct outcome {
        search_result result;
        time_point finishedAt;
        std::vector<send_attempt> sent;
        std::vector<time_point> sentAt;
        std::size_t cancelled = 0;
        std::size_t finishes = 0;
        std::set<shard_id> fullShards; ///< Answered in full for the pin of the result, and delivered before the end.
        std::map<shard_id, std::vector<hit>> partialHits; ///< Longest partial answer delivered for the pin.
    };

    /// Runs a query to its end.
    outcome run(search_run &query, const request_id &request, time_point now)
    {
        outcome seen;
        query.start(now);
        std::vector<search_action> actions;
        std::map<snapshot_ref, std::set<shard_id>> full;
        std::map<snapshot_ref, std::map<shard_id, std::vector<hit>>> partial;
        for (;;) {
            actions.clear();
            query.takeActions(actions);
            for (auto &action : actions) {
                if (auto *send = std::get_if<send_attempt>(&action)) {
                    seen.sent.push_back(*send);
                    seen.sentAt.push_back(now);
                    plan(*send, request, now);
                } else if (std::holds_alternative<cancel_attempt>(action)) {
                    ++seen.cancelled;
                } else {
                    ++seen.finishes;
                    seen.finishedAt = now;
                    seen.result = std::move(std::get<finish_search>(action).result);
                }
            }
            auto wakeup = query.nextWakeup();
            if (!wakeup) {
                break;
            }
            if (m_defect == fanout_defect::ignoresTime) {
                *wakeup += std::chrono::milliseconds(20);
            }
            if (m_events.empty() || *wakeup <= m_events.top().when) {
                now = std::max(now, *wakeup);
                query.wakeup(now);
                continue;
            }
            auto event = m_events.top();
            m_events.pop();
            now = std::max(now, event.when);
            if (event.genuine && event.answer.status == shard_status::answered) {
                full[event.answer.snapshot].insert(event.answer.shard);
            } else if (event.genuine && event.answer.status == shard_status::partial) {
                partial[event.answer.snapshot][event.answer.shard] = event.answer.hits;
                if (m_defect == fanout_defect::partialCountsAsFull) {
                    event.answer.status = shard_status::answered;
                }
            }
            query.answered(event.request, std::move(event.answer), now);
        }
        seen.fullShards = full[seen.result.snapshot];
        seen.partialHits = partial[seen.result.snapshot];
        // Late answers reach a finished query.
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            query.answered(event.request, std::move(event.answer), std::max(now, event.when));
        }
        actions.clear();
        query.takeActions(actions);
        seen.finishes += actions.size();
        return seen;
    }

private:
    struct delivery {
        time_point when;
        std::uint64_t order = 0;
        request_id request;
        shard_answer answer;
        bool genuine = true;
        bool operator<(const delivery &other) const { return when != other.when ? when > other.when : order > other.order; }
    };

    [[nodiscard]] std::vector<snapshot_ref> heldAt(const backend_id &backend, time_point when) const
    {
        const auto found = m_held.find(backend);
        if (found == m_held.end()) {
            return {};
        }
        auto entry = found->second.upper_bound(when);
        return entry == found->second.begin() ? std::vector<snapshot_ref>{} : std::prev(entry)->second;
    }

    void deliver(time_point when, const request_id &request, shard_answer answer, bool genuine)
    {
        m_events.push({when, m_order++, request, std::move(answer), genuine});
    }

    void plan(const send_attempt &send, const request_id &request, time_point now)
    {
        const auto latency = sampleLatency();
        if (m_silent.contains(send.replica->backend) || latency == std::chrono::microseconds::max()) {
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
        answer.report.held = heldAt(send.replica->backend, when);
        const bool holds = std::find(answer.report.held.begin(), answer.report.held.end(), send.snapshot) != answer.report.held.end();
        if (m_unreachable.contains(send.replica->backend)) {
            answer.status = shard_status::refused;
            answer.code = error_code::unreachable;
            answer.hasReport = false;
        } else if (!holds) {
            answer.status = shard_status::refused;
            answer.code = error_code::snapshotNotHeld;
        } else if (m_random.unit() < m_behaviour.refused) {
            answer.status = shard_status::refused;
            answer.code = m_random.below(2) == 0 ? error_code::overloaded : error_code::notOwner;
        } else if (m_random.unit() < m_behaviour.failed) {
            answer.status = shard_status::failed;
        } else if (m_random.unit() < m_behaviour.partial) {
            answer.status = shard_status::partial;
            answer.hits = hitsOf(send.snapshot, *send.shard);
            answer.hits.pop_back();
        } else {
            answer.status = shard_status::answered;
            answer.hits = hitsOf(send.snapshot, *send.shard);
        }
        if (m_random.unit() < m_behaviour.crossed) {
            auto wrong = answer;
            wrong.status = shard_status::answered;
            wrong.hits = {{"crossed", 1e9, ""}};
            auto wrongRequest = request;
            switch (m_defect == fanout_defect::matchesAnything ? 6 : m_random.below(6)) {
            case 0:
                wrongRequest = request_id("another");
                break;
            case 1:
                wrong.attempt += 100000;
                break;
            case 2:
                wrong.shard = shard_id("another");
                break;
            case 3:
                wrong.backend = backend_id("another");
                break;
            case 4:
                ++wrong.snapshot.snapshot;
                break;
            case 5:
                ++wrong.snapshot.layout;
                break;
            default:
                break;
            }
            deliver(now + latency / 2, wrongRequest, wrong, false);
        }
        if (m_random.unit() < m_behaviour.duplicated) {
            deliver(when + std::chrono::microseconds(m_random.below(5000)), request, answer, true);
        }
        deliver(when, request, std::move(answer), true);
    }

    random_source m_random;
    fanout_behaviour m_behaviour;
    fanout_defect m_defect;
    std::map<backend_id, std::map<time_point, std::vector<snapshot_ref>>> m_held;
    std::set<backend_id> m_silent;
    std::set<backend_id> m_unreachable;
    std::priority_queue<delivery> m_events;
    std::uint64_t m_order = 0;
};

} // namespace orioledrum
