#include "control_plane_impl.h"

#include <logging/component_logger.h>
#include <transport/peer_traffic.h>
#include <wire/codec.h>

namespace orioledrum
{

namespace
{

const component_logger memberLogger("membership");

membership_settings membershipSettings(const host_shared &shared)
{
    membership_settings settings;
    settings.self = shared.settings.id;
    settings.zone = shared.settings.zone;
    settings.address = shared.peerAddress;
    settings.incarnation = shared.incarnation;
    for (const auto &peer : shared.settings.peers) {
        settings.seeds.push_back(peer.address);
    }
    return settings;
}

config_sync_settings configSyncSettings(const host_shared &shared, random_source &random)
{
    config_sync_settings settings;
    settings.self = shared.settings.id;
    settings.seed = random.next();
    return settings;
}

} // namespace

control_plane::impl::impl(host_shared &state)
    : shared(state)
    , context(1)
    , workGuard(context.get_executor())
    , timer(context)
    , random(random_source::fromSystem())
    , startedAt(monotonic_clock::now())
    , members(membershipSettings(state), random_source(random.next()), startedAt)
    , configSync(configSyncSettings(state, random), startedAt)
    , leases({state.settings.id, state.settings.zone, state.incarnation}, timing, startedAt)
{
}

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
    parts->platform = std::make_unique<platform_reader>(*parts->http, shared.settings.configServices, shared.settings.hostServices);
    parts->leases.setRequestsEnabled(false);
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
        m_impl->applyMembershipView();
        m_impl->tick();
        m_impl->context.run();
    });
}

void control_plane::stop()
{
    m_impl->workGuard.reset();
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
    timer.expires_after(controlTick);
    timer.async_wait([this](const std::error_code &failure) {
        if (!failure) {
            tick();
        }
    });
    const auto now = monotonic_clock::now();
    if (const auto pause = pauseDetector.tick(now)) {
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(*pause).count();
        memberLogger.warning("the process was paused; the configuration is stale until confirmed", {{"ms", std::to_string(millis)}});
        shared.record(event_kind::pauseDetected, {}, std::to_string(millis) + " ms");
        shared.configFreshness.markStale();
    }
    if (shared.configFreshness.becameStale(now)) {
        memberLogger.warning("the configuration is not confirmed; refusing new work");
        executeActions(leases.revokeAll(now));
        shared.configFreshness.recordRevalidationSent(now);
    }
    executeActions(members.tick(now));
    executeActions(configSync.onTick(now));
    leases.setRequestsEnabled(configSync.ready() && shared.configFreshness.state() != freshness_state::stale);
    executeActions(leases.tick(now));
    if (shared.configFreshness.becameIsolated(now)) {
        memberLogger.warning("no peer and no platform service answers; continuing with the current configuration");
    }
    readHostList();
    refreshRoutes(now);
    updateReadiness(now);
    updateGauges(now);
    completeLeaveIfLeasesReleased();
}

void control_plane::impl::updateReadiness(time_point now)
{
    // When all hosts start together, no voter grants a lease during timing.initialGrantDelay, so a search would find no owner.
    const bool firstLeasesPossible = now - startedAt > timing.initialGrantDelay + timing.renewal;
    const bool ready =
        firstLeasesPossible && configSync.ready() && shared.configFreshness.state() != freshness_state::stale && !shared.stopping.load();
    if (ready != shared.ready.exchange(ready)) {
        memberLogger.info(ready ? "ready for callers" : "not ready for callers");
        shared.record(event_kind::readinessChanged, {}, ready ? "ready" : "not ready");
    }
}

void control_plane::impl::updateGauges(time_point now)
{
    if (now < nextGaugeUpdate) {
        return;
    }
    nextGaugeUpdate = now + std::chrono::seconds(1);
    const auto status = configSync.status(now);
    auto &metrics = shared.metrics;
    metrics.setGauge("orioledrum_config_revision", "Active configuration revision.", static_cast<double>(status.revision));
    metrics.setGauge(
        "orioledrum_config_service_calls", "Calls to the configuration service since the start.", static_cast<double>(status.serviceCalls));
    metrics.setGauge("orioledrum_config_age_seconds",
                     "Seconds since a peer or the configuration service confirmed the configuration; -1 before the first confirmation.",
                     status.confirmationAge ? std::chrono::duration<double>(*status.confirmationAge).count() : -1);
    metrics.setGauge("orioledrum_leases_held",
                     "Groups of backend servers whose lease this host holds.",
                     static_cast<double>(leases.heldGroups(now).size()));
    const auto traffic = readPeerTraffic();
    metrics.setGauge("orioledrum_peer_bytes_sent",
                     "Bytes sent to other entry hosts since the start, without TCP and IP headers.",
                     static_cast<double>(traffic.bytesSent));
    metrics.setGauge("orioledrum_peer_bytes_received",
                     "Bytes received from other entry hosts since the start, without TCP and IP headers.",
                     static_cast<double>(traffic.bytesReceived));
    metrics.setGauge(
        "orioledrum_peer_requests_sent", "Requests sent to other entry hosts since the start.", static_cast<double>(traffic.requestsSent));
    metrics.setGauge("orioledrum_peer_requests_received",
                     "Requests received from other entry hosts since the start.",
                     static_cast<double>(traffic.requestsReceived));
    metrics.setGauge(
        "orioledrum_peer_connections", "Open connections to and from other entry hosts.", static_cast<double>(traffic.connections));
    metrics.setGauge("orioledrum_ready", "1 when the host is ready for callers, otherwise 0.", shared.ready.load() ? 1 : 0);
}

std::string control_plane::impl::addressOf(const entry_host_id &host) const
{
    const auto view = members.view();
    const auto *member = view->find(host);
    return member != nullptr ? member->address : std::string();
}

void control_plane::impl::completeLeaveIfLeasesReleased()
{
    if (leaveDone && leases.allLeasesReturned()) {
        const auto done = std::move(leaveDone);
        leaveDone = nullptr;
        done();
    }
}

expected<std::string> control_plane::handleMessage(const std::string &path, const std::string &body)
{
    auto &state = *m_impl;
    const auto now = monotonic_clock::now();
    if (path == "digest") {
        return decode<digest>(body).map([&](const digest &message) {
            membership_actions actions;
            auto answer = state.members.receiveDigest(message, now, actions);
            state.executeActions(std::move(actions));
            state.receiveDigest(message, now);
            state.configSync.fillDigest(answer, now);
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
            state.executeActions(std::move(actions));
            return encode(answer);
        });
    }
    if (path == "config/pull") {
        return decode<config_pull>(body).map([&](const config_pull &request) { return encode(state.configSync.answerPull(request)); });
    }
    if (path.starts_with("config/push/")) {
        const entry_host_id from(path.substr(std::string_view("config/push/").size()));
        return decode<config_files_message>(body).map([&](const config_files_message &message) {
            state.executeActions(state.configSync.onPush(from, message, now));
            return std::string();
        });
    }
    if (path == "hosts") {
        return decode<host_list_pull>(body).map([&](const host_list_pull &request) {
            const auto view = state.members.view();
            return encode(view->platform.revision > request.knownRevision ? view->platform : host_list{});
        });
    }
    return makeError(error_code::protocolError, "receive control message", "unknown path '" + path + "'");
}

void control_plane::leave(std::function<void()> done)
{
    const auto now = monotonic_clock::now();
    m_impl->leaveDone = std::move(done);
    m_impl->executeActions(m_impl->members.leave(now));
    m_impl->executeActions(m_impl->leases.leave(now));
    m_impl->completeLeaveIfLeasesReleased();
}

} // namespace orioledrum
