#include <standin/backend_settings.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace orioledrum::standin
{

namespace
{

using json = nlohmann::json;

constexpr std::array<std::string_view, 23> knownKeys = {
    "id",          "service",          "zone",       "port",      "shard",        "shards",       "slots",     "coldSlots",
    "connections", "connectionCostMs", "rampWorkMs", "startCold", "partialShare", "hitsPerShard", "loadLagMs", "loadLie",
    "snapshots",   "medianMs",         "sigma",      "slowShare", "slowMs",       "neverShare",   "coldFactor"};

bool isShare(double value)
{
    return value >= 0 && value <= 1;
}

std::chrono::microseconds fromMilliseconds(double milliseconds)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

tl::expected<backend_settings, std::string> parseBackend(const json &value)
{
    for (const auto &[key, member] : value.items()) {
        if (std::find(knownKeys.begin(), knownKeys.end(), key) == knownKeys.end()) {
            return tl::unexpected("unknown key " + key);
        }
    }
    backend_settings result;
    result.id = value.at("id").get<std::string>();
    result.service = value.at("service").get<std::string>();
    result.zone = value.value("zone", std::string("a"));
    result.port = value.value("port", std::uint16_t{0});
    result.slots = value.value("slots", result.slots);
    result.coldSlots = value.value("coldSlots", result.coldSlots);
    result.maxConnections = value.value("connections", result.maxConnections);
    result.connectionSetupTime = fromMilliseconds(value.value("connectionCostMs", 1.0));
    result.warmUpWork = fromMilliseconds(value.value("rampWorkMs", 100.0));
    result.startCold = value.value("startCold", false);
    result.partialShare = value.value("partialShare", 0.0);
    result.hitsPerShard = value.value("hitsPerShard", result.hitsPerShard);
    result.loadLag = std::chrono::milliseconds(value.value("loadLagMs", std::int64_t{0}));
    auto probeOverride = parseProbeOverride(value.value("loadLie", std::string("none")));
    if (!probeOverride) {
        return tl::unexpected(probeOverride.error());
    }
    result.probeOverride = *probeOverride;
    if (std::string problem = updateServiceTimes(value, result.serviceTimes); !problem.empty()) {
        return tl::unexpected(problem);
    }
    const bool nonNegative = result.connectionSetupTime.count() >= 0 && result.warmUpWork.count() >= 0 && result.loadLag.count() >= 0;
    if (result.slots == 0 || result.coldSlots > result.slots || result.maxConnections == 0 || !isShare(result.partialShare)
        || !nonNegative) {
        return tl::unexpected(
            std::string("slots and connections must be positive, coldSlots at most slots, shares in [0,1], times not negative"));
    }
    std::vector<std::string> shards = value.value("shards", std::vector<std::string>{});
    if (value.contains("shard")) {
        shards.push_back(value["shard"].get<std::string>());
    }
    for (const auto &entry : value.value("snapshots", json::array({{{"snapshot", 1}, {"layout", 1}}}))) {
        auto snapshot = parseSnapshot(entry, shards);
        if (!snapshot) {
            return tl::unexpected(snapshot.error());
        }
        result.snapshots.push_back(std::move(*snapshot));
    }
    return result;
}

} // namespace

tl::expected<probe_override, std::string> parseProbeOverride(const std::string &text)
{
    if (text == "none") {
        return probe_override::none;
    }
    if (text == "healthy") {
        return probe_override::healthy;
    }
    if (text == "unhealthy") {
        return probe_override::unhealthy;
    }
    return tl::unexpected(std::string("loadLie must be none, healthy or unhealthy"));
}

std::string updateServiceTimes(const json &value, service_time_settings &times)
{
    service_time_settings changed = times;
    changed.medianMs = value.value("medianMs", changed.medianMs);
    changed.sigma = value.value("sigma", changed.sigma);
    changed.slowShare = value.value("slowShare", changed.slowShare);
    changed.slowMs = value.value("slowMs", changed.slowMs);
    changed.unansweredShare = value.value("neverShare", changed.unansweredShare);
    changed.coldFactor = value.value("coldFactor", changed.coldFactor);
    if (!(changed.medianMs > 0) || changed.sigma < 0 || changed.slowMs < 0 || !(changed.coldFactor > 0)) {
        return "medianMs and coldFactor must be positive, sigma and slowMs not negative";
    }
    if (!isShare(changed.slowShare) || !isShare(changed.unansweredShare) || changed.slowShare + changed.unansweredShare > 1) {
        return "slowShare and neverShare must be in [0,1] and at most 1 together";
    }
    times = changed;
    return {};
}

tl::expected<held_snapshot, std::string> parseSnapshot(const json &value, const std::vector<std::string> &shards)
{
    held_snapshot result;
    result.snapshotNumber = value.at("snapshot").get<std::uint64_t>();
    result.layoutNumber = value.at("layout").get<std::uint32_t>();
    result.shards = value.value("shards", shards);
    if (result.snapshotNumber == 0 || result.layoutNumber == 0) {
        return tl::unexpected(std::string("snapshot and layout must be positive"));
    }
    return result;
}

tl::expected<backend_fleet_settings, std::string> parseFleet(const json &value)
{
    backend_fleet_settings result;
    std::set<std::string> knownIds;
    std::string errorContext = "settings";
    try {
        const json list = value.is_array() ? value : value.at("backendServers");
        const json defaults = value.is_array() ? json::object() : value.value("defaults", json::object());
        if (value.is_object()) {
            result.seed = value.value("seed", result.seed);
        }
        for (const auto &entry : list) {
            json merged = defaults;
            merged.update(entry);
            errorContext = "backend server " + merged.value("id", std::string("without id"));
            auto backend = parseBackend(merged);
            if (!backend) {
                return tl::unexpected(errorContext + ": " + backend.error() + ".");
            }
            if (!knownIds.insert(backend->id).second) {
                return tl::unexpected(errorContext + ": the id occurs twice.");
            }
            result.backends.push_back(std::move(*backend));
        }
    } catch (const json::exception &error) {
        return tl::unexpected(errorContext + ": " + error.what() + ".");
    }
    if (result.backends.empty()) {
        return tl::unexpected(std::string("No backend server is listed."));
    }
    return result;
}

} // namespace orioledrum::standin
