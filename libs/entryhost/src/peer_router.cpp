#include "peer_router.h"

#include "control_plane.h"
#include "host_shared.h"
#include "order_coordinator.h"
#include "order_executor.h"
#include "peer_answer_stream.h"
#include "search_call_executor.h"
#include "worker.h"

#include <transport/peer_reply.h>
#include <wire/codec.h>
#include <wire/order_messages.h>
#include <wire/search_messages.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <unordered_map>

namespace orioledrum
{

namespace
{

constexpr std::string_view pathPrefix = "/peer/";

/// @return Index of the worker that the backend server's group belongs to; 0 when the backend server is unknown.
std::size_t workerIndexOfBackend(const host_shared &shared, const routing_state &routing, const backend_id &backend)
{
    const auto group = routing.groupOf.find(backend);
    return group == routing.groupOf.end() ? 0 : workerIndexOfGroup(group->second, shared.workers.size());
}

void sendAnswer(const std::shared_ptr<peer_reply> &reply, const order_answer &answer)
{
    if (reply->sendFrame(encode(answer))) {
        reply->finish();
    }
}

} // namespace

peer_router::peer_router(host_shared &shared)
    : m_shared(shared)
{
}

void peer_router::onRequest(peer_request request, std::shared_ptr<peer_reply> reply)
{
    if (request.path == "/peer/search") {
        search(request, reply);
    } else if (request.path == "/peer/cancel") {
        cancel(request, reply);
    } else if (request.path == "/peer/order/submit") {
        submitOrder(request, reply);
    } else if (request.path == "/peer/order/run") {
        runOrder(request, reply);
    } else if (request.path.starts_with(pathPrefix)) {
        forwardToControlPlane(std::move(request), std::move(reply));
    } else {
        reply->fail({error_code::protocolError, "unknown path '" + request.path + "'", "receive peer request", request.remoteAddress});
    }
}

void peer_router::search(const peer_request &request, const std::shared_ptr<peer_reply> &reply)
{
    const auto message = decode<search_request>(request.body);
    if (!message) {
        reply->fail(message.error());
        return;
    }
    if (message->calls.empty()) {
        reply->finish();
        return;
    }
    const auto routing = m_shared.routing.read();
    std::unordered_map<std::size_t, search_request> requestsByWorker;
    for (const auto &call : message->calls) {
        auto [workerRequest, added] = requestsByWorker.try_emplace(workerIndexOfBackend(m_shared, *routing, call.backend));
        if (added) {
            workerRequest->second = *message;
            workerRequest->second.calls.clear();
        }
        workerRequest->second.calls.push_back(call);
    }
    const auto stream =
        std::make_shared<peer_answer_stream>(m_shared.workers[requestsByWorker.begin()->first]->context(), reply, message->calls.size());
    reply->onCancel([this, id = message->request, calls = message->calls] {
        std::vector<std::uint64_t> attempts;
        attempts.reserve(calls.size());
        for (const auto &call : calls) {
            attempts.push_back(call.attempt);
        }
        for (const auto &worker : m_shared.workers) {
            auto &target = *worker;
            asio::post(target.context(), [&target, id, attempts] { target.searchCallExecutor().cancel(id, attempts); });
        }
    });
    for (auto &[index, workerRequest] : requestsByWorker) {
        auto &target = *m_shared.workers[index];
        asio::post(target.context(),
                   [&target, workerRequest = std::move(workerRequest), stream] { target.searchCallExecutor().run(workerRequest, stream); });
    }
}

void peer_router::cancel(const peer_request &request, const std::shared_ptr<peer_reply> &reply)
{
    const auto message = decode<cancel_request>(request.body);
    if (!message) {
        reply->fail(message.error());
        return;
    }
    for (const auto &worker : m_shared.workers) {
        auto &target = *worker;
        asio::post(target.context(),
                   [&target, message = *message] { target.searchCallExecutor().cancel(message.request, message.attempts); });
    }
    reply->finish();
}

void peer_router::submitOrder(const peer_request &request, const std::shared_ptr<peer_reply> &reply)
{
    const auto message = decode<order_request>(request.body);
    const auto parsed = message ? ticket::parse(message->ticket) : expected<ticket>(tl::unexpected<error>(message.error()));
    if (!parsed) {
        reply->fail(parsed.error());
        return;
    }
    if (parsed->host != m_shared.settings.id) {
        // Not forwarded to the issuing host, because orders could then be forwarded in a loop between hosts.
        reply->fail({error_code::unknownTicket, "the ticket was issued by another entry host", "receive order", request.remoteAddress});
        return;
    }
    auto &target = *m_shared.workers[parsed->sequence % m_shared.workers.size()];
    asio::post(target.context(), [&target, message = *message, parsed = *parsed, reply] {
        target.orderCoordinator().submit(parsed, message, [reply](const order_answer &answer) { sendAnswer(reply, answer); });
    });
}

void peer_router::runOrder(const peer_request &request, const std::shared_ptr<peer_reply> &reply)
{
    const auto message = decode<order_request>(request.body);
    if (!message) {
        reply->fail(message.error());
        return;
    }
    auto &target = *m_shared.workers[workerIndexOfBackend(m_shared, *m_shared.routing.read(), message->backend)];
    asio::post(target.context(), [&target, message = *message, reply] {
        target.orderExecutor().run(message, [reply](const order_answer &answer) { sendAnswer(reply, answer); });
    });
}

void peer_router::forwardToControlPlane(peer_request request, std::shared_ptr<peer_reply> reply)
{
    asio::post(m_control->context(), [this, request = std::move(request), reply = std::move(reply)] {
        const auto answer = m_control->handleMessage(request.path.substr(pathPrefix.size()), request.body);
        if (!answer) {
            reply->fail(answer.error());
            return;
        }
        if (!answer->empty() && !reply->sendFrame(*answer)) {
            return;
        }
        reply->finish();
    });
}

} // namespace orioledrum
