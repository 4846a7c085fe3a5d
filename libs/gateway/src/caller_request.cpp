#include <caller_request.h>

#include <forwarded_request.h>
#include <gateway_state.h>
#include <gathered_request.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

caller_request::caller_request(gateway_state &state, arrival received)
    : m_state(state)
    , m_arrival(std::move(received))
    , m_timer(state.context)
{
    auto made = std::make_shared<call_template>();
    made->requestId = m_arrival.requestId;
    made->method = m_arrival.request.method;
    made->target = m_arrival.request.target;
    made->headers = state.codec.forwardedHeaders(m_arrival.request);
    made->body = std::move(m_arrival.request.body);
    made->atMostOnce = m_arrival.matched->repeat == repeat_rule::atMostOnce;
    made->profile = state.profile(*m_arrival.matched);
    m_template = std::move(made);
}

void caller_request::start()
{
    m_arrival.exchange->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerGone();
        }
    });
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
    if (run().finished()) {
        m_ended = true;
        m_timer.cancel();
        answer(now);
        return;
    }
    armTimer(now);
}

void caller_request::send(const send_call &call)
{
    const auto handle = m_state.caller.send(
        call, m_template, [self = shared_from_this(), attempt = call.attempt](call_outcome &&outcome, http_reply &&reply) {
            std::erase_if(self->m_open, [attempt](const open_call &open) { return open.attempt == attempt; });
            if (self->m_ended) {
                return;
            }
            const auto now = monotonic_clock::now();
            self->callEnded(attempt, std::move(outcome), std::move(reply), now);
            self->advance(now);
        });
    m_open.push_back({call.attempt, handle});
}

void caller_request::armTimer(time_point now)
{
    const auto next = run().nextWakeup();
    // A timer that is armed for an earlier time stays; it arms itself again when it fires.
    if (next == time_point::max() || m_armedFor <= next) {
        return;
    }
    m_armedFor = next;
    m_timer.expires_after(std::max(std::chrono::nanoseconds(0), std::chrono::nanoseconds(next - now)));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &code) {
        const auto self = weak.lock();
        if (code || !self || self->m_ended) {
            return;
        }
        self->m_armedFor = time_point::max();
        const auto fired = monotonic_clock::now();
        if (self->run().nextWakeup() <= fired) {
            self->wakeupRun(fired);
        }
        self->advance(fired);
    });
}

void caller_request::callerGone()
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_timer.cancel();
    const auto now = monotonic_clock::now();
    for (const auto &call : std::exchange(m_open, {})) {
        m_state.caller.cancel(call.handle);
    }
    cancelRun();
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - m_arrival.at);
    m_state.metrics.requestEnded(m_arrival.matched->name, "callerGone", latency);
    m_state.log.writeRequest(
        "request", "callerGone", now, {{"id", m_arrival.requestId}, {"route", m_arrival.matched->name}, {"ms", latency}});
}

std::chrono::microseconds caller_request::respond(http_response response, std::string_view outcome, time_point now)
{
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - m_arrival.at);
    m_arrival.exchange->respond(std::move(response));
    m_arrival.exchange.reset();
    m_state.metrics.requestEnded(m_arrival.matched->name, outcome, latency);
    return latency;
}

std::shared_ptr<caller_request> makeCallerRequest(gateway_state &state, caller_request::arrival arrival)
{
    if (arrival.matched->isSearch()) {
        return std::make_shared<gathered_request>(state, std::move(arrival));
    }
    return std::make_shared<forwarded_request>(state, std::move(arrival));
}

} // namespace orioledrum
