#pragma once

#include <search/gather_run.h>
#include <search/relay_selector.h>
#include <transport/http_client.h>
#include <wire/relay_messages.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Leaves parts of searches to entry hosts in the availability zones of the backend servers: the answers of many shards
/// then cross the border of the zone once, merged.
class relay_client
{
public:
    /// Fewest shards for which another host is asked; for fewer, the saving does not pay for the further step.
    static constexpr std::size_t leastShards = 4;
    /// Least time until the target for which another host is asked.
    static constexpr std::chrono::milliseconds leastTime{25};
    /// Least share of the shards that must have a backend server in the other host's zone.
    static constexpr double leastShare = 0.75;

    /// @param result What was gathered; nothing when the other host did not answer.
    /// @param notSent Meaningful without a result: the other host surely has not got the search.
    using callback = std::function<void(std::optional<relay_result> result, bool notSent)>;

    /// Most shards in a part: more take a quarter of a core some 10 ms to send and as long to read.
    static constexpr std::size_t mostShards = 16;

    /// A part of a search and the host that is to gather it.
    struct planned_part {
        relay_part part;
        std::string address;
    };
    using plan = std::vector<planned_part>;

    relay_client(http_client &client, replica_board &board);

    /// Sets the other hosts that are live.
    void setHosts(const std::vector<relay_host> &hosts) { m_selector.setHosts(hosts); }

    /// @param shards All shards of a search.
    /// @return What is left to other hosts: shards without a backend server in the own zone, and of the others those beyond
    /// mostShards, to hosts of the own zone.
    [[nodiscard]] plan choose(const std::vector<service_id> &shards, time_point target, time_point now);

    /// Asks a host.
    /// @param address The host.
    /// @param message The search.
    /// @param done Called once, later.
    http_call_handle send(const std::string &address, const relay_search &message, callback done);

    /// Breaks a relayed search off; its callback is called without a result.
    void cancel(http_call_handle handle) { m_client.cancel(handle); }

    /// The host did not answer in time.
    void late(const std::string &address, time_point now) { m_selector.failed(address, now); }

private:
    void addParts(plan &chosen, const std::vector<std::size_t> &positions, const std::vector<zone_id> &zones, time_point now);
    [[nodiscard]] std::vector<zone_id>
    zonesOf(const std::vector<service_id> &shards, const std::vector<std::size_t> &positions, time_point now) const;

    http_client &m_client;
    replica_board &m_board;
    relay_selector m_selector;
};

/// Path at which entry hosts take parts of searches.
inline constexpr const char *relayPath = "/hosts/search";

} // namespace orioledrum
