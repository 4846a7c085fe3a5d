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

/// Delegates parts of searches to other entry hosts. A host in the availability zone of the backend servers merges the answers of
/// many shards, so that only the merged answer crosses the zone boundary. Large searches are also divided among hosts of the same
/// zone, to share the CPU work.
class relay_client
{
public:
    /// Minimum number of shards to delegate; with fewer, the extra hop costs more than the merge saves.
    static constexpr std::size_t minShards = 4;
    /// Shards are only delegated when at least this much time is left until the target time of the search, unless processor time decides;
    /// see part_sizing.
    static constexpr std::chrono::milliseconds minTimeLeft{25};
    /// Minimum share, among the shards without a reachable backend server in this host's zone, that must have one in another zone before
    /// hosts of that zone are asked to gather them.
    static constexpr double minZoneShare = 0.75;

    /// @param result What the other host gathered; nullopt when the call failed or was cancelled, or the answer is a refusal or invalid.
    /// @param notSent True when the other host has certainly called no backend server, because it has not received the search or has
    ///     refused it; only meaningful without a result.
    using callback = std::function<void(std::optional<relay_result> result, bool notSent)>;

    /// A part of a search and the host that gathers it.
    struct assigned_part {
        relay_part part;
        std::string address;
    };
    using assigned_parts = std::vector<assigned_part>;

    /// @param self "ip:port" of this host for traffic between entry hosts.
    relay_client(http_client &client, replica_registry &registry, std::string self);

    /// Sets the entry hosts that are live, including this host.
    void setHosts(const std::vector<relay_host> &hosts) { m_selector.setHosts(hosts); }

    /// Decides which shards of a search other hosts gather.
    /// @param shards All shards of the search; each shard is a service.
    /// @param targetTime Target time of the search.
    /// @return The delegated parts; empty when this host is as fast alone. Shards without a reachable backend server in this
    /// host's zone go to hosts in other zones that cover minZoneShare of them; when no zone does and they are more than
    /// part_sizing::usualShardsPerPart, to hosts of the few zones that cover most of them. When more than part_sizing::usualShardsPerPart
    /// shards have a backend server in this zone, they are divided among the hosts of the zone, and this host keeps the part that the
    /// relay_selector assigns to it, if any. In both cases, fewer than minShards shards, and shards for which no host is available, stay
    /// with this host.
    [[nodiscard]] assigned_parts assignParts(const std::vector<service_id> &shards, time_point targetTime, time_point now);

    /// @return What assignParts() would return now. The next call of assignParts() decides as if this function had not been called.
    [[nodiscard]] assigned_parts previewParts(const std::vector<service_id> &shards, time_point targetTime, time_point now);

    /// Sends a part of a search to another host.
    /// @param address "ip:port" of the host.
    /// @param done Called exactly once, asynchronously.
    http_call_handle send(const std::string &address, const relay_search &message, callback done);

    /// Cancels a relayed search; its callback is called without a result.
    void cancel(http_call_handle handle) { m_client.cancel(handle); }

    /// Asks a host that has answered a relay_search to go on with the shards that were missing.
    /// @param timeLeft Time until the host gives these shards up.
    /// @param done Called exactly once, asynchronously.
    http_call_handle sendResume(const std::string &address, const relay_resume &message, std::chrono::milliseconds timeLeft, callback done);

    /// @return A random relay_search::token; the numbers that follow it may be used for further parts.
    [[nodiscard]] std::uint64_t newToken() { return m_tokens.next(); }

    /// Records that a host answered that it cannot gather.
    void recordFailure(const std::string &address, time_point now) { m_selector.failed(address, now); }
    /// Records that a host did not answer in time.
    void recordSilence(const std::string &address, time_point now) { m_selector.silent(address, now); }

private:
    /// Divides the shards at the given positions into parts and appends them to `parts`, each with a different host in one
    /// of the zones. Fewer than minShards shards, and shards for which no host is left, stay with this host.
    void assignShards(assigned_parts &parts,
                      const std::vector<service_id> &shards,
                      const std::vector<std::size_t> &positions,
                      const std::vector<zone_id> &zones,
                      time_point targetTime,
                      time_point now);
    /// Assigns shards without a reachable backend server in this host's zone.
    void assignOtherZones(assigned_parts &parts,
                          const std::vector<service_id> &shards,
                          std::vector<std::size_t> positions,
                          time_point targetTime,
                          time_point now);
    /// @return The zone other than this host's in which most of the shards have a reachable backend server; nothing if none has one.
    [[nodiscard]] std::optional<zone_id>
    zoneCoveringMost(const std::vector<service_id> &shards, const std::vector<std::size_t> &positions, time_point now) const;
    /// Decodes the answer to a relay_search or relay_resume with a token.
    [[nodiscard]] static expected<relay_result> decodeResult(const http_reply &reply, std::uint64_t token, const std::string &address);
    /// @return Zones that reach minZoneShare of the shards at the given positions. A shard with a reachable backend server in a zone counts
    /// there once for each of its backend servers in that zone.
    [[nodiscard]] std::vector<zone_id>
    zonesCovering(const std::vector<service_id> &shards, const std::vector<std::size_t> &positions, time_point now) const;

    http_client &m_client;
    replica_registry &m_registry;
    std::string m_self;
    relay_selector m_selector;
    random_source m_tokens = random_source::fromSystem();
};

/// HTTP path at which entry hosts receive parts of searches.
inline constexpr const char *relayPath = "/hosts/search";
/// HTTP path at which entry hosts are asked to go on with a part of a search.
inline constexpr const char *relayResumePath = "/hosts/search/resume";

} // namespace orioledrum
