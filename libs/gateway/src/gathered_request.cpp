#include <gathered_request.h>

#include <gateway_state.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace orioledrum
{

namespace
{

/// Retry-After when too few shards have a usable backend server: the time after which a backend server is tried again after its first
/// failed connection. Also the upper limit of Retry-After for an overloaded search.
constexpr std::chrono::milliseconds maxRetryAfter = replica::initialBackoff;
/// Time after the target, as a share of the target latency, during which a gathering host goes on with its outstanding calls. A shard
/// that needs longer is called again by the asking host; until then its backend server does work that may not be needed.
constexpr double resumeTimeShare = 0.5;

} // namespace

gathered_request::gathered_request(gateway_state &state, incoming_request received)
    : shard_request(state, std::move(received))
    , m_relayParts(state.relays.assignParts(incoming().matchedRoute->shards, incoming().targetTime, monotonic_clock::now()))
{
    auto gatherInput = makeGatherInput();
    for (const auto &relayPart : m_relayParts) {
        gatherInput.relays.push_back(relayPart.part);
    }
    m_firstToken = state.relays.newToken();
    createRun(std::move(gatherInput));
}

void gathered_request::startRun(time_point now)
{
    caller_request::startRun(now);
    for (std::size_t partIndex = 0; partIndex < m_relayParts.size(); ++partIndex) {
        if (run().relayPending(partIndex)) {
            sendRelaySearch(partIndex, now);
        }
    }
}

void gathered_request::sendRelaySearch(std::size_t partIndex, time_point now)
{
    const auto &route = *incoming().matchedRoute;
    const auto &call = callTemplate();
    relay_search message;
    message.request = incoming().requestId;
    message.routeName = route.name;
    message.routeHost = route.host;
    message.routePrefix = route.prefix;
    message.method = call.method;
    message.target = call.target;
    for (const auto &header : call.headers) {
        message.headerNames.push_back(header.name);
        message.headerValues.push_back(header.value);
    }
    message.body = call.body;
    for (const auto position : m_relayParts[partIndex].part.shards) {
        const auto &shard = route.shards[position];
        const auto *service = incoming().table->findService(shard);
        const auto limits = service != nullptr ? service->limits() : service_limits::unknown();
        message.shards.push_back(shard.str());
        message.shardLimits.push_back({limits.maxConnections, limits.maxColdRequestsPerSecond});
    }
    message.configVersion = incoming().table->version();
    message.maxRecords = route.maxRecords;
    message.maxServers = route.maxServers;
    message.knownServers = run().knownServers(partIndex);
    for (const auto &coldTimes : run().knownColdTimes(partIndex, now)) {
        auto &times = message.knownColdTimes.emplace_back();
        for (const auto &time : coldTimes) {
            times.push_back(static_cast<std::uint32_t>(std::min(time, route::maxTime).count()));
        }
    }
    message.targetLatency = route.targetLatency;
    message.remaining = std::chrono::duration_cast<std::chrono::microseconds>(run().relayTarget() - now);
    message.resumeTime = resumeTime();
    message.token = m_firstToken + partIndex;
    m_relayCalls.resize(m_relayParts.size());
    m_relayCalls[partIndex] =
        state().relays.send(m_relayParts[partIndex].address,
                            message,
                            [self = shared_from_this(), this, partIndex](std::optional<relay_result> result, bool notSent) {
                                if (ended()) {
                                    return;
                                }
                                m_relayCalls[partIndex].reset();
                                const auto endedAt = monotonic_clock::now();
                                if (result) {
                                    if (!run().relayAnswered(partIndex, std::move(*result), endedAt)) {
                                        state().relays.recordFailure(m_relayParts[partIndex].address, endedAt);
                                    }
                                } else {
                                    recordLostRelay(partIndex);
                                    run().relayFailed(partIndex, notSent, endedAt);
                                }
                                advance(endedAt);
                            });
}

std::chrono::microseconds gathered_request::resumeTime() const
{
    const auto share = std::chrono::duration<double, std::micro>(incoming().matchedRoute->targetLatency) * resumeTimeShare;
    const auto untilDeadline = std::chrono::duration_cast<std::chrono::microseconds>(incoming().deadline - incoming().targetTime);
    // The deadline of an impatient caller may be before the target.
    return std::max(std::chrono::microseconds(0), std::min(std::chrono::duration_cast<std::chrono::microseconds>(share), untilDeadline));
}

void gathered_request::startOtherWork(time_point now)
{
    for (const auto &resume : run().takeResumes()) {
        sendRelayResume(resume, now);
    }
}

void gathered_request::sendRelayResume(const part_resume &resume, time_point now)
{
    ++m_resumedParts;
    const auto part = resume.part;
    const auto latest = run().relayTarget() + resumeTime();
    m_relayCalls[part] = state().relays.sendResume(m_relayParts[part].address,
                                                   {m_firstToken + part, resume.neededShards},
                                                   std::chrono::duration_cast<std::chrono::milliseconds>(latest - now),
                                                   [self = shared_from_this(), this, part](std::optional<relay_result> result, bool) {
                                                       if (ended()) {
                                                           return;
                                                       }
                                                       m_relayCalls[part].reset();
                                                       if (!result) {
                                                           recordLostRelay(part);
                                                       }
                                                       const auto endedAt = monotonic_clock::now();
                                                       run().relayResumed(part, std::move(result), endedAt);
                                                       advance(endedAt);
                                                   });
}

void gathered_request::recordLostRelay(std::size_t partIndex)
{
    m_lostRelays += (m_lostRelays.empty() ? "" : ",") + m_relayParts[partIndex].address;
}

void gathered_request::cancelOtherWork()
{
    for (const auto &call : m_relayCalls) {
        if (call) {
            state().relays.cancel(*call);
        }
    }
}

void gathered_request::wakeupRun(time_point now)
{
    std::vector<bool> wasPending;
    for (std::size_t partIndex = 0; partIndex < m_relayParts.size(); ++partIndex) {
        wasPending.push_back(run().relayPending(partIndex));
    }
    caller_request::wakeupRun(now);
    for (std::size_t partIndex = 0; partIndex < m_relayParts.size(); ++partIndex) {
        if (wasPending[partIndex] && !run().relayPending(partIndex)) { // The host has not answered in time.
            state().relays.recordSilence(m_relayParts[partIndex].address, now);
            recordLostRelay(partIndex);
        }
    }
}

void gathered_request::answer(time_point now)
{
    const auto result = run().takeResult();
    const auto &route = *incoming().matchedRoute;
    const auto end = result.end;
    const std::string &missingShard = result.firstMissingShard.str();
    std::string relays;
    for (const auto &relayPart : m_relayParts) {
        relays += (relays.empty() ? "" : ",") + relayPart.address;
    }
    std::chrono::microseconds latency{0};
    if (result.succeeded()) {
        latency = respond(state().codec.encodeGathered(result), toString(end), now);
    } else if (end == gather_end::overloaded) {
        const error reason{error_code::overloaded, "too few shards would answer in time", "search", missingShard};
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(result.expected);
        latency =
            respond(state().codec.encodeNotRun(reason, std::clamp(wait / 2, maxRetryAfter / 4, maxRetryAfter)), toString(end), now, true);
    } else if (end == gather_end::notStarted) {
        const error reason{error_code::unreachable, "too few shards have a backend server", "search", missingShard};
        latency = respond(state().codec.encodeNotRun(reason, std::max(result.reachableIn, maxRetryAfter)), toString(end), now);
    } else {
        const bool late = end == gather_end::late;
        const error reason{late ? error_code::deadlineExceeded : error_code::unreachable,
                           "the least coverage was not reached; " + std::to_string(result.missing) + " of "
                               + std::to_string(route.shards.size()) + " shards are missing",
                           "search",
                           missingShard};
        latency = respond(state().codec.encodeFailure(late ? 504 : 502, reason), toString(end), now);
    }
    state().metrics.addExtraCalls(result.hedges, result.retries);
    state().log.writeRequest("search",
                             toString(end),
                             now,
                             {{"id", incoming().requestId},
                              {"route", route.name},
                              {"ms", latency},
                              {"shards", static_cast<std::int64_t>(route.shards.size())},
                              {"missing", std::int64_t{result.missing}},
                              {"hedges", std::int64_t{result.hedges}},
                              {"retries", std::int64_t{result.retries}},
                              {"skipped", std::int64_t{result.skipped}},
                              {"relays", relays},
                              {"resumed", m_resumedParts},
                              {"lostRelays", m_lostRelays},
                              {"expectedMs", result.expected},
                              {"reachableInMs", std::int64_t{result.reachableIn.count()}},
                              {"slowestMs", result.slowest},
                              {"missingShard", missingShard},
                              {"missingBecause", result.missing == 0 ? std::string() : std::string(toString(result.firstMissingEnd))},
                              {"config", static_cast<std::int64_t>(incoming().table->version())}});
}

} // namespace orioledrum
