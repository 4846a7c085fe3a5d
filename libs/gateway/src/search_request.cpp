#include <search_request.h>

#include <gateway_state.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// When a caller may come back after too few shards had a usable backend server: the first pause after a failed
/// connection, after which they are tried again.
constexpr std::chrono::milliseconds retryAfterNoServer = replica::unreachableFirst;

gather_input makeInput(const caller_request::arrival &arrival)
{
    const auto &route = *arrival.matched;
    return {route.shards, route.topRecords, route.minCoverage, route.maxAttempts, arrival.target, arrival.deadline};
}

} // namespace

search_request::search_request(gateway_state &state, arrival received)
    : caller_request(state, std::move(received))
    , m_run(makeInput(input()), state.board, *state.profile(*input().matched))
{
}

void search_request::startRun(time_point now)
{
    m_run.start(now);
}

void search_request::callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now)
{
    outcome.body = std::move(reply.body);
    m_run.ended(attempt, std::move(outcome), now);
}

void search_request::wakeupRun(time_point now)
{
    m_run.wakeup(now);
}

time_point search_request::nextWakeup() const
{
    return m_run.nextWakeup();
}

bool search_request::runFinished() const
{
    return m_run.finished();
}

std::vector<send_call> search_request::takeCalls()
{
    return m_run.takeCalls();
}

void search_request::answer(time_point now)
{
    auto result = m_run.takeResult();
    const auto &route = *input().matched;
    const auto end = result.end;
    const auto missing = result.missing;
    const auto hedges = result.hedges;
    const auto retries = result.retries;
    const auto slowest = result.slowest;
    const auto skipped = result.skipped;
    const auto expected = result.expected;
    const std::string worst = result.worstShard.str();
    const auto worstEnd = result.worstEnd;
    std::chrono::microseconds latency{0};
    if (result.succeeded()) {
        latency = respond(state().codec.encodeGathered(std::move(result)), toString(end), now);
    } else if (end == gather_end::overloaded) {
        const error reason{error_code::overloaded, "too few shards would answer in time", "search", worst};
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(expected);
        latency = respond(state().codec.encodeNotRun(reason, std::clamp(wait / 2, retryAfterNoServer / 4, retryAfterNoServer)), toString(end), now);
    } else if (end == gather_end::notStarted) {
        const error reason{error_code::unreachable, "too few shards have a backend server", "search", worst};
        latency = respond(state().codec.encodeNotRun(reason, retryAfterNoServer), toString(end), now);
    } else {
        const bool late = end == gather_end::late;
        const error reason{late ? error_code::deadlineExceeded : error_code::unreachable,
                           "the least coverage was not reached; " + std::to_string(missing) + " of " + std::to_string(route.shards.size())
                               + " shards are missing",
                           "search",
                           worst};
        latency = respond(state().codec.encodeFailure(late ? 504 : 502, reason), toString(end), now);
    }
    state().metrics.extraCalls(hedges, retries);
    state().log.writeRequest("search",
                             toString(end),
                             now,
                             {{"id", input().requestId},
                              {"route", route.name},
                              {"ms", static_cast<double>(latency.count()) / 1000},
                              {"shards", static_cast<std::int64_t>(route.shards.size())},
                              {"missing", std::int64_t{missing}},
                              {"hedges", std::int64_t{hedges}},
                              {"retries", std::int64_t{retries}},
                              {"skipped", std::int64_t{skipped}},
                              {"expectedMs", static_cast<double>(expected.count()) / 1000},
                              {"slowestMs", static_cast<double>(slowest.count()) / 1000},
                              {"missingShard", worst},
                              {"missingBecause", missing == 0 ? std::string() : std::string(toString(worstEnd))},
                              {"config", static_cast<std::int64_t>(input().table->version())}});
}

} // namespace orioledrum
