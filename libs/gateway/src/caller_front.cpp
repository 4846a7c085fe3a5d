#include <caller_front.h>

#include <caller_authentication.h>
#include <caller_request.h>
#include <gateway_state.h>
#include <usage_caps.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// Shortest Retry-After in the answer to a request that arrives before the first route table. Many times the duration of a read of the
/// platform's store (about 10 ms), so that the routes are probably known by then.
constexpr std::chrono::milliseconds minRetryAfterNoRoutes{200};
/// Added to the wait for the first state: a read of the platform's store, and passing the state on to other hosts of the zone.
constexpr std::chrono::milliseconds firstReadTime{100};
/// The final answer must leave this long (plus callerDelay) before the caller's deadline, to allow for delays of this host's event loop.
constexpr std::chrono::milliseconds eventLoopMargin{5};
/// As eventLoopMargin, but for the target time. Shorter, because a search that is to be answered earlier misses more shards.
constexpr std::chrono::milliseconds targetMargin{4};
/// The total margin before the deadline is at most the timeout divided by this, so that short timeouts keep most of their time.
constexpr int timeoutPerMaxMargin = 10;
/// Number of one-way delays from the start of a caller's request on a new connection to the receipt of its answer: two for the
/// connection, one for the request, one for the answer.
constexpr int oneWayTripCount = 4;
/// A request waits for the answer of one host at most for its time until the target divided by this; it may ask two hosts.
constexpr int patienceDivisor = 4;
/// Retry-After of a request that has waited for a token until this host stops: other hosts can serve it at once.
constexpr std::chrono::milliseconds retryAfterStop{0};
/// Retry-After of a request whose organisation has had its share of an overloaded service: a fifth of the window by which shares are
/// divided, so that another share can apply then.
constexpr std::chrono::milliseconds retryAfterUnfairShare{1000};
/// Lines about requests without a valid key per second, a tenth of all lines about requests: anyone can send such requests, which must not
/// displace the lines about others.
constexpr std::uint32_t maxRefusedKeyLinesPerSecond = event_log::maxRequestLinesPerSecond / 10;
/// The wait is at least this long, because a call cannot time out at once.
constexpr std::chrono::microseconds minPatience{1000};

/// @return Size of method, target and headers; 4 bytes per header are for the colon, the space and the line end.
std::size_t headerBytes(const http_request &request)
{
    std::size_t sum = request.method.size() + request.target.size();
    for (const auto &header : request.headers) {
        sum += header.name.size() + header.value.size() + 4;
    }
    return sum;
}

} // namespace

/// A request that waits for a token of its organisation.
class caller_front::waiting_request final : public open_request
{
public:
    waiting_request(caller_front &front, caller_request::incoming_request &&received)
        : incoming(std::move(received))
        , m_front(front)
    {
    }

    void endIfKeyWithdrawn(const route_table &current) override
    {
        if (!decided && isWithdrawn(incoming.key, current)) {
            const error reason{error_code::unauthorized, "the key was withdrawn; the request has not run", "authenticate", {}};
            m_front.m_state.metrics.requestRefused("keyWithdrawn", incoming.identity.member->name);
            m_front.endWaiting(*this, m_front.m_state.codec.encodeFailure(401, reason), "keyWithdrawn", {});
        }
    }

    void giveUp() override
    {
        if (!decided) {
            const error reason{error_code::draining, "this host stops", "stop", {}};
            m_front.endWaiting(*this, m_front.m_state.codec.encodeNotRun(reason, retryAfterStop), "stopped", retryAfterStop);
        }
    }

    caller_request::incoming_request incoming;
    std::uint64_t handle = 0; ///< For usage_caps::cancel().
    bool decided = false; ///< Or the request has ended before the decision.

private:
    caller_front &m_front;
};

caller_front::caller_front(gateway_state &state, usage_caps &usage)
    : m_state(state)
    , m_usage(usage)
{
}

void caller_front::handle(http_request request, std::shared_ptr<http_exchange> exchange)
{
    const auto now = monotonic_clock::now();
    auto fields = m_state.codec.decodeCaller(request);
    const auto refuse = [&](http_response response, const char *outcome, bool logged = true) {
        m_state.metrics.requestEnded("none", outcome, std::chrono::microseconds(0));
        if (!logged) {
            exchange->respond(std::move(response));
            return;
        }
        m_state.log.writeRequest("front",
                                 outcome,
                                 now,
                                 {{"id", fields.requestId},
                                  {"target", request.target},
                                  {"status", std::int64_t{response.status}},
                                  {"config", static_cast<std::int64_t>(m_state.table ? m_state.table->version() : 0)}});
        exchange->respond(std::move(response));
    };
    if (!m_state.table) {
        const error reason{error_code::notReady, "no routes are known yet", "find route", {}};
        auto retryAfter = minRetryAfterNoRoutes;
        if (m_state.firstReadAt) {
            retryAfter = std::max(retryAfter, std::chrono::ceil<std::chrono::milliseconds>(*m_state.firstReadAt - now) + firstReadTime);
        }
        refuse(m_state.codec.encodeNotRun(reason, retryAfter), "noRoutes");
        return;
    }
    const auto &limits = m_state.table->limits();
    if (headerBytes(request) > limits.maxHeaderBytes) {
        refuse(m_state.codec.encodeFailure(431, {error_code::tooLarge, "the header is too large", "read request", request.remoteAddress}),
               "tooLarge");
        return;
    }
    if (request.body.size() > limits.maxBodyBytes) {
        refuse(m_state.codec.encodeFailure(413, {error_code::tooLarge, "the body is too large", "read request", request.remoteAddress}),
               "tooLarge");
        return;
    }
    const auto *route = m_state.table->find(headerValue(request.headers, "Host"), request.path);
    if (route == nullptr) {
        refuse(m_state.codec.encodeFailure(404, {error_code::unknownService, "no route matches host and path", "find route", {}}),
               "noRoute");
        return;
    }
    const auto authenticated = authenticate(*m_state.table, *route, fields.credential);
    if (!authenticated.accepted) {
        const error reason{error_code::unauthorized, std::string(authenticated.reason), "authenticate", request.remoteAddress};
        m_state.metrics.requestRefused(authenticated.refusal, {});
        refuse(m_state.codec.encodeFailure(401, reason), "unauthenticated", mayLogRefusedKey(now));
        return;
    }
    if (fields.requestId.empty()) {
        refuse(m_state.codec.encodeFailure(400, {error_code::malformed, "the request has no id", "read request", request.remoteAddress}),
               "noId");
        return;
    }
    if (!std::all_of(request.headers.begin(), request.headers.end(), isValidRequestField)) {
        // The HTTP parser takes more than may be sent on. The calls would fail, and the backend servers would count as unreachable.
        const error reason{error_code::malformed, "a header field is not valid", "read request", request.remoteAddress};
        refuse(m_state.codec.encodeFailure(400, reason), "badField");
        return;
    }
    caller_request::incoming_request incoming;
    incoming.identity = authenticated.identity;
    incoming.priority = route->priority;
    if (const auto *member = authenticated.identity.member) {
        incoming.key = key_digest::of(fields.credential.key);
        incoming.priority = member->priority.value_or(route->priority);
    }
    incoming.requestId = std::move(fields.requestId);
    incoming.table = m_state.table;
    incoming.matchedRoute = route;
    incoming.receivedAt = now;
    const auto timeout = std::min(route->timeout, fields.timeLeft.value_or(route->timeout));
    const auto margin = std::min(m_state.settings.callerDelay + eventLoopMargin, timeout / timeoutPerMaxMargin);
    incoming.deadline = now + timeout - margin;
    incoming.targetTime = now + timeUntilTarget(*route, m_state.settings);
    incoming.request = std::move(request);
    incoming.exchange = std::move(exchange);
    ++m_state.requestsByRoute[route->key()];
    if (incoming.identity.member != nullptr && m_usage.limits(*incoming.identity.member)) {
        acquireToken(std::move(incoming), now);
        return;
    }
    startRequest(std::move(incoming), now);
}

std::chrono::milliseconds caller_front::timeUntilTarget(const route &route, const gateway_settings &settings)
{
    return route.targetLatency - settings.callerDelay * oneWayTripCount - targetMargin;
}

void caller_front::startRequest(caller_request::incoming_request incoming, time_point now)
{
    const auto *member = incoming.identity.member;
    if (member == nullptr || m_state.fairness.admit(member->name, now)) {
        makeCallerRequest(m_state, std::move(incoming))->start();
        return;
    }
    constexpr const char *outcome = "unfairShare";
    const error reason{error_code::overloaded, "the organisation has had its share of an overloaded service", "divide load", member->name};
    m_state.metrics.requestRefused(outcome, member->name);
    m_state.metrics.requestEnded(incoming.matchedRoute->name, outcome, std::chrono::microseconds(0));
    m_state.log.writeRequest(
        "front",
        outcome,
        now,
        {{"id", incoming.requestId}, {"organisation", member->name}, {"config", static_cast<std::int64_t>(incoming.table->version())}});
    incoming.exchange->respond(m_state.codec.encodeNotRun(reason, retryAfterUnfairShare));
}

void caller_front::acquireToken(caller_request::incoming_request incoming, time_point now)
{
    const auto timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(std::min(incoming.targetTime, incoming.deadline) - now);
    const auto patience = std::max(minPatience, timeLeft / patienceDivisor);
    const auto &member = *incoming.identity.member;
    const auto waiting = std::make_shared<waiting_request>(*this, std::move(incoming));
    waiting->handle =
        m_usage.acquire(member, patience, [this, waiting](const usage_decision &decision) { tokenDecided(*waiting, decision); });
    if (waiting->decided) {
        return;
    }
    m_state.openRequests.emplace(waiting.get(), waiting);
    waiting->incoming.exchange->onCallerDisconnected([this, weak = std::weak_ptr(waiting)] {
        const auto gone = weak.lock();
        if (!gone || std::exchange(gone->decided, true)) {
            return;
        }
        m_state.openRequests.erase(gone.get());
        m_usage.cancel(gone->handle);
        const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(monotonic_clock::now() - gone->incoming.receivedAt);
        m_state.metrics.requestEnded(gone->incoming.matchedRoute->name, "callerGone", waited);
    });
}

void caller_front::tokenDecided(waiting_request &waiting, const usage_decision &decision)
{
    if (waiting.decided) {
        return;
    }
    auto &incoming = waiting.incoming;
    if (decision.result == usage_grant::kind::granted) {
        waiting.decided = true;
        m_state.openRequests.erase(&waiting);
        startRequest(std::move(incoming), monotonic_clock::now());
        return;
    }
    const bool overCap = decision.result == usage_grant::kind::refused;
    const auto &organisation = incoming.identity.member->name;
    const error reason{error_code::overloaded,
                       overCap ? "the organisation has reached its usage cap" : "the host that keeps the usage cap does not answer",
                       "check usage cap",
                       organisation};
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter);
    auto response = overCap ? m_state.codec.encodeOverCap(reason, retryAfter) : m_state.codec.encodeNotRun(reason, retryAfter);
    const auto *outcome = overCap ? "overCap" : "capUnknown";
    m_state.metrics.requestRefused(outcome, organisation);
    endWaiting(waiting, std::move(response), outcome, retryAfter);
}

void caller_front::endWaiting(waiting_request &waiting,
                              http_response response,
                              std::string_view outcome,
                              std::chrono::milliseconds retryAfter)
{
    waiting.decided = true;
    m_state.openRequests.erase(&waiting);
    m_usage.cancel(waiting.handle);
    const auto &incoming = waiting.incoming;
    const auto now = monotonic_clock::now();
    m_state.metrics.requestEnded(
        incoming.matchedRoute->name, outcome, std::chrono::duration_cast<std::chrono::microseconds>(now - incoming.receivedAt));
    m_state.log.writeRequest("front",
                             outcome,
                             now,
                             {{"id", incoming.requestId},
                              {"organisation", incoming.identity.member->name},
                              {"retryAfterMs", std::int64_t{retryAfter.count()}},
                              {"config", static_cast<std::int64_t>(incoming.table->version())}});
    incoming.exchange->respond(std::move(response));
}

bool caller_front::mayLogRefusedKey(time_point now)
{
    if (now - m_refusedKeysSince >= std::chrono::seconds(1)) {
        m_refusedKeysSince = now;
        m_refusedKeyLines = 0;
    }
    return m_refusedKeyLines++ < maxRefusedKeyLinesPerSecond;
}

} // namespace orioledrum
