#pragma once

#include <membership/membership.h>
#include <transport/http_client.h>
#include <transport/http_handler.h>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace orioledrum
{

struct gateway_state;
class publication_reader;
class relayed_request;

/// Exchanges heartbeats (digests of the host list) with the other entry hosts. Derives from them how many hosts share the limits of
/// backend servers and which hosts can gather parts of searches. Also receives the parts of searches that other hosts delegate to this
/// host, and creates a relayed_request for each.
///
/// A host that is unreachable from here is counted until membership removes it, because it may still send calls to backend servers.
class host_link final : public http_handler
{
public:
    /// Minimum number of hosts assumed to share the limits while no other host is known, and until settleTime has passed.
    static constexpr std::uint32_t assumedHosts = 10;
    /// Time after the start within which hosts that start at the same time may not know each other yet.
    static constexpr std::chrono::seconds settleTime{4};

    host_link(gateway_state &state, http_client &client, publication_reader &reader, std::vector<std::string> seeds);

    /// Starts the heartbeats.
    void start();
    /// Announces to the other hosts that this host is leaving.
    void leave();
    /// @param seeds "ip:port" of hosts that are contacted to find the others.
    void setSeeds(std::vector<std::string> seeds);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    void handleRelaySearch(const http_request &request, std::shared_ptr<http_exchange> exchange);
    void handleRelayResume(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    /// Drops relayed searches that can no longer be resumed.
    void dropExpiredSearches(time_point now);
    void tick();
    void apply(const membership_actions &actions);
    void send(const send_digest &action);
    /// Updates the number of hosts that share limits, and calls updateRelays().
    void updateHostCount();
    /// Passes the live hosts to the relay client and the publication reader when the membership view has changed.
    void updateRelays();

    gateway_state &m_state;
    http_client &m_client;
    publication_reader &m_reader;
    membership m_membership;
    std::shared_ptr<const membership_view> m_relayView; // View that was last passed to the relay client.
    std::unordered_map<std::uint64_t, std::shared_ptr<relayed_request>> m_relayedSearches; // By relay_search::token.
    asio::steady_timer m_timer;
    time_point m_startedAt;
    std::uint32_t m_hostCount = 0;
};

} // namespace orioledrum
