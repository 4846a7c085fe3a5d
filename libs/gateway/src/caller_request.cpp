#include <caller_request.h>

#include <caller_authentication.h>
#include <forwarded_request.h>
#include <gateway_state.h>
#include <gathered_request.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

caller_request::caller_request(gateway_state &state, incoming_request received)
    : m_state(state)
    , m_incoming(std::move(received))
    , m_timer(state.context)
{
    auto newTemplate = std::make_shared<call_template>();
    newTemplate->requestId = m_incoming.requestId;
    newTemplate->method = m_incoming.request.method;
    newTemplate->target = m_incoming.request.target;
    newTemplate->headers = state.codec.forwardedHeaders(m_incoming.request, m_incoming.identity);
    newTemplate->body = std::move(m_incoming.request.body);
    newTemplate->atMostOnce = m_incoming.matchedRoute->retrySafety == retry_safety::atMostOnce;
    newTemplate->profile = state.profile(*m_incoming.matchedRoute);
    m_callTemplate = std::move(newTemplate);
}

void caller_request::watchCaller()
{
    m_incoming.exchange->onCallerDisconnected([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerDisconnected();
        }
    });
}

void caller_request::reopen(std::shared_ptr<http_exchange> exchange)
{
    m_incoming.exchange = std::move(exchange);
    m_ended = false;
    m_state.openRequests.emplace(this, weak_from_this());
    m_timerDue = time_point::max();
    watchCaller();
}

void caller_request::start()
{
    watchCaller();
    m_state.openRequests.emplace(this, weak_from_this());
    const auto now = monotonic_clock::now();
    startRun(now);
    advance(now);
}

void caller_request::advance(time_point now)
{
    if (m_ended) {
        return;
    }
    for (const auto &call : run().takeCalls()) {
        send(call);
    }
    startOtherWork(now);
    if (run().finished()) {
        end();
        answer(now);
        return;
    }
    armTimer(now);
}

void caller_request::send(const send_call &call)
{
    const auto handle = m_state.backendCaller.send(
        call, m_callTemplate, [self = shared_from_this(), attempt = call.attempt](call_outcome &&outcome, http_reply &&reply) {
            std::erase_if(self->m_openCalls, [attempt](const open_call &open) { return open.attempt == attempt; });
            const auto now = monotonic_clock::now();
            if (self->m_ended) {
                self->callEndedAfterAnswer(attempt, std::move(outcome), std::move(reply), now);
                return;
            }
            self->callEnded(attempt, std::move(outcome), std::move(reply), now);
            self->advance(now);
        });
    m_openCalls.push_back({call.attempt, handle});
}

void caller_request::armTimer(time_point now)
{
    const auto next = run().nextWakeup();
    // A timer that is already set to an earlier time is kept; when it fires, it is set again.
    if (next == time_point::max() || m_timerDue <= next) {
        return;
    }
    m_timerDue = next;
    m_timer.expires_after(std::max(std::chrono::nanoseconds(0), std::chrono::nanoseconds(next - now)));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &code) {
        const auto self = weak.lock();
        if (code || !self || self->m_ended) {
            return;
        }
        self->m_timerDue = time_point::max();
        const auto firedAt = monotonic_clock::now();
        if (self->run().nextWakeup() <= firedAt) {
            self->wakeupRun(firedAt);
        }
        self->advance(firedAt);
    });
}

void caller_request::end()
{
    m_ended = true;
    m_state.openRequests.erase(this);
    m_timer.cancel();
}

void caller_request::cancelCalls()
{
    for (const auto &call : std::exchange(m_openCalls, {})) {
        m_state.backendCaller.cancel(call.handle);
    }
    cancelOtherWork();
}

void caller_request::giveUp()
{
    endWithFailure(504, {error_code::draining, "this host stops before the request has an answer; it may have run", "stop", {}}, "stopped");
}

void caller_request::endIfKeyWithdrawn(const route_table &current)
{
    if (m_ended || !isWithdrawn(m_incoming.key, current)) {
        return;
    }
    m_state.metrics.requestRefused("keyWithdrawn", m_incoming.identity.member->name);
    endWithFailure(401, {error_code::unauthorized, "the key was withdrawn; the request may have run", "authenticate", {}}, "keyWithdrawn");
}

void caller_request::endWithFailure(int status, const error &reason, std::string_view outcome)
{
    if (m_ended) {
        return;
    }
    const auto self = shared_from_this(); // The request may end with its last call.
    end();
    cancelCalls();
    const auto now = monotonic_clock::now();
    const auto latency = respond(m_state.codec.encodeFailure(status, reason), outcome, now);
    m_state.log.writeRequest(
        "request", std::string(outcome), now, {{"id", m_incoming.requestId}, {"route", m_incoming.matchedRoute->name}, {"ms", latency}});
}

void caller_request::callerDisconnected()
{
    if (m_ended) {
        return;
    }
    end();
    const auto now = monotonic_clock::now();
    recordForFairness(false, now);
    cancelCalls();
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - m_incoming.receivedAt);
    m_state.metrics.requestEnded(m_incoming.matchedRoute->name, "callerGone", latency);
    m_state.log.writeRequest(
        "request", "callerGone", now, {{"id", m_incoming.requestId}, {"route", m_incoming.matchedRoute->name}, {"ms", latency}});
}

void caller_request::recordForFairness(bool overloaded, time_point now)
{
    if (m_incoming.identity.member != nullptr) {
        m_state.fairness.ended(overloaded, now);
    }
}

std::chrono::microseconds caller_request::respond(http_response response, std::string_view outcome, time_point now, bool overloaded)
{
    recordForFairness(overloaded, now);
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - m_incoming.receivedAt);
    m_incoming.exchange->respond(std::move(response));
    m_incoming.exchange.reset();
    m_state.metrics.requestEnded(m_incoming.matchedRoute->name, outcome, latency);
    return latency;
}

std::shared_ptr<caller_request> makeCallerRequest(gateway_state &state, caller_request::incoming_request incoming)
{
    if (incoming.matchedRoute->isSearch()) {
        return std::make_shared<gathered_request>(state, std::move(incoming));
    }
    return std::make_shared<forwarded_request>(state, std::move(incoming));
}

} // namespace orioledrum
