#pragma once

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum::standin
{

/// A snapshot that a backend server can answer from.
struct held_snapshot {
    std::uint64_t snapshot = 0;
    std::uint32_t layout = 0;
    std::vector<std::string> shards; ///< Shards of that layout.
};

/// Distribution of the service times of one backend server.
struct service_time_settings {
    double medianMs = 4;
    double sigma = 0.4; ///< Of the log-normal body.
    double slowShare = 0.01;
    double slowMs = 150;
    double neverShare = 0.001; ///< Share of calls that are never answered.
    double coldFactor = 3; ///< Multiplies the service time while the backend server is cold.
};

/// What /load and /health say, whatever the truth is.
enum class load_lie : std::uint8_t { none, healthy, unhealthy };

/// @return Nothing when the text names no lie.
tl::expected<load_lie, std::string> parseLoadLie(const std::string &text);

/// Settings of one backend server.
struct backend_settings {
    std::string id;
    std::string service;
    std::string zone;
    std::uint16_t port = 0;
    std::uint32_t slots = 3;
    std::uint32_t coldSlots = 1;
    std::uint32_t connections = 40;
    std::chrono::microseconds connectionCost{1000};
    std::chrono::microseconds rampWork{100000}; ///< Work that a cold backend server must do to become warm.
    bool startCold = false;
    double partialShare = 0; ///< Share of searches that cover only a part of the shard.
    std::uint32_t hitsPerShard = 3;
    std::chrono::milliseconds loadLag{0};
    load_lie lie = load_lie::none;
    service_time_settings times;
    std::vector<held_snapshot> snapshots;
};

/// Settings of one process.
struct backend_fleet_settings {
    std::uint64_t seed = 1;
    std::vector<backend_settings> backends;
};

/// @param value {"seed","defaults":{...},"backendServers":[{...}]} or the array alone.
/// @return The settings, or a message that names the backend server and the key.
tl::expected<backend_fleet_settings, std::string> parseFleet(const nlohmann::json &value);

/// Changes the service times named in an object.
/// @return Empty when valid, else a message.
std::string readTimes(const nlohmann::json &value, service_time_settings &times);

/// @param value {"snapshot","layout","shards"}; shards may be absent.
/// @param shards Used when the value names none.
tl::expected<held_snapshot, std::string> readSnapshot(const nlohmann::json &value, const std::vector<std::string> &shards);

} // namespace orioledrum::standin
