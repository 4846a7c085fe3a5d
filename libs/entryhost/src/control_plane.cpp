#include "control_plane.h"

#include "backend_pool.h"
#include "host_shared.h"
#include "platform_reader.h"
#include "worker.h"

#include <config/configuration.h>
#include <logging/part_logger.h>
#include <membership/membership.h>
#include <membership/pause_detector.h>
#include <ownership/lease_manager.h>
#include <ownership/rendezvous.h>
#include <spread/spread_machine.h>
#include <transport/http_client.h>
#include <transport/peer_client.h>
#include <transport/peer_traffic.h>
#include <wire/codec.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

namespace orioledrum
{

namespace
{

constexpr std::chrono::milliseconds tickPeriod{100};
constexpr std::chrono::milliseconds controlTimeout{1000};
constexpr std::chrono::milliseconds routeRefresh{250};
constexpr std::chrono::milliseconds hostWatchWait{1000};
constexpr std::chrono::milliseconds hostRetry{500};

/// Backend servers that change their group wait until every host has the new configuration (6 s) and the leases held
/// under the old one have ended (3 s).
constexpr std::chrono::seconds regroupWait{9};

/// Longest time that a call sent under fixed shares can still run: its deadline and the grace.
constexpr std::chrono::milliseconds shareCallTime{2250};

const part_logger configLogger("config");
const part_logger leaseLogger("ownership");
const part_logger memberLogger("membership");

template<typename... Handlers>
struct overloaded_visitor : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
overloaded_visitor(Handlers...) -> overloaded_visitor<Handlers...>;

membership_settings membershipSettings(const host_shared &shared)
{
    membership_settings settings;
    settings.self = shared.options.id;
    settings.zone = shared.options.zone;
    settings.address = shared.peerAddress;
    settings.incarnation = shared.incarnation;
    for (const auto &peer : shared.options.peers) {
        settings.seeds.push_back(peer.address);
    }
    return settings;
}

spread_settings spreadSettings(const host_shared &shared, random_source &random)
{
    spread_settings settings;
    settings.self = shared.options.id;
    settings.seed = random.next();
    return settings;
}

} // namespace

struct control_plane::impl {
    explicit impl(host_shared &state)
        : shared(state)
        , context(1)
        , work(context.get_executor())
        , timer(context)
        , random(random_source::fromSystem())
        , startedAt(monotonic_clock::now())
        , members(membershipSettings(state), random_source(random.next()), startedAt)
        , spread(spreadSettings(state, random), startedAt)
        , leases({state.options.id, state.options.zone, state.incarnation}, timing, startedAt)
    {
    }

    void tick();
    void carryOut(membership_actions actions);
    void carryOut(spread_actions actions);
    void carryOut(lease_actions actions);
    void sendDigest(const std::string &address, digest message);
    void receiveDigest(const digest &message, time_point now);
    void pullHostList(const std::string &address);
    void readHosts();
    void applyConfiguration(const std::shared_ptr<const configuration> &value);
    void viewChanged();
    void refreshRoutes(time_point now);
    void updateReadiness(time_point now);
    void updateGauges(time_point now);
    void onWorkerOf(const group_id &group, std::function<void(backend_pool &)> task);
    [[nodiscard]] std::string addressOf(const entry_host_id &host) const;
    void checkLeft();

    host_shared &shared;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer timer;
    random_source random;
    const lease_timing timing;
    const time_point startedAt;
    membership members;
    spread_machine spread;
    lease_manager leases;
    pause_detector pauses;
    std::unique_ptr<http_client> http;
    std::unique_ptr<peer_client> peers;
    std::unique_ptr<platform_reader> platform;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const configuration> beforeStart; ///< Greatest revision found while the start-up wait lasts.
    std::unordered_map<backend_id, time_point> regrouped;
    bool routingDirty = true;
    time_point nextRefresh;
    time_point nextGauges;
    bool hostsReading = false;
    time_point nextHostsRead;
    std::function<void()> left;
    std::thread thread;
};

expected<std::unique_ptr<control_plane>> control_plane::create(host_shared &shared)
{
    auto parts = std::make_unique<impl>(shared);
    auto http = http_client::create(parts->context, http_client_settings{});
    if (!http) {
        return tl::unexpected<error>(http.error());
    }
    auto peers = peer_client::create(parts->context, peer_client_settings{});
    if (!peers) {
        return tl::unexpected<error>(peers.error());
    }
    parts->http = std::move(*http);
    parts->peers = std::move(*peers);
    parts->platform = std::make_unique<platform_reader>(*parts->http, shared.options.configServices, shared.options.hostServices);
    parts->leases.setAsking(false);
    shared.leases = &parts->leases.table();
    return std::unique_ptr<control_plane>(new control_plane(std::move(parts)));
}

control_plane::control_plane(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

control_plane::~control_plane()
{
    stop();
}

void control_plane::start()
{
    m_impl->thread = std::thread([this] {
        m_impl->viewChanged();
        m_impl->tick();
        m_impl->context.run();
    });
}

void control_plane::stop()
{
    m_impl->work.reset();
    m_impl->context.stop();
    if (m_impl->thread.joinable()) {
        m_impl->thread.join();
    }
}

asio::io_context &control_plane::context()
{
    return m_impl->context;
}

void control_plane::impl::tick()
{
    timer.expires_after(tickPeriod);
    timer.async_wait([this](const std::error_code &failure) {
        if (!failure) {
            tick();
        }
    });
    const auto now = monotonic_clock::now();
    if (const auto pause = pauses.tick(now)) {
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(*pause).count();
        memberLogger.warning("the process was paused; beliefs are stale until confirmed", {{"ms", std::to_string(millis)}});
        shared.record(event_kind::pauseDetected, {}, std::to_string(millis) + " ms");
        shared.beliefs.markStale();
    }
    if (shared.beliefs.becameStale(now)) {
        memberLogger.warning("no confirmation of the configuration; new work is refused");
        carryOut(leases.revokeAll(now));
        shared.beliefs.asked(now);
    }
    carryOut(members.tick(now));
    carryOut(spread.onTick(now));
    leases.setAsking(spread.ready() && shared.beliefs.state() != freshness_state::stale);
    carryOut(leases.tick(now));
    if (shared.beliefs.becameIsolated(now)) {
        memberLogger.warning("no peer and no platform service answers; going on with the present configuration");
    }
    readHosts();
    refreshRoutes(now);
    updateReadiness(now);
    updateGauges(now);
    checkLeft();
}

void control_plane::impl::carryOut(membership_actions actions)
{
    for (auto &action : actions) {
        std::visit(overloaded_visitor{
                       [this](send_digest &send) { sendDigest(send.address, std::move(send.message)); },
                       [this](view_changed &) { viewChanged(); },
                       [this](host_state_changed &change) {
                           memberLogger.info("an entry host changed its state",
                                             {{"host", change.host.str()}, {"state", std::string(toString(change.state))}});
                           shared.record(change.state == host_state::live ? event_kind::peerUp : event_kind::peerDown,
                                         change.host.str(),
                                         std::string(toString(change.state)));
                           carryOut(leases.setPeerState(change.host, change.state, monotonic_clock::now()));
                           routingDirty = true;
                       },
                       [this](host_list_behind &behind) { pullHostList(behind.address); },
                       [](config_differs &) {
                           // The spread machine reads the same digest and pulls what is missing.
                       },
                   },
                   action);
    }
}

void control_plane::impl::sendDigest(const std::string &address, digest message)
{
    const auto askedAt = monotonic_clock::now();
    spread.fillDigest(message, askedAt);
    peers->send(
        address,
        "/peer/digest",
        encode(message),
        controlTimeout,
        [this, askedAt](std::string_view frame) {
            const auto answer = decode<digest>(frame);
            if (!answer) {
                return;
            }
            const auto now = monotonic_clock::now();
            carryOut(members.receiveAnswer(*answer, now));
            receiveDigest(*answer, now);
            if (answer->configRevision <= spread.status(now).revision) {
                shared.beliefs.confirm(askedAt, now);
            }
        },
        [](const peer_end &) {});
}

void control_plane::impl::receiveDigest(const digest &message, time_point now)
{
    leases.heardFrom(message.sender.host, now);
    carryOut(spread.onDigest(message, now));
}

void control_plane::impl::pullHostList(const std::string &address)
{
    host_list_pull request{members.view()->platform.revision};
    peers->send(
        address,
        "/peer/hosts",
        encode(request),
        controlTimeout,
        [this](std::string_view frame) {
            if (const auto list = decode<host_list>(frame)) {
                carryOut(members.setHostList(*list, monotonic_clock::now()));
            }
        },
        [](const peer_end &) {});
}

void control_plane::impl::readHosts()
{
    const auto now = monotonic_clock::now();
    const auto revision = members.view()->platform.revision;
    const bool wanted = revision == 0 || spread.status(now).reader;
    if (hostsReading || !wanted || now < nextHostsRead) {
        return;
    }
    hostsReading = true;
    platform->readHosts(
        revision, revision == 0 ? std::chrono::milliseconds(0) : hostWatchWait, [this](auto outcome, const host_list &list) {
            const auto answeredAt = monotonic_clock::now();
            hostsReading = false;
            if (outcome == platform_reader::outcome::failed) {
                nextHostsRead = answeredAt + hostRetry;
                return;
            }
            leases.heardFromPlatform(answeredAt);
            if (outcome == platform_reader::outcome::answered) {
                nextHostsRead = answeredAt + tickPeriod;
                carryOut(members.setHostList(list, answeredAt));
            }
        });
}

void control_plane::impl::carryOut(spread_actions actions)
{
    for (auto &action : actions) {
        std::visit(overloaded_visitor{
                       [this](read_service_action &read) {
                           const auto askedAt = monotonic_clock::now();
                           platform->readConfig(
                               read.after, read.wait, [this, askedAt, call = read.call](auto outcome, auto revision, auto files) {
                                   const auto now = monotonic_clock::now();
                                   if (outcome == platform_reader::outcome::failed) {
                                       carryOut(spread.onServiceFailed(call, now));
                                       return;
                                   }
                                   leases.heardFromPlatform(now);
                                   carryOut(outcome == platform_reader::outcome::unchanged
                                                ? spread.onServiceUnchanged(call, now)
                                                : spread.onServiceAnswer(call, revision, std::move(files), now));
                                   shared.beliefs.confirm(askedAt, now);
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
                                       carryOut(spread.onPullAnswer(to, *message, monotonic_clock::now()));
                                   }
                               },
                               [this, to, answered](const peer_end &) {
                                   if (!*answered) {
                                       carryOut(spread.onPullFailed(to, monotonic_clock::now()));
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
    std::erase_if(regrouped, [now](const auto &item) { return item.second <= now; });
    if (config) {
        for (const auto &backend : regroupedBackends(groupsOf(*config), groupsOf(*value))) {
            regrouped[backend] = now + regroupWait;
        }
    }
    config = value;
    beforeStart = nullptr;
    members.setConfig(value->revision(), value->hash());
    configLogger.info("a configuration is in force", {{"revision", std::to_string(value->revision())}});
    shared.record(event_kind::configApplied, {}, std::to_string(value->revision()));
    carryOut(leases.setGroups(groupsOf(*value), now));
    routingDirty = true;
    refreshRoutes(now);
}

void control_plane::impl::viewChanged()
{
    const auto now = monotonic_clock::now();
    const auto view = members.view();
    carryOut(leases.setRoster(view->hosts, now));
    spread_hosts hosts;
    std::vector<entry_host_id> inZone;
    for (const auto &member : view->members) {
        if (member.state != host_state::live) {
            continue;
        }
        (member.zone == shared.options.zone ? inZone : hosts.elsewhere).push_back(member.host);
    }
    hosts.zoneRanked = rankHosts("config-reader", std::move(inZone));
    carryOut(spread.setHosts(std::move(hosts), now));
    routingDirty = true;
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
    next->regrouped = regrouped;
    shared.routing.publish(std::move(next));
    routingDirty = false;
}

void control_plane::impl::updateReadiness(time_point now)
{
    // A fleet that starts together grants no lease in the first lease time, so an earlier search would find no owner.
    const bool settled = now - startedAt > timing.startSilence + timing.renewal;
    const bool ready = settled && spread.ready() && shared.beliefs.state() != freshness_state::stale && !shared.stopping.load();
    if (ready != shared.ready.exchange(ready)) {
        memberLogger.info(ready ? "ready for callers" : "not ready for callers");
        shared.record(event_kind::readinessChanged, {}, ready ? "ready" : "not ready");
    }
}

void control_plane::impl::updateGauges(time_point now)
{
    if (now < nextGauges) {
        return;
    }
    nextGauges = now + std::chrono::seconds(1);
    const auto status = spread.status(now);
    auto &metrics = shared.metrics;
    metrics.setGauge("orioledrum_config_revision", "Configuration revision in force.", static_cast<double>(status.revision));
    metrics.setGauge(
        "orioledrum_config_service_calls", "Calls to the configuration service so far.", static_cast<double>(status.serviceCalls));
    metrics.setGauge("orioledrum_config_age_seconds",
                     "Time since a peer or the service confirmed the configuration.",
                     status.confirmationAge ? std::chrono::duration<double>(*status.confirmationAge).count() : -1);
    metrics.setGauge(
        "orioledrum_leases_held", "Groups of backend servers that this host owns.", static_cast<double>(leases.held(now).size()));
    const auto traffic = readPeerTraffic();
    metrics.setGauge("orioledrum_peer_bytes_sent",
                     "Bytes sent to entry hosts so far, without TCP and IP headers.",
                     static_cast<double>(traffic.bytesSent));
    metrics.setGauge("orioledrum_peer_bytes_received",
                     "Bytes received from entry hosts so far, without TCP and IP headers.",
                     static_cast<double>(traffic.bytesReceived));
    metrics.setGauge("orioledrum_peer_requests_sent", "Requests sent to entry hosts so far.", static_cast<double>(traffic.requestsSent));
    metrics.setGauge(
        "orioledrum_peer_requests_received", "Requests received from entry hosts so far.", static_cast<double>(traffic.requestsReceived));
    metrics.setGauge(
        "orioledrum_peer_connections", "Open connections with entry hosts, in both directions.", static_cast<double>(traffic.connections));
    metrics.setGauge("orioledrum_ready", "1 when the host accepts callers.", shared.ready.load() ? 1 : 0);
}

void control_plane::impl::onWorkerOf(const group_id &group, std::function<void(backend_pool &)> task)
{
    auto &target = *shared.workers[workerOf(group, shared.workers.size())];
    asio::post(target.context(), [&target, task = std::move(task)] { task(target.pool()); });
}

void control_plane::impl::carryOut(lease_actions actions)
{
    for (auto &action : actions) {
        std::visit(
            overloaded_visitor{
                [this](send_lease_batch &send) {
                    const auto address = addressOf(send.to);
                    if (address.empty()) {
                        return;
                    }
                    peers->send(
                        address,
                        "/peer/lease",
                        encode(send.batch),
                        controlTimeout,
                        [this, to = send.to](std::string_view frame) {
                            if (const auto answers = decode<lease_batch_answer>(frame)) {
                                carryOut(leases.receiveAnswers(to, *answers, monotonic_clock::now()));
                            }
                        },
                        [](const peer_end &) {});
                },
                [this](lease_gained &gained) {
                    leaseLogger.info("a lease was gained", {{"group", gained.group.str()}, {"isolated", gained.isolated ? "yes" : "no"}});
                    shared.record(event_kind::leaseAcquired, gained.group.str(), gained.isolated ? "isolated" : "");
                    shared.metrics.leaseChanged("gained");
                    routingDirty = true;
                    onWorkerOf(gained.group, [group = gained.group](backend_pool &pool) { pool.groupGained(group); });
                },
                [this](lease_lost &lost) {
                    leaseLogger.info("a lease was lost", {{"group", lost.group.str()}, {"reason", std::string(toString(lost.reason))}});
                    shared.record(event_kind::leaseLost, lost.group.str(), std::string(toString(lost.reason)));
                    shared.metrics.leaseChanged("lost");
                    routingDirty = true;
                    onWorkerOf(lost.group, [group = lost.group](backend_pool &pool) { pool.groupLost(group, {}); });
                },
                [this](handover_started &handover) {
                    shared.record(event_kind::leaseReleased, handover.group.str());
                    shared.metrics.leaseChanged("released");
                    routingDirty = true;
                    onWorkerOf(handover.group, [this, group = handover.group](backend_pool &pool) {
                        pool.groupLost(group, [this, group] {
                            asio::post(context, [this, group] {
                                carryOut(leases.callsFinished(group, monotonic_clock::now()));
                                checkLeft();
                            });
                        });
                    });
                },
                [this](host_list_wanted &wanted) {
                    const auto address = addressOf(wanted.from);
                    if (!address.empty()) {
                        pullHostList(address);
                    }
                },
                [this](shares_changed &change) {
                    leaseLogger.warning(change.inUse ? "no quorum; fixed shares are in use" : "fixed shares are no longer in use");
                    if (change.inUse) {
                        return;
                    }
                    auto wait = std::make_shared<asio::steady_timer>(context, shareCallTime);
                    wait->async_wait([this, wait](const std::error_code &failure) {
                        if (!failure) {
                            carryOut(leases.shareCallsFinished(monotonic_clock::now()));
                        }
                    });
                },
            },
            action);
    }
}

std::string control_plane::impl::addressOf(const entry_host_id &host) const
{
    const auto view = members.view();
    const auto *member = view->find(host);
    return member != nullptr ? member->address : std::string();
}

void control_plane::impl::checkLeft()
{
    if (left && leases.idle()) {
        const auto done = std::move(left);
        left = nullptr;
        done();
    }
}

expected<std::string> control_plane::receive(const std::string &path, const std::string &body)
{
    auto &state = *m_impl;
    const auto now = monotonic_clock::now();
    if (path == "digest") {
        return decode<digest>(body).map([&](const digest &message) {
            membership_actions actions;
            auto answer = state.members.receive(message, now, actions);
            state.carryOut(std::move(actions));
            state.receiveDigest(message, now);
            state.spread.fillDigest(answer, now);
            return encode(answer);
        });
    }
    if (path == "lease") {
        return decode<lease_batch>(body).map([&](const lease_batch &batch) {
            const auto from = !batch.requests.empty() ? batch.requests.front().holder
                : !batch.releases.empty()             ? batch.releases.front().holder
                                                      : entry_host_id();
            lease_actions actions;
            const auto answer = state.leases.receiveBatch(from, batch, now, actions);
            state.carryOut(std::move(actions));
            return encode(answer);
        });
    }
    if (path == "config/pull") {
        return decode<config_pull>(body).map([&](const config_pull &request) { return encode(state.spread.answerPull(request)); });
    }
    if (path.starts_with("config/push/")) {
        const entry_host_id from(path.substr(std::string_view("config/push/").size()));
        return decode<config_files_message>(body).map([&](const config_files_message &message) {
            state.carryOut(state.spread.onPush(from, message, now));
            return std::string();
        });
    }
    if (path == "hosts") {
        return decode<host_list_pull>(body).map([&](const host_list_pull &request) {
            const auto view = state.members.view();
            return encode(view->platform.revision > request.have ? view->platform : host_list{});
        });
    }
    return makeError(error_code::protocolError, "receive control message", "unknown path '" + path + "'");
}

void control_plane::leave(std::function<void()> done)
{
    const auto now = monotonic_clock::now();
    m_impl->left = std::move(done);
    m_impl->carryOut(m_impl->members.leave(now));
    m_impl->carryOut(m_impl->leases.leave(now));
    m_impl->checkLeft();
}

std::string control_plane::statusJson() const
{
    using nlohmann::json;
    const auto &state = *m_impl;
    const auto now = monotonic_clock::now();
    const auto spread = state.spread.status(now);
    const auto ageOf = [](const std::optional<std::chrono::milliseconds> &age) { return age ? json(age->count()) : json(nullptr); };
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
            zones[zone.id.str()] = zone.inService ? "in" : "out";
        }
    }
    json held = json::array();
    for (const auto &group : state.leases.held(now)) {
        held.push_back(group.str());
    }
    json rejected = nullptr;
    if (spread.rejected) {
        json problems = json::array();
        for (const auto &problem : spread.rejected->problems) {
            problems.push_back(problem.describe());
        }
        rejected = {{"revision", spread.rejected->revision}, {"problems", std::move(problems)}};
    }
    const char *beliefs = state.shared.beliefs.state() == freshness_state::fresh ? "fresh"
        : state.shared.beliefs.state() == freshness_state::stale                 ? "stale"
                                                                                 : "isolated";
    return json{{"host", state.shared.options.id.str()},
                {"zone", state.shared.options.zone.str()},
                {"incarnation", state.shared.incarnation.str()},
                {"ready", state.shared.ready.load()},
                {"stopping", state.shared.stopping.load()},
                {"beliefs", beliefs},
                {"uptimeMs", std::chrono::duration_cast<std::chrono::milliseconds>(now - state.startedAt).count()},
                {"config",
                 {{"revision", spread.revision},
                  {"hash", std::to_string(spread.hash)},
                  {"reader", spread.reader},
                  {"confirmationAgeMs", ageOf(spread.confirmationAge)},
                  {"serviceAgeMs", ageOf(spread.serviceAge)},
                  {"serviceCalls", spread.serviceCalls},
                  {"rejected", std::move(rejected)},
                  {"lastProblem", spread.lastProblem ? json(spread.lastProblem->text) : json(nullptr)}}},
                {"hostListRevision", state.members.view()->platform.revision},
                {"availabilityZones", std::move(zones)},
                {"entryHosts", std::move(members)},
                {"leasesHeld", std::move(held)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace orioledrum
