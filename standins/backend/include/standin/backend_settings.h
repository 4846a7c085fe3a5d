#pragma once

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum::standin
{

/// A snapshot that a backend server holds and can search.
struct held_snapshot {
    std::uint64_t snapshotNumber = 0;
    std::uint32_t layoutNumber = 0;
    std::vector<std::string> shards; ///< Shards that the backend server holds; the names are those of the layout.
};

/// Distribution of the service times of one backend server.
struct service_time_settings {
    double medianMs = 4; ///< Median of the log-normal distribution.
    double sigma = 0.4; ///< Standard deviation of the logarithm of the service time.
    double slowShare = 0.01; ///< Fraction of calls that take slowMs.
    double slowMs = 150; ///< Service time of a slow call while the backend server is warm.
    double unansweredShare = 0.001; ///< Fraction of calls that are never answered (JSON key neverShare).
    double coldFactor = 3; ///< Multiplier of the service time, also of slowMs, while the backend server is cold.
};

/// Overrides the state and load that /load and /health report (JSON key loadLie): healthy reports a warm backend server with no slot in
/// use, unhealthy a draining one with all usable slots in use.
enum class probe_override : std::uint8_t { none, healthy, unhealthy };

/// @param text none, healthy or unhealthy.
/// @return The override, or an error message for any other text.
tl::expected<probe_override, std::string> parseProbeOverride(const std::string &text);

/// Settings of one backend server.
struct backend_settings {
    std::string id;
    std::string service;
    std::string zone; ///< JSON default "a".
    std::uint16_t port = 0; ///< 0 lets the system choose a free port.
    std::uint32_t slots = 3; ///< Concurrency limit when warm.
    std::uint32_t coldSlots = 1; ///< Concurrency limit directly after a cold start.
    std::uint32_t maxConnections = 40; ///< Connections above this limit are closed at once (JSON key connections).
    std::chrono::microseconds connectionSetupTime{1000}; ///< Per connection; setups run one at a time (JSON key connectionCostMs).
    std::chrono::microseconds warmUpWork{100000}; ///< Total service time after which a cold backend server is warm (JSON key rampWorkMs).
    bool startCold = false;
    double partialShare = 0; ///< Fraction of searches answered with only half of the hits and "partial":true.
    std::uint32_t hitsPerShard = 3; ///< Number of hits that a shard has for each query.
    /// Age of the state, load, instance id and snapshots that /load and /health report.
    std::chrono::milliseconds loadLag{0};
    probe_override probeOverride = probe_override::none;
    service_time_settings serviceTimes;
    /// JSON default: snapshot 1 with layout 1. An entry without shards holds the shards in the JSON keys shard and shards.
    std::vector<held_snapshot> snapshots;
};

/// Settings of all backend servers of one process.
struct backend_fleet_settings {
    std::uint64_t seed = 1;
    std::vector<backend_settings> backends;
};

/// @param value {"seed","defaults":{...},"backendServers":[{...}]} or only the array. Keys missing in an entry are taken from defaults.
/// @return The settings, or an error message; it names the backend server if the error is in one.
tl::expected<backend_fleet_settings, std::string> parseFleet(const nlohmann::json &value);

/// Overwrites the service time settings that are present in an object. Changes nothing when a value is invalid.
/// @return An empty string when valid, otherwise an error message.
/// @throws nlohmann::json::exception when a value has the wrong type.
std::string updateServiceTimes(const nlohmann::json &value, service_time_settings &times);

/// @param value {"snapshot","layout","shards"}; shards is optional.
/// @param shards Used when the value has no shards.
/// @return The snapshot, or an error message.
/// @throws nlohmann::json::exception when snapshot or layout is missing, or when a value has the wrong type.
tl::expected<held_snapshot, std::string> parseSnapshot(const nlohmann::json &value, const std::vector<std::string> &shards);

} // namespace orioledrum::standin
