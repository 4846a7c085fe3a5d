#include <search/replica_candidate.h>
#include <search/replica_registry.h>

#include <algorithm>
#include <tuple>

namespace orioledrum
{

namespace
{

/// Shares and factors from which on they are named as a reason; smaller ones hardly change the order.
constexpr double notableFailureShare = 0.05;
constexpr double notableSlowness = 1.1;

std::optional<std::chrono::milliseconds> ageOf(time_point moment, time_point now)
{
    return moment == time_point() ? std::nullopt : std::optional(std::chrono::floor<std::chrono::milliseconds>(now - moment));
}

std::vector<std::string_view> obstaclesOf(const replica &server, bool zoneExcluded, bool atLimit, time_point now)
{
    std::vector<std::string_view> obstacles;
    const auto addIf = [&](bool applies, std::string_view name) {
        if (applies) {
            obstacles.push_back(name);
        }
    };
    const auto &suspension = server.suspension();
    addIf(zoneExcluded, "excludedZone");
    addIf(suspension.leaving(), "leaving");
    addIf(!suspension.leaving() && suspension.active(now), "quiet");
    addIf(!suspension.active(now) && server.refusesCalls(now), "drained");
    addIf(server.unreachable(), "unreachable");
    addIf(!server.unreachable() && now < server.backoffUntil(), "backoff");
    addIf(server.waitsForFirstAnswer(), "firstAnswer");
    addIf(atLimit, "callLimit");
    return obstacles;
}

} // namespace

const extra_call_budget *replica_registry::findBudget(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second.budget.get();
}

std::vector<replica_candidate>
replica_registry::candidates(const service_id &service, std::chrono::microseconds unqueuedLatency, time_point now) const
{
    std::vector<replica_candidate> result;
    for (const auto &server : replicas(service)) {
        const auto limit = callLimit(*server);
        replica_candidate each;
        each.id = server->entry().id;
        each.address = server->entry().address;
        each.zone = server->entry().zone;
        each.expected = server->expectedTime(unqueuedLatency, now);
        each.cost = cost(*server, unqueuedLatency, each.expected, now);
        each.load = server->load(now);
        each.callsAtATime = server->callsAtATime(now);
        each.slowness = server->slowness(now);
        each.workTimeFactor = server->workTimeFactor(now);
        each.failureShare = server->failureShare(now);
        each.outstandingCalls = server->outstandingCalls();
        each.callLimit = limit == SIZE_MAX ? std::nullopt : std::optional(limit);
        each.loadAge = ageOf(server->loadReportedAt(), now);
        each.answerAge = ageOf(server->lastResponseAt(), now);
        each.obstacles = obstaclesOf(*server, m_excludedZones.contains(each.zone), each.outstandingCalls >= limit, now);
        const auto addIf = [&](bool applies, std::string_view name) {
            if (applies) {
                each.reasons.push_back(name);
            }
        };
        addIf(each.zone != m_settings.localZone, "otherZone");
        addIf(server->stalled(now), "stalled");
        addIf(!server->stalled(now) && server->paused(now), "paused");
        addIf(limit != SIZE_MAX && each.outstandingCalls >= std::max<std::size_t>(2, limit / 2), "connections");
        addIf(server->entry().draining, "draining");
        addIf(each.failureShare >= notableFailureShare, "failures");
        addIf(each.slowness * each.workTimeFactor >= notableSlowness, "slow");
        addIf(static_cast<double>(each.load + 1) > each.callsAtATime, "busy");
        addIf(server->cold(now), "cold");
        result.push_back(std::move(each));
    }
    std::sort(result.begin(), result.end(), [](const replica_candidate &left, const replica_candidate &right) {
        return std::tuple(!left.obstacles.empty(), left.cost, left.id) < std::tuple(!right.obstacles.empty(), right.cost, right.id);
    });
    return result;
}

} // namespace orioledrum
