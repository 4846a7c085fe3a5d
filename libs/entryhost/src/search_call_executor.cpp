#include "search_call_executor.h"

#include "answer_sink.h"
#include "backend_pool.h"
#include "backend_reply.h"
#include "host_shared.h"

#include <nlohmann/json.hpp>

namespace orioledrum
{

namespace
{

/// @return The X-Request-Id of an attempt; unique, since request ids are random.
std::string makeBackendRequestId(const request_id &request, std::uint64_t attempt)
{
    return request.str() + "." + std::to_string(attempt);
}

std::string makeSearchBody(const search_request &request, const shard_call &call)
{
    // dump() replaces invalid UTF-8 in the query with U+FFFD; its default is to throw.
    return nlohmann::json{{"service", request.service.str()},
                          {"shard", call.shard.str()},
                          {"snapshot", request.snapshot.snapshot},
                          {"layout", request.snapshot.layout},
                          {"query", request.query},
                          {"limit", request.limit}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// @return An answer that identifies the call; its outcome is not set yet.
shard_answer makeAnswer(const shard_call &call)
{
    shard_answer answer;
    answer.attempt = call.attempt;
    answer.backend = call.backend;
    answer.shard = call.shard;
    return answer;
}

} // namespace

search_call_executor::search_call_executor(host_shared &shared, backend_pool &pool)
    : m_shared(shared)
    , m_pool(pool)
{
}

void search_call_executor::run(const search_request &request, const std::shared_ptr<answer_sink> &sink)
{
    for (const auto &call : request.calls) {
        if (request.snapshot.snapshot == 0) { // 0 marks a discovery call; no backend server holds a snapshot 0.
            answerWithReport(call, sink);
        } else {
            runCall(request, call, sink);
        }
    }
}

void search_call_executor::cancel(const request_id &request, const std::vector<std::uint64_t> &attempts)
{
    for (const auto attempt : attempts) {
        const auto found = m_activeCalls.find(makeBackendRequestId(request, attempt));
        if (found != m_activeCalls.end()) {
            const auto callNumber = found->second;
            m_activeCalls.erase(found);
            m_pool.abandon(callNumber);
        }
    }
}

void search_call_executor::runCall(const search_request &request, const shard_call &call, const std::shared_ptr<answer_sink> &sink)
{
    const auto backendRequestId = makeBackendRequestId(request.request, call.attempt);
    backend_call outgoing;
    outgoing.backend = call.backend;
    outgoing.deadline = monotonic_clock::now() + request.remaining;
    outgoing.path = "/search";
    outgoing.headers = {{"X-Request-Id", backendRequestId}};
    outgoing.body = makeSearchBody(request, call);
    outgoing.done = [this, call, backendRequestId, sink](backend_result result) {
        m_activeCalls.erase(backendRequestId);
        auto answer = makeAnswer(call);
        fillFromResult(answer, std::move(result), backendRequestId);
        sink->push(std::move(answer));
    };
    m_activeCalls[backendRequestId] = m_pool.submit(std::move(outgoing));
}

void search_call_executor::answerWithReport(const shard_call &call, const std::shared_ptr<answer_sink> &sink)
{
    m_pool.fetchReport(call.backend, [call, sink](const backend_report *report) {
        auto answer = makeAnswer(call);
        answer.status = shard_status::refused;
        answer.code = report != nullptr ? error_code::snapshotNotHeld : error_code::unreachable;
        if (report != nullptr) {
            answer.report = *report;
            answer.hasReport = true;
        }
        sink->push(std::move(answer));
    });
}

void search_call_executor::fillFromResult(shard_answer &answer, backend_result result, const std::string &backendRequestId)
{
    answer.queueTime = result.queueTime;
    answer.serviceTime = result.serviceTime;
    answer.hasReport = result.hasReport;
    answer.report = std::move(result.report);
    answer.code = result.code;
    switch (result.kind) {
    case backend_result_kind::refused:
        answer.status = shard_status::refused;
        if (answer.code == error_code::notOwner) {
            setLikelyOwner(answer);
        }
        break;
    case backend_result_kind::failed:
        answer.status = shard_status::failed;
        break;
    case backend_result_kind::answered:
        if (result.reply.status == 200) {
            parseSearchReply(result.reply, backendRequestId, answer.shard, answer);
        } else {
            answer.status = result.reply.status == 409 ? shard_status::refused : shard_status::failed;
        }
        break;
    }
}

void search_call_executor::setLikelyOwner(shard_answer &answer)
{
    const auto routing = m_shared.routing.read();
    const auto group = routing->groupOf.find(answer.backend);
    if (group == routing->groupOf.end()) {
        return;
    }
    const auto route = routing->routes.find(group->second);
    if (route != routing->routes.end() && route->second.owner != m_shared.settings.id) {
        answer.holder = route->second.owner;
    }
}

} // namespace orioledrum
