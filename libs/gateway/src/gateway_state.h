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
#include <search/latency_profile.h>
#include <search/replica_board.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace asio
{
class io_context;
}

namespace orioledrum
{

/// What the parts of a gateway share. Used by one thread.
struct gateway_state {
    gateway_state(asio::io_context &loop, gateway_settings configured, const message_codec &translator, http_client &client);

    /// @return True when at least half of the requests seen so far, by route, could be served now.
    [[nodiscard]] bool canServe(time_point now) const;

    /// @return The call times of a kind of request; kept over versions of the routes.
    const std::shared_ptr<latency_profile> &profile(const route &route);

    asio::io_context &context;
    gateway_settings settings;
    const message_codec &codec;
    event_log log;
    gateway_metrics metrics;
    replica_board board;
    backend_caller caller;
    relay_client relays;
    service_split split;
    std::shared_ptr<const route_table> table; ///< Null until the first version is known.
    bool stopping = false;
    bool serviceable = false; ///< Latest result of canServe().
    std::unordered_map<std::string, std::uint64_t> requestsByRoute; ///< By host and prefix.

private:
    std::unordered_map<std::string, std::shared_ptr<latency_profile>> m_profiles;
};

} // namespace orioledrum
