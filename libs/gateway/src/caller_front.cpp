#include <caller_front.h>

#include <caller_request.h>
#include <gateway_state.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// When a caller may come back while no version of the routes is known; a read of the platform's service takes some 10 ms.
constexpr std::chrono::milliseconds retryAfterNoRoutes{200};
/// Time before a bound at which the answer leaves, for the delay of this host's own loop.
constexpr std::chrono::milliseconds loopMargin{5};
/// The same for the target, where answering early costs shards.
constexpr std::chrono::milliseconds targetMargin{4};
/// Share of a short time limit that is kept for the way of the answer.
constexpr int shortLimitShare = 10;
/// One-way delays between the start of a caller's request on a new connection and the receipt of its answer: two for the
/// connection, one for the request, one for the answer.
constexpr int wayCount = 4;

std::size_t headerBytes(const http_request &request)
{
    std::size_t sum = request.method.size() + request.target.size();
    for (const auto &header : request.headers) {
        sum += header.name.size() + header.value.size() + 4;
    }
    return sum;
}

} // namespace

caller_front::caller_front(gateway_state &state)
    : m_state(state)
{
}

void caller_front::handle(http_request request, std::shared_ptr<http_exchange> exchange)
{
    const auto now = monotonic_clock::now();
    auto fields = m_state.codec.decodeCaller(request);
    const auto refuse = [&](http_response response, const char *why) {
        m_state.metrics.requestEnded("none", why, std::chrono::microseconds(0));
        m_state.log.writeRequest("front",
                                 why,
                                 now,
                                 {{"id", fields.requestId},
                                  {"target", request.target},
                                  {"status", std::int64_t{response.status}},
                                  {"config", static_cast<std::int64_t>(m_state.table ? m_state.table->version() : 0)}});
        exchange->respond(std::move(response));
    };
    if (!m_state.table) {
        const error reason{error_code::notReady, "no routes are known yet", "find route", {}};
        refuse(m_state.codec.encodeNotRun(reason, retryAfterNoRoutes), "noRoutes");
        return;
    }
    const auto &limits = m_state.table->limits();
    if (headerBytes(request) > limits.maxHeaderBytes) {
        refuse(m_state.codec.encodeFailure(431, {error_code::tooLarge, "the header is too large", "read request", request.remote}),
               "tooLarge");
        return;
    }
    if (request.body.size() > limits.maxBodyBytes) {
        refuse(m_state.codec.encodeFailure(413, {error_code::tooLarge, "the body is too large", "read request", request.remote}),
               "tooLarge");
        return;
    }
    const auto *route = m_state.table->find(headerValue(request.headers, "Host"), request.path);
    if (route == nullptr) {
        refuse(m_state.codec.encodeFailure(404, {error_code::unknownService, "no route matches host and path", "find route", {}}),
               "noRoute");
        return;
    }
    if (fields.requestId.empty()) {
        refuse(m_state.codec.encodeFailure(400, {error_code::malformed, "the request has no id", "read request", request.remote}), "noId");
        return;
    }
    caller_request::arrival arrival;
    arrival.requestId = std::move(fields.requestId);
    arrival.table = m_state.table;
    arrival.matched = route;
    arrival.at = now;
    const auto limit = std::min(route->timeout, fields.timeLeft.value_or(route->timeout));
    const auto margin = std::min(m_state.settings.callerDelay + loopMargin, limit / shortLimitShare);
    arrival.deadline = now + limit - margin;
    arrival.target = now + route->targetLatency - m_state.settings.callerDelay * wayCount - targetMargin;
    arrival.request = std::move(request);
    arrival.exchange = std::move(exchange);
    ++m_state.requestsByRoute[route->key()];
    makeCallerRequest(m_state, std::move(arrival))->start();
}

} // namespace orioledrum
