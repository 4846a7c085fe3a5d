#include "order_executor.h"

#include "backend_pool.h"
#include "host_shared.h"

#include <nlohmann/json.hpp>

namespace orioledrum
{

namespace
{

std::string makeOrderBody(const order_request &request)
{
    // request.body is valid JSON: the host that received the order from its caller has parsed it.
    return nlohmann::json{{"service", request.service.str()},
                          {"customer", request.customer.str()},
                          {"order", nlohmann::json::parse(request.body, nullptr, false)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// @return The member "result" of a backend server's reply, {} when it is missing, or nothing when the reply does not state that this
/// order ran.
std::optional<std::string> parseResult(const std::string &body, const std::string &ticket)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || parsed.value("orderId", "") != ticket || !parsed.value("ran", false)) {
        return std::nullopt;
    }
    return parsed.value("result", nlohmann::json::object()).dump();
}

} // namespace

order_executor::order_executor(host_shared &shared, backend_pool &pool)
    : m_shared(shared)
    , m_pool(pool)
    , m_guard(order_guard_settings{})
{
}

void order_executor::run(const order_request &request, answer_callback done)
{
    const auto decision = m_guard.receive(request, monotonic_clock::now());
    switch (decision.verdict) {
    case guard_verdict::answer:
        done(decision.answer);
        break;
    case guard_verdict::inProgress:
        break;
    case guard_verdict::proceed:
        sendAttempt(request, std::move(done));
        break;
    }
}

void order_executor::sendAttempt(const order_request &request, answer_callback done)
{
    backend_call call;
    call.backend = request.backend;
    call.deadline = monotonic_clock::now() + request.remaining;
    call.priority = 0; // The highest, so that orders are sent before searches with the same deadline.
    call.freshConnection = true;
    call.path = "/order";
    call.headers = {{"X-Order-Id", request.ticket}};
    call.body = makeOrderBody(request);
    call.beforeWrite = [this, request](time_point latestCallEnd) { return claimWrite(request, latestCallEnd); };
    call.done = [this, request, done = std::move(done)](const backend_result &result) {
        auto answer = finishAttempt(request, result);
        if (answer.code == error_code::notOwner) {
            answer.holder = likelyOwner(request.backend);
        }
        done(answer);
    };
    m_shared.record(event_kind::orderSent, request.backend.str(), request.ticket);
    m_pool.submit(std::move(call));
}

bool order_executor::claimWrite(const order_request &request, time_point latestCallEnd)
{
    const auto now = monotonic_clock::now();
    const auto routing = m_shared.routing.read();
    if (!routing->acceptsWork(request.backend)) {
        m_guard.refuse(request.ticket, request.attempt, error_code::draining, "the backend server gets no new work", now);
        return false;
    }
    return m_guard.tryBeginWrite(request.ticket, request.attempt, latestCallEnd, now, nullptr);
}

order_answer order_executor::finishAttempt(const order_request &request, const backend_result &result)
{
    const auto now = monotonic_clock::now();
    if (result.kind == backend_result_kind::refused && !result.refusedByBackend) {
        return m_guard.refuse(request.ticket, request.attempt, result.code, "not sent to the backend server", now);
    }
    auto sendResult = order_send_result::noUsableAnswer;
    auto code = result.code;
    std::string message = "no usable answer of the backend server";
    std::string body;
    if (result.refusedByBackend) {
        sendResult = order_send_result::backendRefused;
        message = "the backend server refused the order";
    } else if (result.kind == backend_result_kind::answered && result.reply.status == 200) {
        if (auto text = parseResult(result.reply.body, request.ticket)) {
            sendResult = order_send_result::ran;
            body = std::move(*text);
            message.clear();
        } else {
            code = error_code::protocolError;
        }
    }
    return m_guard.finish(request.ticket, request.attempt, sendResult, code, std::move(message), std::move(body), now);
}

entry_host_id order_executor::likelyOwner(const backend_id &backend) const
{
    const auto routing = m_shared.routing.read();
    const auto group = routing->groupOf.find(backend);
    if (group == routing->groupOf.end()) {
        return {};
    }
    const auto route = routing->routes.find(group->second);
    return route == routing->routes.end() || route->second.owner == m_shared.settings.id ? entry_host_id() : route->second.owner;
}

} // namespace orioledrum
