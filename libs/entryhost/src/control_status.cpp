#include "control_plane_impl.h"

#include <nlohmann/json.hpp>

namespace orioledrum
{

std::string control_plane::statusJson() const
{
    using nlohmann::json;
    const auto &state = *m_impl;
    const auto now = monotonic_clock::now();
    const auto configStatus = state.configSync.status(now);
    const auto ageOrNull = [](const std::optional<std::chrono::milliseconds> &age) { return age ? json(age->count()) : json(nullptr); };
    json members = json::array();
    for (const auto &member : state.members.view()->members) {
        members.push_back({{"host", member.host.str()},
                           {"zone", member.zone.str()},
                           {"address", member.address},
                           {"state", toString(member.state)},
                           {"self", member.self}});
    }
    json zones = json::object();
    if (state.config) {
        for (const auto &zone : state.config->availabilityZones()) {
            zones[zone.id.str()] = zone.inService ? "in" : "out"; // In or out of service.
        }
    }
    json held = json::array();
    for (const auto &group : state.leases.heldGroups(now)) {
        held.push_back(group.str());
    }
    json rejected = nullptr;
    if (configStatus.rejected) {
        json problems = json::array();
        for (const auto &problem : configStatus.rejected->problems) {
            problems.push_back(problem.describe());
        }
        rejected = {{"revision", configStatus.rejected->revision}, {"problems", std::move(problems)}};
    }
    const char *freshnessName = state.shared.configFreshness.state() == freshness_state::fresh ? "fresh"
        : state.shared.configFreshness.state() == freshness_state::stale                       ? "stale"
                                                                                               : "isolated";
    return json{{"host", state.shared.settings.id.str()},
                {"zone", state.shared.settings.zone.str()},
                {"incarnation", state.shared.incarnation.str()},
                {"ready", state.shared.ready.load()},
                {"stopping", state.shared.stopping.load()},
                {"beliefs", freshnessName}, // Freshness of this host's configuration; the name is part of the API.
                {"uptimeMs", std::chrono::duration_cast<std::chrono::milliseconds>(now - state.startedAt).count()},
                {"config",
                 {{"revision", configStatus.revision},
                  {"hash", std::to_string(configStatus.hash)},
                  {"reader", configStatus.reader},
                  {"confirmationAgeMs", ageOrNull(configStatus.confirmationAge)},
                  {"serviceAgeMs", ageOrNull(configStatus.serviceConfirmationAge)},
                  {"serviceCalls", configStatus.serviceCalls},
                  {"rejected", std::move(rejected)},
                  {"lastProblem", configStatus.lastProblem ? json(configStatus.lastProblem->text) : json(nullptr)}}},
                {"hostListRevision", state.members.view()->platform.revision},
                {"availabilityZones", std::move(zones)},
                {"entryHosts", std::move(members)},
                {"leasesHeld", std::move(held)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace orioledrum
