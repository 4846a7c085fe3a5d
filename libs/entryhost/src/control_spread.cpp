#include "control_plane_impl.h"

#include <logging/part_logger.h>
#include <ownership/backend_group.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

constexpr std::chrono::milliseconds routeRefresh{250};

/// Backend servers that change their group wait until every host has the new configuration (6 s) and the leases held
/// under the old one have ended (3 s).
constexpr std::chrono::seconds regroupWait{9};

const part_logger configLogger("config");

} // namespace

void control_plane::impl::executeActions(spread_actions actions)
{
    for (auto &action : actions) {
        std::visit(overloaded_visitor{
                       [this](read_service_action &read) {
                           const auto askedAt = monotonic_clock::now();
                           platform->readConfig(
                               read.after, read.wait, [this, askedAt, call = read.call](auto outcome, config_answer answer) {
                                   const auto now = monotonic_clock::now();
                                   if (outcome == platform_reader::outcome::failed) {
                                       executeActions(spread.onServiceFailed(call, now));
                                       return;
                                   }
                                   leases.heardFromPlatform(now);
                                   executeActions(outcome == platform_reader::outcome::unchanged
                                                      ? spread.onServiceUnchanged(call, now)
                                                      : spread.onServiceAnswer(call, answer.revision, std::move(answer.files), now));
                                   shared.configFreshness.confirm(askedAt, now);
                               });
                       },
                       [this](send_push_action &push) {
                           const auto address = addressOf(push.to);
                           if (!address.empty()) {
                               peers->send(
                                   address,
                                   "/peer/config/push/" + shared.options.id.str(),
                                   encode(push.message),
                                   controlTimeout,
                                   [](std::string_view) {},
                                   [](const peer_end &) {});
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
                                       executeActions(spread.onPullAnswer(to, *message, monotonic_clock::now()));
                                   }
                               },
                               [this, to, answered](const peer_end &) {
                                   if (!*answered) {
                                       executeActions(spread.onPullFailed(to, monotonic_clock::now()));
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
                           // A service that is behind may answer before the peers; nothing is in force until the start-up
                           // wait has found the greatest revision.
                           spread.ready() ? applyConfiguration(apply.value) : void(beforeStart = apply.value);
                       },
                       [this](start_complete_action &complete) {
                           configLogger.info("the start-up wait is over", {{"majority", complete.majorityAnswered ? "yes" : "no"}});
                           if (const auto value = std::exchange(beforeStart, nullptr)) {
                               applyConfiguration(value);
                           }
                       },
                       [this](report_problem_action &problem) {
                           configLogger.warning(problem.text,
                                                {{"problem", std::string(toString(problem.kind))},
                                                 {"revision", std::to_string(problem.revision)},
                                                 {"source", problem.source}});
                           for (const auto &detail : problem.problems) {
                               configLogger.warning("the configuration is wrong", {{"problem", detail.describe()}});
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
    std::erase_if(regroupedUntil, [now](const auto &item) { return item.second <= now; });
    if (config) {
        for (const auto &backend : regroupedBackends(buildGroups(*config), buildGroups(*value))) {
            regroupedUntil[backend] = now + regroupWait;
        }
    }
    config = value;
    beforeStart = nullptr;
    members.setConfig(value->revision(), value->hash());
    configLogger.info("a configuration is in force", {{"revision", std::to_string(value->revision())}});
    shared.record(event_kind::configApplied, {}, std::to_string(value->revision()));
    executeActions(leases.setGroups(buildGroups(*value), now));
    routingDirty = true;
    refreshRoutes(now);
}

void control_plane::impl::refreshRoutes(time_point now)
{
    if (!routingDirty && now < nextRefresh) {
        return;
    }
    nextRefresh = now + routeRefresh;
    const auto previous = shared.routing.read();
    const bool ownersUnchanged = std::all_of(previous->routes.begin(), previous->routes.end(), [this, now](const auto &item) {
        return item.second.owner == leases.ownerOf(item.first, now);
    });
    if (!routingDirty && ownersUnchanged) {
        return;
    }
    // Building from the configuration visits every backend server, so a change of owners alone copies the last state.
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
    next->regroupedUntil = regroupedUntil;
    shared.routing.publish(std::move(next));
    routingDirty = false;
}

} // namespace orioledrum
