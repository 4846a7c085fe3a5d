#include <relayed_request.h>

#include <gateway_state.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

std::shared_ptr<relayed_request>
relayed_request::create(gateway_state &state, const relay_search &message, std::shared_ptr<http_exchange> exchange)
{
    auto part = std::make_shared<route>();
    part->name = message.routeName;
    part->host = message.routeHost;
    part->prefix = message.routePrefix;
    part->repeat = repeat_rule::idempotent;
    part->targetLatency = std::chrono::duration_cast<std::chrono::milliseconds>(message.targetLatency);
    part->maxAttempts = message.maxAttempts;
    part->topRecords = message.topRecords;
    for (const auto &shard : message.shards) {
        part->shards.emplace_back(shard);
    }
    arrival received;
    received.request.method = message.method;
    received.request.target = message.target;
    for (std::size_t i = 0; i < message.headerNames.size() && i < message.headerValues.size(); ++i) {
        received.request.headers.push_back({message.headerNames[i], message.headerValues[i]});
    }
    received.exchange = std::move(exchange);
    received.requestId = message.request;
    received.matched = part.get();
    received.at = monotonic_clock::now();
    received.target = received.at + message.remaining;
    received.deadline = received.target;
    return std::make_shared<relayed_request>(state, std::move(received), std::move(part), message.allowedServers);
}

relayed_request::relayed_request(gateway_state &state,
                                 arrival received,
                                 std::shared_ptr<const route> part,
                                 std::vector<server_marks> allowedServers)
    : shard_request(state, std::move(received))
    , m_part(std::move(part))
{
    auto shards = makeInput();
    shards.keepPartial = true;
    shards.minCoverage = 0; // Only the asking host knows how many shards of the whole search may be missing.
    shards.preferredZone = state.settings.zone;
    shards.allowedServers = std::move(allowedServers);
    prepare(std::move(shards));
}

void relayed_request::answer(time_point now)
{
    auto result = run().takeResult();
    relay_answer message;
    message.end = static_cast<std::uint8_t>(result.end);
    const auto usual = callTemplate().profile->usual();
    for (std::size_t i = 0; i < result.shards.size(); ++i) {
        auto &shard = result.shards[i];
        const auto expected = state().board.expectedTime(m_part->shards[i], usual, now);
        const auto percent = expected && usual.count() > 0 ? expected->count() * 100 / usual.count() : 0;
        message.shards.push_back({static_cast<std::uint8_t>(shard.end),
                                  std::move(shard.proof),
                                  static_cast<std::uint32_t>(std::min<std::int64_t>(percent, 100'000))});
    }
    message.records = std::move(result.records);
    message.hedges = result.hedges;
    message.retries = result.retries;
    const auto latency = respond({200, "application/msgpack", {}, encode(message)}, "relayed", now);
    state().metrics.extraCalls(result.hedges, result.retries);
    if (result.missing == 0) {
        return; // The host that asked logs the request; only what it cannot see is logged here.
    }
    state().log.writeRequest("relay",
                             toString(result.end),
                             now,
                             {{"id", input().requestId},
                              {"route", m_part->name},
                              {"ms", latency},
                              {"shards", static_cast<std::int64_t>(m_part->shards.size())},
                              {"missing", std::int64_t{result.missing}},
                              {"hedges", std::int64_t{result.hedges}},
                              {"retries", std::int64_t{result.retries}},
                              {"missingShard", result.worstShard.str()},
                              {"missingBecause", std::string(toString(result.worstEnd))}});
}

} // namespace orioledrum
