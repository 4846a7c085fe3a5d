#include <backend_caller.h>

#include <gateway/message_codec.h>
#include <gateway_metrics.h>
#include <logging/event_log.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

namespace
{

/// A call times out this long after its deadline: an answer that was sent in time may still be on its way.
constexpr std::chrono::milliseconds answerTransitTime{30};
/// Bounds of the random time that is added to a quiet time: long enough to separate hosts by several calls of 10 ms, and short enough that
/// a shard does not lack its backend servers for long.
constexpr std::chrono::milliseconds minQuietSpread{50};
constexpr std::chrono::milliseconds maxQuietSpread{500};

} // namespace

/// State of an outstanding call.
struct backend_caller::outstanding_call {
    std::uint64_t attempt = 0;
    replica_registry::replica_ptr server;
    std::shared_ptr<const call_template> request;
    std::chrono::microseconds expectedLatency{0};
    time_point sentAt;
};

backend_caller::backend_caller(http_client &client,
                               const message_codec &codec,
                               replica_registry &registry,
                               gateway_metrics &metrics,
                               event_log &log)
    : m_client(client)
    , m_codec(codec)
    , m_registry(registry)
    , m_metrics(metrics)
    , m_log(log)
    , m_random(random_source::fromSystem())
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
    message.beforeSend = [this, &account = m_registry.budget(call.server->entry().service).account(), server = call.server] {
        // While the call waited for its connection, another answer may have asked for no more calls, or a change may have been read.
        if (!m_registry.mayStillBeCalled(*server, monotonic_clock::now())) {
            return false;
        }
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

void backend_caller::applyNotices(replica &server, const backend_fields &fields, const std::string &requestId, time_point now)
{
    const auto write = [&](const char *event, std::chrono::milliseconds time, const std::string &text) {
        m_metrics.noticeReceived(event);
        m_log.writeRequest("calls",
                           event,
                           now,
                           {{"id", requestId},
                            {"server", server.entry().id.str()},
                            {"service", server.entry().service.str()},
                            {"ms", std::int64_t{time.count()}},
                            {"text", text}});
    };
    if (fields.leaving && server.setLeaving()) {
        write("serverLeaving", {}, {});
    }
    if (fields.quietTime) {
        const auto quiet = std::min<std::chrono::milliseconds>(*fields.quietTime, call_suspension::maxQuietTime);
        // Each host waits a little longer, by a random time, so that not all of them call at once.
        const auto spread = std::clamp(quiet / 4, minQuietSpread, maxQuietSpread);
        const auto until = now + quiet + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(spread.count())));
        if (server.setQuietUntil(until)) {
            write("serverQuiet", quiet, quiet < *fields.quietTime ? "asked for longer" : "");
        }
    } else if (!fields.unreadableQuietTime.empty()) {
        write("unreadableQuietTime", {}, fields.unreadableQuietTime);
    }
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
        applyNotices(*call.server, fields, call.request->requestId, now);
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
        const bool cancelled = result.error().failure.code == error_code::cancelled;
        const bool stopped = cancelled && !m_registry.mayStillBeCalled(*call.server, now);
        outcome.end = stopped ? attempt_end::shed : cancelled ? attempt_end::abandoned : attempt_end::unreachable;
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
    const auto *learned = call.server->learned();
    const bool wasSlow = learned != nullptr && learned->slow();
    call.server->callEnded(call.attempt, outcome.end, outcome.latency, call.expectedLatency, now);
    if (learned != nullptr && learned->slow() != wasSlow) {
        m_log.writeRequest("calls",
                           wasSlow ? "serverRecovered" : "serverSlow",
                           now,
                           {{"id", call.request->requestId},
                            {"server", call.server->entry().id.str()},
                            {"service", call.server->entry().service.str()},
                            {"percent", static_cast<std::int64_t>(100 * std::exp2(learned->logSlowness()))}});
    }
    m_metrics.callEnded(outcome.end, outcome.latency);
    done(std::move(outcome), std::move(reply));
}

} // namespace orioledrum
