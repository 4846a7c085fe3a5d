#pragma once

#include <base/error.h>
#include <base/ids.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// A backend server that serves a shard.
struct search_replica {
    backend_id backend;
    zone_id zone;
    group_id group;
    bool excluded = false; ///< Gets no new work: its availability zone is out of service, or the host list marks it as leaving.
};

/// A shard with its replicas.
struct search_shard {
    shard_id id;
    std::vector<search_replica> replicas;
};

/// One way to divide the index of a service into shards, which together hold the whole index.
struct search_layout {
    std::uint32_t number = 0;
    std::vector<search_shard> shards;
};

/// The layouts of a service. Numbers its backend servers from 0 without gaps, so that arrays can be indexed by number.
///
/// Immutable and shared by all threads. A new topology is built whenever the configuration or the host list changes.
class search_topology
{
public:
    /// @param layouts One or more layouts with distinct numbers, each with at least one shard. Within a layout each shard is
    ///     listed once and has at most 64 replicas.
    /// @return The topology, or invalidArgument when the layouts break one of these rules.
    static expected<search_topology> create(service_id service, std::vector<search_layout> layouts);

    [[nodiscard]] const service_id &service() const { return m_service; }
    [[nodiscard]] const std::vector<search_layout> &layouts() const { return m_layouts; }

    /// @return Number of distinct backend servers in all layouts.
    [[nodiscard]] std::size_t backendCount() const { return m_backends.size(); }

    /// @return The backend servers, indexed by number.
    [[nodiscard]] const std::vector<backend_id> &backends() const { return m_backends; }

    /// @return The number of a backend server, or backendCount() when it is not part of the service.
    [[nodiscard]] std::size_t find(const backend_id &backend) const;

    /// @return The number of the backend server behind layouts()[layout].shards[shard].replicas[replica].
    [[nodiscard]] std::uint32_t backendNumber(std::size_t layout, std::size_t shard, std::size_t replica) const
    {
        return m_numbers[layout][shard][replica];
    }

    /// @return True when the backend server is marked as excluded in any of its shards.
    [[nodiscard]] bool excluded(std::size_t number) const { return m_excluded[number]; }

private:
    search_topology() = default;

    service_id m_service;
    std::vector<search_layout> m_layouts;
    std::vector<backend_id> m_backends;
    std::vector<bool> m_excluded; // By backend number.
    std::unordered_map<backend_id, std::uint32_t> m_numberByBackend;
    std::vector<std::vector<std::vector<std::uint32_t>>> m_numbers; // By layout, shard and replica index.
};

} // namespace orioledrum
