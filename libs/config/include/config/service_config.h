#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// What a service does with a request.
enum class service_kind : std::uint8_t {
    search, ///< Scatter-gather over all shards of a layout.
    order, ///< Non-idempotent requests, each run at most once.
};

/// @return "search" or "order".
std::string_view toString(service_kind kind);

/// How long a search waits for missing shards once the minimum coverage is reached. It ends when either limit is
/// reached.
struct wait_for_more {
    std::chrono::milliseconds maximum{20}; ///< Longest wait after the minimum coverage was reached.
    double elapsedFactor = 1.0; ///< Longest wait as a multiple of the time that reaching the minimum coverage took.
};

/// Trade-off between latency, coverage and extra load of one service.
struct service_policy {
    double minimumCoverage = 0.99; ///< Share of the shards, 0 to 1, below which an answer is not given early.
    std::chrono::milliseconds defaultDeadline{1000}; ///< For requests that name none.
    double hedgeBudget = 0.04; ///< Hedged requests as a share of the calls, 0 to 0.05.
    wait_for_more waitForMore;
};

/// One part of a service's index and the backend servers that hold it.
struct shard_config {
    shard_id id;
    std::vector<backend_id> replicas; ///< In the order of the file; never empty, no repetition.
    std::vector<std::uint32_t> replicaIndexes; ///< Positions of `replicas` in configuration::backendServers().
};

/// One way of dividing a service's index into shards.
struct layout_config {
    std::uint32_t id = 0;
    std::vector<shard_config> shards; ///< Sorted by id, never empty.

    /// @return The shard, or nullptr.
    [[nodiscard]] const shard_config *findShard(const shard_id &shard) const;
};

/// One service.
struct service_config {
    service_id id;
    service_kind kind = service_kind::search;
    service_policy policy;
    std::vector<layout_config> layouts; ///< One or two, sorted by id; two while the service is being repartitioned.
    std::vector<std::uint32_t> backendIndexes; ///< Backend servers of all layouts, positions in
                                               ///< configuration::backendServers(), sorted, no repetition.

    /// @return The layout, or nullptr.
    [[nodiscard]] const layout_config *findLayout(std::uint32_t layout) const;
};

} // namespace orioledrum
