#include <relayed_request.h>

#include <gateway_state.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// Checks what the calls depend on: a value that is missing must not become a default, and one that is out of range must not be replaced.
expected<void> checkMessage(const relay_search &message)
{
    const auto invalid = [](const char *reason) { return makeError(error_code::invalidArgument, "relay search", reason); };
    if (message.shards.empty()) {
        return invalid("there are no shards");
    }
    if (message.headerNames.size() != message.headerValues.size()) {
        return invalid("the header has names without values or values without names");
    }
    for (std::size_t i = 0; i < message.headerNames.size(); ++i) {
        if (!isValidRequestField({message.headerNames[i], message.headerValues[i]})) {
            return invalid("a header field is not valid");
        }
    }
    if (!isToken(message.method)) {
        return invalid("the method is not valid");
    }
    if (message.knownServers.size() != message.shards.size()) {
        return invalid("the backend servers that the sender knows are not given for each shard");
    }
    const bool coldTimesFit = std::equal(message.knownServers.begin(),
                                         message.knownServers.end(),
                                         message.knownColdTimes.begin(),
                                         message.knownColdTimes.end(),
                                         [](const auto &servers, const auto &times) { return servers.size() == times.size(); });
    if (!coldTimesFit) {
        return invalid("the time for which it is cold is not given for each backend server");
    }
    if (message.shardLimits.size() != message.shards.size()) {
        return invalid("the limits are not given for each shard");
    }
    for (const auto &limits : message.shardLimits) {
        // The comparison is also false for a rate that is not a number.
        if (limits.maxConnections == 0U || !(limits.maxColdRequestsPerSecond.value_or(0) >= 0)) {
            return invalid("a limit is not valid");
        }
    }
    if (message.targetLatency.count() <= 0 || message.targetLatency > route::maxTime) {
        return invalid("the target latency is out of range");
    }
    // Both times are parts of the target latency. The request is kept in memory until they are over.
    if (message.remaining.count() <= 0 || message.remaining > message.targetLatency || message.resumeTime.count() < 0
        || message.resumeTime > message.targetLatency) {
        return invalid("the remaining time or the resume time does not fit the target latency");
    }
    if (message.maxServers == 0) {
        return invalid("no backend server may be called");
    }
    return {};
}

} // namespace

expected<std::shared_ptr<relayed_request>>
relayed_request::create(gateway_state &state, const relay_search &message, const std::shared_ptr<http_exchange> &exchange)
{
    if (auto checked = checkMessage(message); !checked) {
        return tl::unexpected(checked.error());
    }
    auto partRoute = std::make_shared<route>();
    partRoute->name = message.routeName;
    partRoute->host = message.routeHost;
    partRoute->prefix = message.routePrefix;
    partRoute->retrySafety = retry_safety::idempotent;
    partRoute->targetLatency = std::chrono::duration_cast<std::chrono::milliseconds>(message.targetLatency);
    partRoute->maxServers = message.maxServers;
    partRoute->maxRecords = message.maxRecords;
    for (const auto &shard : message.shards) {
        partRoute->shards.emplace_back(shard);
    }
    for (std::size_t i = 0; i < message.shards.size(); ++i) {
        const auto &limits = message.shardLimits[i];
        state.registry.learnLimits(partRoute->shards[i], {limits.maxConnections, limits.maxColdRequestsPerSecond}, message.configVersion);
    }
    incoming_request received;
    received.request.method = message.method;
    received.request.target = message.target;
    for (std::size_t i = 0; i < message.headerNames.size(); ++i) {
        received.request.headers.push_back({message.headerNames[i], message.headerValues[i]});
    }
    received.request.body = message.body;
    received.exchange = exchange;
    received.requestId = message.request;
    received.matchedRoute = partRoute.get();
    received.receivedAt = monotonic_clock::now();
    received.targetTime = received.receivedAt + message.remaining;
    received.deadline = received.targetTime + message.resumeTime;
    return std::make_shared<relayed_request>(state, std::move(received), std::move(partRoute), message);
}

relayed_request::relayed_request(gateway_state &state,
                                 incoming_request received,
                                 std::shared_ptr<const route> partRoute,
                                 const relay_search &message)
    : shard_request(state, std::move(received))
    , m_token(message.token)
    , m_partRoute(std::move(partRoute))
{
    auto gatherInput = makeGatherInput();
    gatherInput.keepPartial = true;
    gatherInput.resumable = true;
    gatherInput.minCoverage = 0; // Only the requesting host knows how many shards of the whole search may be missing.
    gatherInput.preferredZone = state.settings.zone;
    gatherInput.knownServers = message.knownServers;
    for (const auto &times : message.knownColdTimes) {
        auto &coldTimes = gatherInput.knownColdTimes.emplace_back();
        for (const auto time : times) {
            coldTimes.push_back(std::min(std::chrono::milliseconds(time), route::maxTime));
        }
    }
    createRun(std::move(gatherInput));
}

bool relayed_request::resume(const relay_resume &message, const std::shared_ptr<http_exchange> &exchange)
{
    if (!ended() || !run().finished()) {
        return false; // The asking host has already resumed it, or has disconnected before the first answer.
    }
    const auto now = monotonic_clock::now();
    reopen(exchange);
    run().resume(message.neededShards, now);
    advance(now);
    return true;
}

void relayed_request::callEndedAfterAnswer(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now)
{
    if (run().finished()) {
        callEnded(attempt, std::move(outcome), std::move(reply), now);
    }
}

void relayed_request::answer(time_point now)
{
    auto result = run().takeResult();
    relay_answer message;
    message.token = m_token;
    message.end = static_cast<std::uint8_t>(result.end);
    const auto unqueuedLatency = callTemplate().profile->unqueuedLatency(now);
    for (std::size_t i = 0; i < result.shards.size(); ++i) {
        auto &shard = result.shards[i];
        const auto expectedLatency = state().registry.expectedTime(m_partRoute->shards[i], unqueuedLatency, now);
        // Expected latency, with queueing, in percent of the latency without it.
        const auto loadPercent =
            expectedLatency && unqueuedLatency.count() > 0 ? expectedLatency->count() * 100 / unqueuedLatency.count() : 0;
        message.shards.push_back({static_cast<std::uint8_t>(shard.end),
                                  std::move(shard.signature),
                                  static_cast<std::uint32_t>(std::min<std::int64_t>(loadPercent, 100'000))});
    }
    message.records = std::move(result.records);
    message.hedges = result.hedges;
    message.retries = result.retries;
    const auto latency = respond({200, "application/msgpack", {}, encode(message)}, "relayed", now);
    state().metrics.addExtraCalls(result.hedges, result.retries);
    if (result.missing == 0) {
        return; // The requesting host logs the search. A log line of this host is needed only to explain missing shards.
    }
    state().log.writeRequest("relay",
                             toString(result.end),
                             now,
                             {{"id", incoming().requestId},
                              {"route", m_partRoute->name},
                              {"ms", latency},
                              {"shards", static_cast<std::int64_t>(m_partRoute->shards.size())},
                              {"missing", std::int64_t{result.missing}},
                              {"hedges", std::int64_t{result.hedges}},
                              {"retries", std::int64_t{result.retries}},
                              {"missingShard", result.firstMissingShard.str()},
                              {"missingBecause", std::string(toString(result.firstMissingEnd))}});
}

} // namespace orioledrum
