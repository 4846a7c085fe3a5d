#include "order_coordinator.h"

#include "host_shared.h"
#include "order_executor.h"
#include "worker.h"

#include <base/rendezvous.h>
#include <config/configuration.h>
#include <orders/order_run.h>
#include <orders/ticket_store.h>
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
struct order_coordinator::active_order {
    active_order(asio::io_context &context, const ticket &issuedTicket, order_run orderRun, service_id orderService)
        : orderTicket(issuedTicket)
        , run(std::move(orderRun))
        , timer(context)
        , service(std::move(orderService))
    {
    }

    ticket orderTicket;
    order_run run;
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
    if (ticket.host == m_shared.settings.id) {
        submitLocally(ticket, std::move(request), std::move(done));
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
    auto receivedAnswer = std::make_shared<std::optional<order_answer>>();
    m_peers.send(
        address,
        "/peer/order/submit",
        encode(request),
        toTimeout(request.remaining),
        [receivedAnswer](std::string_view frame) {
            if (auto answer = decode<order_answer>(frame)) {
                *receivedAnswer = std::move(*answer);
            }
        },
        [receivedAnswer, unreachable, done = std::move(done)](const peer_stream_end &) { done(receivedAnswer->value_or(unreachable)); });
}

void order_coordinator::submitLocally(const ticket &ticket, order_request request, answer_callback done)
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
    auto order = std::make_shared<active_order>(
        m_context, ticket, order_run(ticket, std::move(request), std::move(targets), deadline), std::move(service));
    order->done = std::move(done);
    m_activeOrders.insert(order);
    order->run.start(now);
    executeActions(order);
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
        const bool inOtherZone = routing.config->findBackendServer(backend)->zone != m_shared.settings.zone;
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

void order_coordinator::executeActions(const active_order_ptr &order)
{
    std::vector<order_action> actions;
    order->run.takeActions(actions);
    for (auto &action : actions) {
        if (auto *send = std::get_if<send_order>(&action)) {
            sendToOwner(order, send->owner, std::move(send->request));
            continue;
        }
        const auto &answer = std::get<finish_order>(action).answer;
        m_shared.metrics.orderFinished(toString(answer.outcome));
        m_shared.record(
            event_kind::orderFinished, order->service.str(), order->orderTicket.text() + " " + std::string(toString(answer.outcome)));
        order->timer.cancel();
        m_shared.tickets->finish(order->orderTicket, answer, monotonic_clock::now());
        m_activeOrders.erase(order);
        order->done(answer);
        return;
    }
    armTimer(order);
}

void order_coordinator::sendToOwner(const active_order_ptr &order, const entry_host_id &owner, order_request request)
{
    const auto attempt = request.attempt;
    if (owner == m_shared.settings.id) {
        const auto routing = m_shared.routing.read();
        const auto group = routing->groupOf.find(request.backend);
        // A backend server that is no longer configured has no group; any worker refuses the order.
        const auto index = group == routing->groupOf.end() ? 0 : workerIndexOfGroup(group->second, m_shared.workers.size());
        auto &worker = *m_shared.workers[index];
        asio::post(worker.context(), [this, order, &worker, request = std::move(request)] {
            worker.orderExecutor().run(request, [this, order](const order_answer &answer) {
                asio::post(m_context, [this, order, answer] {
                    order->run.answered(answer, monotonic_clock::now());
                    executeActions(order);
                });
            });
        });
        return;
    }
    const auto address = m_shared.routing.read()->addressOf(owner);
    if (address.empty()) {
        asio::post(m_context, [this, order, attempt] {
            order->run.notSent(attempt, monotonic_clock::now());
            executeActions(order);
        });
        return;
    }
    auto answered = std::make_shared<bool>(false);
    m_peers.send(
        address,
        "/peer/order/run",
        encode(request),
        toTimeout(request.remaining),
        [this, order, answered](std::string_view frame) {
            if (const auto answer = decode<order_answer>(frame)) {
                *answered = true;
                order->run.answered(*answer, monotonic_clock::now());
                executeActions(order);
            }
        },
        [this, order, attempt, answered](const peer_stream_end &end) {
            if (*answered) {
                return;
            }
            const auto now = monotonic_clock::now();
            end.mayHaveReachedPeer ? order->run.streamBroken(attempt, now) : order->run.notSent(attempt, now);
            executeActions(order);
        });
}

void order_coordinator::armTimer(const active_order_ptr &order)
{
    const auto next = order->run.nextWakeup();
    if (!next) {
        return;
    }
    order->timer.expires_after(std::max<monotonic_clock::duration>(*next - monotonic_clock::now(), monotonic_clock::duration::zero()));
    order->timer.async_wait([this, alive = m_alive, weak = std::weak_ptr<active_order>(order)](const std::error_code &failure) {
        const auto locked = weak.lock();
        if (failure || !*alive || !locked || locked->run.finished()) {
            return;
        }
        locked->run.wakeup(monotonic_clock::now());
        executeActions(locked);
    });
}

} // namespace orioledrum
