#pragma once

#include <membership/membership.h>
#include <transport/http_client.h>
#include <transport/http_handler.h>

#include <asio/steady_timer.hpp>

#include <memory>

namespace orioledrum
{

struct gateway_state;

/// Exchanges heartbeats with the other entry hosts, and tells the board how many hosts share its limits.
///
/// Hosts that were lost still count until membership forgets them, because a host that cannot be heard may still be
/// sending to backend servers.
class host_link final : public http_handler
{
public:
    /// Hosts assumed while no other host was ever heard from.
    static constexpr std::uint32_t assumedHosts = 10;
    /// Time after the start in which hosts that start at the same moment may not have heard of each other.
    static constexpr std::chrono::seconds settleTime{4};

    host_link(gateway_state &state, http_client &client, std::vector<std::string> seeds);

    /// Starts the heartbeats.
    void start();
    /// Announces that this host leaves.
    void leave();
    void setSeeds(std::vector<std::string> seeds);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    void handleRelayed(const http_request &request, std::shared_ptr<http_exchange> exchange);
    void tick();
    void apply(const membership_actions &actions);
    void send(const send_digest &action);
    void countHosts();
    /// Tells which hosts can gather parts of searches, when the view has changed.
    void updateRelays();

    gateway_state &m_state;
    http_client &m_client;
    membership m_membership;
    std::shared_ptr<const membership_view> m_relayView; // The view that the relays were told of.
    asio::steady_timer m_timer;
    time_point m_started;
    std::uint32_t m_hosts = 0;
};

} // namespace orioledrum
