#include "control_plane_impl.h"

#include <logging/component_logger.h>
#include <ownership/backend_group.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

constexpr std::chrono::milliseconds routeRefreshInterval{250};

/// Time without calls to a backend server that has moved to another group: 6 s until every host has the new configuration, and 3 s
/// until the leases held under the old configuration have ended.
constexpr std::chrono::seconds regroupDelay{9};

const component_logger configLogger("config");

} // namespace

void control_plane::impl::executeActions(config_sync_actions actions)
{
    for (auto &action : actions) {
        std::visit(overloaded_visitor{
                       [this](fetch_config_action &read) {
                           const auto requestedAt = monotonic_clock::now();
                           platform->readConfig(
                               read.after, read.wait, [this, requestedAt, call = read.call](auto outcome, config_answer answer) {
                                   const auto now = monotonic_clock::now();
                                   if (outcome == platform_reader::outcome::failed) {
                                       executeActions(configSync.onServiceFailed(call, now));
                                       return;
                                   }
                                   leases.recordPlatformAnswer(now);
                                   executeActions(outcome == platform_reader::outcome::unchanged
                                                      ? configSync.onServiceUnchanged(call, now)
                                                      : configSync.onServiceAnswer(call, answer.revision, std::move(answer.files), now));
                                   shared.configFreshness.confirm(requestedAt, now);
                               });
                       },
                       [this](send_push_action &push) {
                           const auto address = addressOf(push.to);
                           if (!address.empty()) {
                               peers->send(
                                   address,
                                   "/peer/config/push/" + shared.settings.id.str(),
                                   encode(push.message),
                                   controlTimeout,
                                   [](std::string_view) {},
                                   [](const peer_stream_end &) {});
                           }
                       },
                       [this](send_pull_action &pull) {
                           const auto to = pull.to;
                           auto answered = std::make_shared<bool>(false);
                           peers->send(
                               addressOf(to),
                               "/peer/config/pull",
                               encode(pull.message),
                               controlTimeout,
                               [this, to, answered](std::string_view frame) {
                                   if (const auto message = decode<config_files_message>(frame)) {
                                       *answered = true;
                                       executeActions(configSync.onPullAnswer(to, *message, monotonic_clock::now()));
                                   }
                               },
                               [this, to, answered](const peer_stream_end &) {
                                   if (!*answered) {
                                       executeActions(configSync.onPullFailed(to, monotonic_clock::now()));
                                   }
                               });
                       },
                       [this](send_digest_action &send) {
                           const auto address = addressOf(send.to);
                           if (!address.empty()) {
                               sendDigest(address, members.makeDigest(send.to, monotonic_clock::now()));
                           }
                       },
                       [this](apply_configuration_action &apply) {
                           // An instance of the configuration service with an outdated revision may answer before the peers do, so no
                           // configuration is applied until the start-up wait ends; then the newest one found is applied.
                           configSync.ready() ? applyConfiguration(apply.value) : void(startupConfig = apply.value);
                       },
                       [this](start_complete_action &complete) {
                           configLogger.info("start-up wait finished", {{"majority", complete.majorityAnswered ? "yes" : "no"}});
                           if (const auto value = std::exchange(startupConfig, nullptr)) {
                               applyConfiguration(value);
                           }
                       },
                       [this](report_problem_action &problem) {
                           configLogger.warning(problem.text,
                                                {{"problem", std::string(toString(problem.kind))},
                                                 {"revision", std::to_string(problem.revision)},
                                                 {"source", problem.source}});
                           for (const auto &detail : problem.problems) {
                               configLogger.warning("invalid configuration", {{"problem", detail.describe()}});
                           }
                           shared.record(event_kind::configRejected, problem.source, std::to_string(problem.revision) + " " + problem.text);
                       },
                   },
                   action);
    }
}

void control_plane::impl::applyConfiguration(const std::shared_ptr<const configuration> &value)
{
    const auto now = monotonic_clock::now();
    std::erase_if(callsBlockedUntil, [now](const auto &item) { return item.second <= now; });
    if (config) {
        for (const auto &backend : regroupedBackends(buildGroups(*config), buildGroups(*value))) {
            callsBlockedUntil[backend] = now + regroupDelay;
        }
    }
    config = value;
    startupConfig = nullptr;
    members.setConfig(value->revision(), value->hash());
    configLogger.info("configuration applied", {{"revision", std::to_string(value->revision())}});
    shared.record(event_kind::configApplied, {}, std::to_string(value->revision()));
    executeActions(leases.setGroups(buildGroups(*value), now));
    routingDirty = true;
    refreshRoutes(now);
}

void control_plane::impl::refreshRoutes(time_point now)
{
    if (!routingDirty && now < nextRouteRefresh) {
        return;
    }
    nextRouteRefresh = now + routeRefreshInterval;
    const auto previous = shared.routing.read();
    const bool ownersUnchanged = std::all_of(previous->routes.begin(), previous->routes.end(), [this, now](const auto &item) {
        return item.second.owner == leases.ownerOf(item.first, now);
    });
    if (!routingDirty && ownersUnchanged) {
        return;
    }
    // A rebuild visits every backend server; if only owners have changed, copying the previous state avoids this.
    auto next = routingDirty ? buildRouting(config, members.view(), previous.get()) : std::make_shared<routing_state>(*previous);
    if (routingDirty) {
        for (const auto &item : next->groupOf) {
            next->routes.try_emplace(item.second);
        }
    }
    for (auto &[group, route] : next->routes) {
        route.owner = leases.ownerOf(group, now);
        route.address = next->addressOf(route.owner);
    }
    next->callsBlockedUntil = callsBlockedUntil;
    shared.routing.publish(std::move(next));
    routingDirty = false;
}

} // namespace orioledrum
