#include "root_searches.h"

#include "answer_sink.h"
#include "host_shared.h"
#include "search_call_executor.h"
#include "worker.h"

#include <config/configuration.h>
#include <search/search_run.h>
#include <search/service_stats.h>
#include <transport/peer_client.h>
#include <wire/codec.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <unordered_set>

namespace orioledrum
{

namespace
{

/// Time for which the owner named by a refusing host takes precedence over the published routes; one lease period.
constexpr std::chrono::seconds ownerHintLifetime{3};

/// Rounds up to whole milliseconds, at least 1 ms.
std::chrono::milliseconds toTimeout(monotonic_clock::duration value)
{
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(value), std::chrono::milliseconds(1));
}

} // namespace

/// Target and state of an attempt.
struct root_searches::attempt_info {
    backend_id backend;
    shard_id shard;
    group_id group;
    snapshot_ref snapshot;
    entry_host_id owner;
    std::uint32_t sendCount = 0; ///< 1 after sending to the assumed owner; 2 after sending again to the owner named in its refusal.
    bool open = true; ///< Neither answered, failed nor cancelled.
};

/// An attempt that was sent through a stream. The end of the stream fails the attempt only if it was not sent again through another
/// stream.
struct root_searches::streamed_attempt {
    std::uint64_t number = 0;
    std::uint32_t sendNumber = 0; ///< attempt_info::sendCount when the stream was opened.
};

/// A search in progress.
struct root_searches::run_state {
    run_state(asio::io_context &context, root_query input)
        : query(std::move(input))
        , timer(context)
    {
    }

    root_query query;
    std::unique_ptr<search_run> searchRun;
    asio::steady_timer timer;
    time_point started;
    std::unordered_map<std::uint64_t, attempt_info> attempts;
    std::vector<peer_stream_handle> streams;
    bool finished = false;
};

/// Calls of one search to one owner at one snapshot, sent as one message.
struct root_searches::outgoing_batch {
    entry_host_id owner;
    search_request request;
};

/// Receives the answers to calls for which this host is the owner, and posts them to the thread of the worker that runs the search.
class root_searches::local_sink : public answer_sink
{
public:
    local_sink(root_searches &searches, run_ptr run)
        : m_searches(searches)
        , m_run(std::move(run))
    {
    }

    void push(shard_answer answer) override
    {
        auto *searches = &m_searches;
        asio::post(m_searches.m_context,
                   [searches, run = m_run, answer = std::move(answer)]() mutable { searches->handleAnswer(run, std::move(answer)); });
    }

private:
    root_searches &m_searches;
    run_ptr m_run;
};

root_searches::root_searches(host_shared &shared, std::size_t index, asio::io_context &context, peer_client &peers)
    : m_shared(shared)
    , m_index(index)
    , m_context(context)
    , m_peers(peers)
    , m_random(random_source::fromSystem())
    , m_alive(std::make_shared<bool>(true))
{
}

root_searches::~root_searches()
{
    *m_alive = false;
}

void root_searches::start(root_query query)
{
    const auto now = monotonic_clock::now();
    auto run = std::make_shared<run_state>(m_context, std::move(query));
    run->started = now;
    search_input input;
    input.request = run->query.request;
    input.policy = run->query.policy;
    input.limit = run->query.limit;
    input.deadline = run->query.deadline;
    run->searchRun = std::make_unique<search_run>(std::move(input), statsFor(run->query.service, now), m_random);
    m_runs.emplace(run->query.request.str(), run);
    m_shared.record(event_kind::searchStarted, run->query.service.str(), {}, run->query.request);
    run->searchRun->start(now);
    executeActions(run);
}

service_stats &root_searches::statsFor(const service_id &service, time_point now)
{
    const auto routing = m_shared.routing.read();
    const auto topology = routing->topologies.at(service);
    auto &stats = m_stats[service];
    if (!stats) {
        stats = std::make_unique<service_stats>(topology, m_shared.settings.zone, now);
    } else if (stats->topology() != topology) {
        stats->setTopology(topology, now);
    }
    if (const auto *config = routing->config->findService(service)) {
        stats->setHedgeShare(config->policy.hedgeBudget);
    }
    return *stats;
}

entry_host_id root_searches::ownerOf(const group_id &group, time_point now)
{
    const auto hint = m_ownerHints.find(group);
    if (hint != m_ownerHints.end()) {
        if (now < hint->second.validUntil) {
            return hint->second.host;
        }
        m_ownerHints.erase(hint);
    }
    const auto routing = m_shared.routing.read();
    const auto route = routing->routes.find(group);
    return route == routing->routes.end() ? entry_host_id() : route->second.owner;
}

void root_searches::executeActions(const run_ptr &run)
{
    std::vector<search_action> actions;
    std::optional<search_result> result;
    // Reporting an attempt without a known owner as failed may add actions, so this repeats until there are none.
    for (run->searchRun->takeActions(actions); !actions.empty(); run->searchRun->takeActions(actions)) {
        std::unordered_map<std::string, outgoing_batch> batches;
        std::unordered_map<std::string, std::vector<std::uint64_t>> cancels;
        std::vector<std::uint64_t> unroutable;
        for (auto &action : actions) {
            if (const auto *send = std::get_if<send_attempt>(&action)) {
                addAttempt(run, *send, batches);
                if (run->attempts.at(send->attempt).owner.empty()) {
                    unroutable.push_back(send->attempt);
                }
            } else if (const auto *cancel = std::get_if<cancel_attempt>(&action)) {
                const auto found = run->attempts.find(cancel->attempt);
                if (found != run->attempts.end() && found->second.open) {
                    found->second.open = false;
                    cancels[found->second.owner.str()].push_back(cancel->attempt);
                }
            } else {
                result = std::move(std::get<finish_search>(action).result);
            }
        }
        actions.clear();
        for (auto &[key, batch] : batches) {
            sendBatch(run, std::move(batch));
        }
        cancelAttempts(run, cancels);
        for (const auto attempt : unroutable) {
            run->searchRun->handleAttemptFailure(attempt, error_code::notOwner, monotonic_clock::now());
        }
    }
    if (result) {
        finish(run, *result);
    } else {
        armTimer(run);
    }
}

void root_searches::addAttempt(const run_ptr &run, const send_attempt &action, std::unordered_map<std::string, outgoing_batch> &batches)
{
    attempt_info info;
    info.backend = action.replica->backend;
    info.shard = *action.shard;
    info.group = action.replica->group;
    info.snapshot = action.snapshot;
    info.owner = ownerOf(info.group, monotonic_clock::now());
    const auto owner = info.owner;
    run->attempts[action.attempt] = std::move(info);
    if (action.kind == attempt_kind::hedge || action.kind == attempt_kind::retry) {
        m_shared.record(action.kind == attempt_kind::hedge ? event_kind::hedgeSent : event_kind::retrySent,
                        action.replica->backend.str(),
                        {},
                        run->query.request);
    }
    if (!owner.empty()) {
        addToBatch(run, action.attempt, owner, batches);
    }
}

void root_searches::addToBatch(const run_ptr &run,
                               std::uint64_t attempt,
                               const entry_host_id &owner,
                               std::unordered_map<std::string, outgoing_batch> &batches)
{
    auto &info = run->attempts.at(attempt);
    ++info.sendCount;
    const auto key = owner.str() + '/' + std::to_string(info.snapshot.snapshot) + ':' + std::to_string(info.snapshot.layout);
    auto &batch = batches[key];
    if (batch.request.calls.empty()) {
        batch.owner = owner;
        batch.request.request = run->query.request;
        batch.request.service = run->query.service;
        batch.request.customer = run->query.customer;
        batch.request.snapshot = info.snapshot;
        batch.request.query = run->query.query;
        batch.request.limit = run->query.limit;
    }
    batch.request.calls.push_back({attempt, info.backend, info.shard});
}

void root_searches::sendBatch(const run_ptr &run, outgoing_batch batch)
{
    const auto now = monotonic_clock::now();
    batch.request.remaining = std::chrono::duration_cast<std::chrono::microseconds>(run->query.deadline - now);
    if (batch.owner == m_shared.settings.id) {
        runLocally(run, batch);
        return;
    }
    const auto address = m_shared.routing.read()->addressOf(batch.owner);
    sendToPeer(run, batch, address);
}

void root_searches::sendToPeer(const run_ptr &run, const outgoing_batch &batch, const std::string &address)
{
    std::vector<streamed_attempt> attempts;
    for (const auto &call : batch.request.calls) {
        attempts.push_back({call.attempt, run->attempts.at(call.attempt).sendCount});
    }
    if (address.empty()) {
        asio::post(m_context, [this, run, attempts, alive = m_alive] {
            if (*alive) {
                handleStreamEnd(run, attempts, error_code::notOwner);
            }
        });
        return;
    }
    const auto timeout = toTimeout(batch.request.remaining);
    const auto handle = m_peers.send(
        address,
        "/peer/search",
        encode(batch.request),
        timeout,
        [this, run](std::string_view frame) {
            auto answers = decode<shard_answers>(frame);
            if (answers) {
                for (auto &answer : answers->answers) {
                    handleAnswer(run, std::move(answer));
                }
            }
        },
        [this, run, attempts](const peer_stream_end &end) {
            // If the request did not reach the owner, the backend servers are not the cause, so the attempts fail with notOwner.
            const auto failureCode = end.failure ? end.failure->code : error_code::protocolError;
            handleStreamEnd(run, attempts, end.mayHaveReachedPeer ? failureCode : error_code::notOwner);
        });
    run->streams.push_back(handle);
}

void root_searches::runLocally(const run_ptr &run, const outgoing_batch &batch)
{
    const auto routing = m_shared.routing.read();
    const auto sink = std::make_shared<local_sink>(*this, run);
    std::unordered_map<std::size_t, search_request> requestsByWorker;
    for (const auto &call : batch.request.calls) {
        const auto group = routing->groupOf.find(call.backend);
        const auto target = group == routing->groupOf.end() ? m_index : workerIndexOfGroup(group->second, m_shared.workers.size());
        auto [workerRequest, added] = requestsByWorker.try_emplace(target);
        if (added) {
            workerRequest->second = batch.request;
            workerRequest->second.calls.clear();
        }
        workerRequest->second.calls.push_back(call);
    }
    for (auto &[target, workerRequest] : requestsByWorker) {
        auto &worker = *m_shared.workers[target];
        asio::post(worker.context(),
                   [&worker, workerRequest = std::move(workerRequest), sink] { worker.searchCallExecutor().run(workerRequest, sink); });
    }
}

void root_searches::cancelAttempts(const run_ptr &run, const std::unordered_map<std::string, std::vector<std::uint64_t>> &byOwner)
{
    constexpr std::chrono::milliseconds cancelTimeout{500};
    const auto routing = m_shared.routing.read();
    for (const auto &[ownerName, attempts] : byOwner) {
        cancel_request message{run->query.request, attempts};
        if (ownerName == m_shared.settings.id.str()) {
            for (const auto &worker : m_shared.workers) {
                auto &target = *worker;
                asio::post(target.context(), [&target, message] { target.searchCallExecutor().cancel(message.request, message.attempts); });
            }
            continue;
        }
        const auto address = routing->addressOf(entry_host_id(ownerName));
        if (!address.empty()) {
            m_peers.send(
                address, "/peer/cancel", encode(message), cancelTimeout, [](std::string_view) {}, [](const peer_stream_end &) {});
        }
    }
}

void root_searches::handleAnswer(const run_ptr &run, shard_answer answer)
{
    if (run->finished) {
        return;
    }
    const auto found = run->attempts.find(answer.attempt);
    if (found == run->attempts.end()) {
        return;
    }
    auto &info = found->second;
    const auto now = monotonic_clock::now();
    if (answer.status == shard_status::refused && answer.code == error_code::notOwner) {
        const auto namedOwner = answer.holder;
        if (info.open && info.sendCount == 1 && !namedOwner.empty() && namedOwner != info.owner
            && resendToNamedOwner(run, info, answer.attempt, namedOwner)) {
            return;
        }
        m_ownerHints.erase(info.group);
    }
    info.open = false;
    run->searchRun->handleAnswer(run->query.request, std::move(answer), now);
    executeActions(run);
}

bool root_searches::resendToNamedOwner(const run_ptr &run, attempt_info &attempt, std::uint64_t number, const entry_host_id &owner)
{
    const auto now = monotonic_clock::now();
    if (run->query.deadline <= now) {
        return false;
    }
    m_ownerHints[attempt.group] = {owner, now + ownerHintLifetime};
    attempt.owner = owner;
    std::unordered_map<std::string, outgoing_batch> batches;
    addToBatch(run, number, owner, batches);
    for (auto &[key, batch] : batches) {
        sendBatch(run, std::move(batch));
    }
    return true;
}

void root_searches::handleStreamEnd(const run_ptr &run, const std::vector<streamed_attempt> &attempts, error_code code)
{
    if (run->finished) {
        return;
    }
    const auto now = monotonic_clock::now();
    bool changed = false;
    for (const auto &sent : attempts) {
        auto &info = run->attempts.at(sent.number);
        if (info.open && info.sendCount == sent.sendNumber) {
            info.open = false;
            m_ownerHints.erase(info.group);
            run->searchRun->handleAttemptFailure(sent.number, code, now);
            changed = true;
        }
    }
    if (changed && !run->finished) {
        executeActions(run);
    }
}

void root_searches::armTimer(const run_ptr &run)
{
    const auto next = run->searchRun->nextWakeup();
    if (!next) {
        return;
    }
    run->timer.expires_after(std::max<monotonic_clock::duration>(*next - monotonic_clock::now(), monotonic_clock::duration::zero()));
    run->timer.async_wait([this, alive = m_alive, weak = std::weak_ptr<run_state>(run)](const std::error_code &failure) {
        const auto locked = weak.lock();
        if (failure || !*alive || !locked || locked->finished) {
            return;
        }
        locked->searchRun->wakeup(monotonic_clock::now());
        executeActions(locked);
    });
}

void root_searches::finish(const run_ptr &run, const search_result &result)
{
    run->finished = true;
    run->timer.cancel();
    // Deferred, because finish() may run inside a callback of one of these streams.
    asio::post(m_context, [this, streams = std::move(run->streams), alive = m_alive] {
        for (const auto handle : *alive ? streams : std::vector<peer_stream_handle>()) {
            m_peers.cancel(handle); // No effect on streams that have ended.
        }
    });
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(monotonic_clock::now() - run->started);
    m_shared.metrics.searchFinished(run->query.service.str(), latency, result.coverage(), result.hedges, result.retries);
    m_shared.record(event_kind::searchFinished,
                    run->query.service.str(),
                    "answered " + std::to_string(result.shardsAnswered) + "/" + std::to_string(result.shardsTotal) + " us "
                        + std::to_string(latency.count()),
                    run->query.request);
    run->query.done(result);
    m_runs.erase(run->query.request.str());
}

} // namespace orioledrum
