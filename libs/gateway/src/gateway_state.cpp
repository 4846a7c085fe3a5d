#include <gateway_state.h>

#include <utility>

namespace orioledrum
{

namespace
{

/// Part of the target latency that is taken as the usual time of a call before there are samples.
constexpr int initialShare = 8;

} // namespace

gateway_state::gateway_state(asio::io_context &loop, gateway_settings configured, const message_codec &translator, http_client &client)
    : context(loop)
    , settings(std::move(configured))
    , codec(translator)
    , log(settings.host.str())
    , board({settings.zone, settings.extraCalls, settings.coldFactor, settings.coldSlack}, random_source::fromSystem())
    , caller(client, translator, metrics)
    , relays(client, board)
{
}

bool gateway_state::canServe(time_point now) const
{
    if (!table) {
        return false;
    }
    double all = 0;
    double served = 0;
    for (const auto &route : table->routes()) {
        const auto seen = requestsByRoute.find(route.key());
        // Before the first requests all routes count alike.
        const double weight = requestsByRoute.empty() ? 1.0 : (seen == requestsByRoute.end() ? 0.0 : static_cast<double>(seen->second));
        if (weight == 0) {
            continue;
        }
        all += weight;
        served += board.reachable(route, now) ? weight : 0;
    }
    return all == 0 || served * 2 >= all;
}

const std::shared_ptr<latency_profile> &gateway_state::profile(const route &route)
{
    auto &known = m_profiles[route.key()];
    if (!known) {
        known = std::make_shared<latency_profile>(std::chrono::microseconds(route.targetLatency) / initialShare);
    }
    return known;
}

} // namespace orioledrum
