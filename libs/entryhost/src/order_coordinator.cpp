#include "order_coordinator.h"

#include "host_shared.h"
#include "order_executor.h"
#include "worker.h"

#include <config/configuration.h>
#include <orders/order_run.h>
#include <orders/ticket_store.h>
#include <ownership/rendezvous.h>
#include <transport/peer_client.h>
#include <wire/codec.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <optional>

namespace orioledrum
{

namespace
{

order_answer makeAnswer(const order_request &request, order_outcome outcome, error_code code, std::string message)
{
    order_answer answer;
    answer.ticket = request.ticket;
    answer.attempt = request.attempt;
    answer.outcome = outcome;
    answer.code = code;
    answer.message = std::move(message);
    return answer;
}

/// Rounds up to whole milliseconds, at least 1 ms.
std::chrono::milliseconds toTimeout(std::chrono::microseconds value)
{
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(value), std::chrono::milliseconds(1));
}

} // namespace

/// An order in progress whose ticket this host issued.
struct order_coordinator::run_state {
    run_state(asio::io_context &context, const ticket &runTicket, order_run run, service_id runService)
        : orderTicket(runTicket)
        , stateMachine(std::move(run))
        , timer(context)
        , service(std::move(runService))
    {
    }

    ticket orderTicket;
    order_run stateMachine;
    asio::steady_timer timer;
    service_id service;
    order_coordinator::answer_callback done;
};

order_coordinator::order_coordinator(host_shared &shared, asio::io_context &context, peer_client &peers)
    : m_shared(shared)
    , m_context(context)
    , m_peers(peers)
    , m_alive(std::make_shared<bool>(true))
{
}

order_coordinator::~order_coordinator()
{
    *m_alive = false;
}

void order_coordinator::submit(const ticket &ticket, order_request request, answer_callback done)
{
    if (ticket.host == m_shared.options.id) {
        runLocally(ticket, std::move(request), std::move(done));
    } else {
        forwardToIssuingHost(ticket, request, std::move(done));
    }
}

void order_coordinator::forwardToIssuingHost(const ticket &ticket, const order_request &request, answer_callback done)
{
    const auto address = m_shared.routing.read()->addressOf(ticket.host);
    // The outcome is unknown even if this host sent nothing: an earlier submission of the same order may have reached the issuing
    // host through another entry host.
    auto unreachable =
        makeAnswer(request, order_outcome::unknown, error_code::unreachable, "the entry host that issued the ticket does not answer");
    if (address.empty()) {
        done(unreachable);
        return;
    }
    auto answered = std::make_shared<std::optional<order_answer>>();
    m_peers.send(
        address,
        "/peer/order/submit",
        encode(request),
        toTimeout(request.remaining),
        [answered](std::string_view frame) {
            if (auto answer = decode<order_answer>(frame)) {
                *answered = std::move(*answer);
            }
        },
        [answered, unreachable, done = std::move(done)](const peer_stream_end &) { done(answered->value_or(unreachable)); });
}

void order_coordinator::runLocally(const ticket &ticket, order_request request, answer_callback done)
{
    const auto now = monotonic_clock::now();
    const auto decision = m_shared.tickets->submit(ticket, request, done, now);
    if (decision.state == submission_state::settled) {
        done(decision.answer);
        return;
    }
    if (decision.state == submission_state::waiting) {
        return;
    }
    const auto routing = m_shared.routing.read();
    auto targets = selectTargets(request, *routing);
    const auto deadline = now + request.remaining;
    auto service = request.service;
    auto run = std::make_shared<run_state>(
        m_context, ticket, order_run(ticket, std::move(request), std::move(targets), deadline), std::move(service));
    run->done = std::move(done);
    m_runs.insert(run);
    run->stateMachine.start(now);
    executeActions(run);
}

std::vector<order_target> order_coordinator::selectTargets(const order_request &request, const routing_state &routing) const
{
    std::vector<order_target> targets;
    const auto *service = routing.config ? routing.config->findService(request.service) : nullptr;
    if (service == nullptr || service->layouts.empty()) {
        return targets;
    }
    const auto &shards = service->layouts.back().shards;
    const auto &shard = shards[rendezvousWeight(request.ticket, "shard") % shards.size()];
    std::vector<backend_id> replicas = shard.replicas;
    // Replicas in this host's zone come before those in other zones. Within each of the two sets, the rank is a hash of ticket and
    // replica, which spreads orders over the replicas.
    const auto rank = [&](const backend_id &backend) {
        const bool inOtherZone = routing.config->findBackendServer(backend)->zone != m_shared.options.zone;
        return std::make_pair(inOtherZone, rendezvousWeight(request.ticket, backend.str()));
    };
    std::sort(replicas.begin(), replicas.end(), [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
    for (const auto &backend : replicas) {
        const auto group = routing.groupOf.find(backend);
        if (group == routing.groupOf.end() || !routing.acceptsWork(backend)) {
            continue;
        }
        const auto route = routing.routes.find(group->second);
        if (route != routing.routes.end() && !route->second.owner.empty()) {
            targets.push_back({backend, route->second.owner});
        }
    }
    return targets;
}

void order_coordinator::executeActions(const run_ptr &run)
{
    std::vector<order_action> actions;
    run->stateMachine.takeActions(actions);
    for (auto &action : actions) {
        if (auto *send = std::get_if<send_order>(&action)) {
            sendToOwner(run, send->owner, std::move(send->request));
            continue;
        }
        const auto &answer = std::get<finish_order>(action).answer;
        m_shared.metrics.orderFinished(toString(answer.outcome));
        m_shared.record(
            event_kind::orderFinished, run->service.str(), run->orderTicket.text() + " " + std::string(toString(answer.outcome)));
        run->timer.cancel();
        m_shared.tickets->finish(run->orderTicket, answer, monotonic_clock::now());
        m_runs.erase(run);
        run->done(answer);
        return;
    }
    armTimer(run);
}

void order_coordinator::sendToOwner(const run_ptr &run, const entry_host_id &owner, order_request request)
{
    const auto attempt = request.attempt;
    if (owner == m_shared.options.id) {
        const auto routing = m_shared.routing.read();
        const auto group = routing->groupOf.find(request.backend);
        const auto index = group == routing->groupOf.end() ? 0 : workerIndexOfGroup(group->second, m_shared.workers.size());
        auto &worker = *m_shared.workers[index];
        asio::post(worker.context(), [this, run, &worker, request = std::move(request)] {
            worker.orderExecutor().run(request, [this, run](const order_answer &answer) {
                asio::post(m_context, [this, run, answer] {
                    run->stateMachine.answered(answer, monotonic_clock::now());
                    executeActions(run);
                });
            });
        });
        return;
    }
    const auto address = m_shared.routing.read()->addressOf(owner);
    if (address.empty()) {
        asio::post(m_context, [this, run, attempt] {
            run->stateMachine.notSent(attempt, monotonic_clock::now());
            executeActions(run);
        });
        return;
    }
    auto answered = std::make_shared<bool>(false);
    m_peers.send(
        address,
        "/peer/order/run",
        encode(request),
        toTimeout(request.remaining),
        [this, run, answered](std::string_view frame) {
            if (const auto answer = decode<order_answer>(frame)) {
                *answered = true;
                run->stateMachine.answered(*answer, monotonic_clock::now());
                executeActions(run);
            }
        },
        [this, run, attempt, answered](const peer_stream_end &end) {
            if (*answered) {
                return;
            }
            const auto now = monotonic_clock::now();
            end.mayHaveReachedPeer ? run->stateMachine.streamBroken(attempt, now) : run->stateMachine.notSent(attempt, now);
            executeActions(run);
        });
}

void order_coordinator::armTimer(const run_ptr &run)
{
    const auto next = run->stateMachine.nextWakeup();
    if (!next) {
        return;
    }
    run->timer.expires_after(std::max<monotonic_clock::duration>(*next - monotonic_clock::now(), monotonic_clock::duration::zero()));
    run->timer.async_wait([this, alive = m_alive, weak = std::weak_ptr<run_state>(run)](const std::error_code &failure) {
        const auto locked = weak.lock();
        if (failure || !*alive || !locked || locked->stateMachine.finished()) {
            return;
        }
        locked->stateMachine.wakeup(monotonic_clock::now());
        executeActions(locked);
    });
}

} // namespace orioledrum
