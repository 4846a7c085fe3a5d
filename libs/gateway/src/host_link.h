#pragma once

#include <host_capacities.h>
#include <host_counter.h>
#include <membership/membership.h>
#include <transport/http_client.h>
#include <transport/http_handler.h>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

struct gateway_state;
class publication_reader;
class relayed_request;
class usage_caps;

/// Exchanges heartbeats (digests of the host list) with the other entry hosts. Derives from them how many hosts share the limits of
/// backend servers and which hosts can gather parts of searches. Also receives the parts of searches that other hosts delegate to this
/// host, and creates a relayed_request for each.
///
/// A host that is unreachable from here is counted until membership removes it, because it may still send calls to backend servers.
class host_link final : public http_handler
{
public:
    host_link(gateway_state &state, http_client &client, publication_reader &reader, usage_caps &usage, std::vector<std::string> seeds);

    /// Starts the heartbeats.
    void start();
    /// Announces to the other hosts that this host is leaving.
    void leave();
    /// @param seeds "ip:port" of hosts that are contacted to find the others.
    void setSeeds(std::vector<std::string> seeds);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    /// The hosts that share limits, and for how many hosts the limits are divided.
    struct sharing_hosts {
        std::shared_ptr<const membership_view> view;
        std::uint32_t hostCount = 0;
        slack_division slack;
        bool settled = false;
        bool operator==(const sharing_hosts &) const = default;
    };

    void handleRelaySearch(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void handleRelayResume(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    /// Drops relayed searches that can no longer be resumed.
    void dropExpiredSearches(time_point now);
    void tick();
    void apply(const membership_actions &actions);
    void send(const send_digest &action);
    /// Sends a digest without capacities, to a host of an earlier version.
    void sendAlone(const send_digest &action);
    void handleDigest(const http_request &request, http_exchange &exchange);
    void receiveAnswer(const digest &answer);
    /// Carries out what a received digest has led to.
    void digestReceived(const membership_actions &actions);
    /// Sends a digest again that has failed, while this host starts.
    void retryAtStart(const send_digest &action);
    /// Passes the hosts that share limits to the registry when they have changed, and calls updateRelays().
    void updateSharingHosts();
    /// Passes the live hosts to the relay client and the publication reader when the membership view has changed.
    void updateRelays();

    gateway_state &m_state;
    http_client &m_client;
    publication_reader &m_reader;
    usage_caps &m_usage;
    membership m_membership;
    host_capacities m_capacities;
    std::shared_ptr<const membership_view> m_relayView; // View that was last passed to the relay client.
    std::unordered_map<std::uint64_t, std::shared_ptr<relayed_request>> m_relayedSearches; // By relay_search::token.
    asio::steady_timer m_timer;
    asio::steady_timer m_retryTimer;
    std::vector<send_digest> m_digestsToRetry; // Sent when m_retryTimer expires.
    time_point m_startedAt;
    host_counter m_counter;
    sharing_hosts m_sharing; // As last passed to the registry.
};

} // namespace orioledrum
