#include <backend_caller.h>

#include <gateway/message_codec.h>
#include <gateway_metrics.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// A call times out this long after its deadline: an answer that was sent in time may still be on its way.
constexpr std::chrono::milliseconds answerTransitTime{30};

} // namespace

/// State of an outstanding call.
struct backend_caller::outstanding_call {
    std::uint64_t attempt = 0;
    replica_registry::replica_ptr server;
    std::shared_ptr<const call_template> request;
    std::chrono::microseconds expectedLatency{0};
    time_point sentAt;
};

backend_caller::backend_caller(http_client &client, const message_codec &codec, replica_registry &registry, gateway_metrics &metrics)
    : m_client(client)
    , m_codec(codec)
    , m_registry(registry)
    , m_metrics(metrics)
{
}

http_call_handle backend_caller::send(const send_call &call, std::shared_ptr<const call_template> request, callback done)
{
    const auto now = monotonic_clock::now();
    const auto timeLeft =
        std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now));
    http_call message;
    message.method = request->method;
    message.url = "http://" + call.server->entry().address + "/";
    message.target = request->target;
    message.headers = m_codec.callHeaders(call.server->entry().id, timeLeft);
    message.headers.insert(message.headers.end(), request->headers.begin(), request->headers.end());
    message.body = request->body;
    message.defaultContentType = false;
    message.timeout = timeLeft + answerTransitTime;
    message.freshConnection = request->atMostOnce;
    message.beforeSend = [&account = m_registry.budget(call.server->entry().service).account()] {
        account.recordWrite();
        return true;
    };
    m_metrics.callSent();
    outstanding_call outstanding{call.attempt, call.server, std::move(request), call.expectedLatency, now};
    return m_client.send(std::move(message),
                         [this, outstanding = std::move(outstanding), done = std::move(done)](http_client::result result) {
                             callEnded(outstanding, std::move(result), done);
                         });
}

void backend_caller::cancel(http_call_handle handle)
{
    m_client.cancel(handle);
}

void backend_caller::callEnded(const outstanding_call &call, http_client::result &&result, const callback &done)
{
    const auto now = monotonic_clock::now();
    call_outcome outcome;
    outcome.latency = std::chrono::duration_cast<std::chrono::microseconds>(now - call.sentAt);
    http_reply reply;
    bool closeIdle = false;
    if (result) {
        reply = std::move(*result);
        auto fields = m_codec.decodeReply(reply, call.request->requestId);
        outcome.end = fields.end;
        outcome.signature = std::move(fields.signature);
        closeIdle = fields.requestMismatch;
        if (!fields.requestMismatch) {
            if (fields.load) {
                call.server->setReportedLoad(*fields.load, now);
            }
            if (fields.coldRemaining) {
                call.server->setCold(*fields.coldRemaining, now);
            }
        }
        if (outcome.end == attempt_end::served) {
            call.request->profile->record(outcome.latency, now);
        }
    } else if (!result.error().mayHaveBeenSent) {
        m_registry.budget(call.server->entry().service).account().recordNotWritten();
        outcome.end = result.error().failure.code == error_code::cancelled ? attempt_end::abandoned : attempt_end::unreachable;
    } else if (result.error().failure.code == error_code::cancelled) {
        outcome.end = attempt_end::abandoned;
    } else if (result.error().failure.code == error_code::deadlineExceeded) {
        outcome.end = attempt_end::timedOut;
        closeIdle = true; // Other connections to this backend server may have gone silent as well.
    } else {
        outcome.end = attempt_end::broken;
    }
    if (closeIdle) {
        m_client.closeIdleConnections(call.server->entry().address);
    }
    call.server->callEnded(call.attempt, outcome.end, outcome.latency, call.expectedLatency, now);
    m_metrics.callEnded(outcome.end, outcome.latency);
    done(std::move(outcome), std::move(reply));
}

} // namespace orioledrum
