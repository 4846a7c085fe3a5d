#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// How a service processes a request.
enum class service_kind : std::uint8_t {
    search, ///< Scatter-gather over all shards of a layout.
    order, ///< Non-idempotent requests, each run at most once.
};

/// @return "search" or "order".
std::string_view toString(service_kind kind);

/// Limits on how long a search waits for missing shards after it has reached the minimum coverage. The wait ends at the
/// earlier limit.
struct extra_wait {
    std::chrono::milliseconds maximum{20}; ///< Maximum wait after reaching the minimum coverage.
    double elapsedFactor = 1.0; ///< Maximum wait as a multiple of the time taken to reach the minimum coverage.
};

/// Settings of a service that trade off latency, coverage and extra load.
struct service_policy {
    double minCoverage = 0.99; ///< Share of the shards, 0 to 1, that must have answered before a search may end early.
    std::chrono::milliseconds defaultDeadline{1000}; ///< Used for requests that specify no deadline.
    double hedgeBudget = 0.04; ///< Maximum number of hedged calls as a share of all calls, 0 to 0.05.
    extra_wait extraWait;
};

/// One part of a service's index and the backend servers that hold it.
struct shard_config {
    shard_id id;
    std::vector<backend_id> replicas; ///< In the order of the file; never empty, no duplicates.
    std::vector<std::uint32_t> replicaIndexes; ///< Positions of `replicas` in configuration::backendServers().
};

/// One partitioning of a service's index into shards.
struct layout_config {
    std::uint32_t id = 0;
    std::vector<shard_config> shards; ///< Sorted by id, never empty.

    /// @return The shard with this id, or nullptr.
    [[nodiscard]] const shard_config *findShard(const shard_id &shard) const;
};

/// A service with its policy and the placement of its shards.
struct service_config {
    service_id id;
    service_kind kind = service_kind::search;
    service_policy policy;
    std::vector<layout_config> layouts; ///< Sorted by id; normally one, two while the service is being repartitioned.
    std::vector<std::uint32_t> backendIndexes; ///< Backend servers of all layouts as positions in
                                               ///< configuration::backendServers(), sorted, no duplicates.

    /// @return The layout with this id, or nullptr.
    [[nodiscard]] const layout_config *findLayout(std::uint32_t layout) const;
};

} // namespace orioledrum
