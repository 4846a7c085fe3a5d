#include <gateway_state.h>

#include <utility>

namespace orioledrum
{

namespace
{

/// Until there are enough samples, the unqueued latency of a call is assumed to be the target latency divided by this.
constexpr int initialLatencyDivisor = 8;

/// Part of the drain time in which a draining backend server is called. The rest covers the time until this host has read that it drains.
constexpr int drainTimePerGracePeriod = 3;

replica_registry_settings registrySettings(const gateway_settings &settings)
{
    replica_registry_settings result;
    result.localZone = settings.zone;
    result.extraCalls = settings.extraCalls;
    result.coldFactor = settings.coldFactor;
    result.coldSlack = settings.coldSlack;
    result.learnedLimits = settings.learnedLimits;
    result.drainGracePeriod = settings.drainTime / drainTimePerGracePeriod;
    return result;
}

} // namespace

gateway_state::gateway_state(asio::io_context &ioContext,
                             gateway_settings gatewaySettings,
                             const message_codec &messageCodec,
                             http_client &client)
    : context(ioContext)
    , settings(std::move(gatewaySettings))
    , codec(messageCodec)
    , log(settings.host.str())
    , registry(registrySettings(settings), random_source::fromSystem())
    , backendCaller(client, messageCodec, registry, metrics, log)
    , relays(client, registry, settings.hosts.text())
{
}

bool gateway_state::canServe(time_point now) const
{
    if (!table) {
        return false;
    }
    double totalWeight = 0;
    double servableWeight = 0;
    for (const auto &route : table->routes()) {
        const auto found = requestsByRoute.find(route.key());
        // Before the first request, all routes have the same weight.
        const double weight = requestsByRoute.empty() ? 1.0 : (found == requestsByRoute.end() ? 0.0 : static_cast<double>(found->second));
        if (weight == 0) {
            continue;
        }
        totalWeight += weight;
        servableWeight += registry.reachable(route, now) ? weight : 0;
    }
    return totalWeight == 0 || servableWeight * 2 >= totalWeight;
}

const std::shared_ptr<latency_profile> &gateway_state::profile(const route &route)
{
    auto &entry = m_profiles[route.key()];
    if (!entry) {
        entry = std::make_shared<latency_profile>(std::chrono::microseconds(route.targetLatency) / initialLatencyDivisor);
    }
    return entry;
}

} // namespace orioledrum
