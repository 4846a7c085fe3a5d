#pragma once

#include <backend_caller.h>
#include <gateway/gateway_settings.h>
#include <gateway/message_codec.h>
#include <gateway_metrics.h>
#include <logging/event_log.h>
#include <relay_client.h>
#include <service_split.h>

#include <base/random_source.h>
#include <config/route_table.h>
#include <limits/organisation_fairness.h>
#include <search/latency_profile.h>
#include <search/replica_registry.h>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class open_request;

/// State that the components of a gateway share. Used by one thread only.
struct gateway_state {
    gateway_state(asio::io_context &ioContext, gateway_settings gatewaySettings, const message_codec &messageCodec, http_client &client);

    /// @return True when this host can now serve routes with at least half of the total weight, or the total weight is 0. The weight
    /// of a route is the number of requests received for it so far; before the first request, all routes have the same weight. False
    /// before the first route table.
    [[nodiscard]] bool canServe(time_point now) const;

    /// @return The call latencies of a route; kept when the route table changes.
    const std::shared_ptr<latency_profile> &profile(const route &route);

    asio::io_context &context;
    gateway_settings settings;
    const message_codec &codec;
    event_log log;
    gateway_metrics metrics;
    replica_registry registry;
    backend_caller backendCaller;
    relay_client relays;
    service_split serviceSplit;
    organisation_fairness fairness; ///< Of the requests that callers send to this host.
    std::shared_ptr<const route_table> table; ///< Active route table; null before the first one.
    /// While this host waits for its first state: when it reads the platform itself. Not reset afterwards.
    std::optional<time_point> firstReadAt;
    /// Requests that have no answer yet, those of other hosts included.
    std::unordered_map<const open_request *, std::weak_ptr<open_request>> openRequests;
    bool stopping = false;
    bool canServeNow = false; ///< Latest result of canServe().
    /// Number of received requests by route::key(), that is, the Host header value and the path prefix.
    std::unordered_map<std::string, std::uint64_t> requestsByRoute;

private:
    std::unordered_map<std::string, std::shared_ptr<latency_profile>> m_profiles;
};

} // namespace orioledrum
