#include <host_link.h>

#include <gateway_state.h>
#include <host_call.h>
#include <publication_reader.h>
#include <relayed_request.h>
#include <search/host_ranking.h>
#include <transport/http_exchange.h>
#include <usage_caps.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

constexpr std::chrono::milliseconds tickInterval{250};
/// Timeout for the exchange of one heartbeat (a digest and its answer); the network delay between hosts is a few milliseconds.
constexpr std::chrono::milliseconds digestTimeout{700};
/// A seed that starts at the same time may not listen yet. The next regular digest would come too late for the first state, which waits
/// for the hosts of the zone for a few tenths of a second at most, see first_state.
constexpr std::chrono::milliseconds startRetryInterval{50};
/// Time after the start in which failed digests are sent again before the next regular one.
constexpr std::chrono::seconds startRetryTime{1};
constexpr const char *digestPath = "/hosts/digest";
constexpr const char *capacityDigestPath = "/hosts/capacity-digest";

std::optional<std::uint32_t> millicores(const gateway_settings &settings)
{
    if (!settings.processorShare || !settings.processors) {
        return std::nullopt;
    }
    return std::max(1U, static_cast<std::uint32_t>(*settings.processorShare * *settings.processors * 1000));
}

membership_settings makeSettings(const gateway_settings &settings, std::vector<std::string> seeds)
{
    membership_settings membershipSettings;
    membershipSettings.self = settings.host;
    membershipSettings.zone = settings.zone;
    membershipSettings.address = settings.hosts.text();
    membershipSettings.incarnation = incarnation_id(random_source::fromSystem().hexId());
    membershipSettings.seeds = std::move(seeds);
    return membershipSettings;
}

} // namespace

host_link::host_link(gateway_state &state,
                     http_client &client,
                     publication_reader &reader,
                     usage_caps &usage,
                     std::vector<std::string> seeds)
    : m_state(state)
    , m_client(client)
    , m_reader(reader)
    , m_usage(usage)
    , m_membership(makeSettings(state.settings, std::move(seeds)), random_source::fromSystem(), monotonic_clock::now())
    , m_capacities(state.settings.host, millicores(state.settings))
    , m_timer(state.context)
    , m_retryTimer(state.context)
    , m_startedAt(monotonic_clock::now())
    , m_counter(monotonic_clock::now(), state.settings.extraCalls.slack, state.settings.extraCallWindow)
{
    updateSharingHosts();
}

void host_link::start()
{
    tick();
}

void host_link::setSeeds(std::vector<std::string> seeds)
{
    m_membership.setSeeds(std::move(seeds));
}

void host_link::leave()
{
    apply(m_membership.leave(monotonic_clock::now()));
}

void host_link::tick()
{
    m_capacities.tick(monotonic_clock::now());
    apply(m_membership.tick(monotonic_clock::now()));
    updateSharingHosts();
    dropExpiredSearches(monotonic_clock::now());
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &code) {
        if (!code) {
            tick();
        }
    });
}

void host_link::updateSharingHosts()
{
    const auto now = monotonic_clock::now();
    const auto view = m_membership.view();
    m_counter.update(view->members.size(), now);
    const sharing_hosts sharing{view, m_counter.hostCount(), m_counter.slackDivision(now), m_counter.settled()};
    if (sharing != m_sharing) {
        std::vector<host_ranking::ranked_host> hosts;
        for (const auto &member : view->members) {
            hosts.push_back({member.host, member.zone});
        }
        m_state.registry.setHosts(
            host_ranking({m_state.settings.host, m_state.settings.zone}, std::move(hosts), sharing.hostCount, sharing.settled),
            sharing.slack);
        if (sharing.hostCount != m_sharing.hostCount || sharing.settled != m_sharing.settled) {
            m_state.log.write(
                "hosts", "sharingHosts", {{"hosts", std::int64_t{sharing.hostCount}}, {"settled", std::int64_t{sharing.settled}}});
        }
        m_sharing = sharing;
        m_usage.setHosts(*view, sharing.settled, now);
    }
    m_usage.checkForPause(now);
    updateRelays();
}

void host_link::handleRelaySearch(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    if (m_state.stopping) {
        exchange->respond(errorResponse(503, {error_code::draining, "this host is stopping", "relay search", {}}));
        return;
    }
    if (!m_state.table) {
        exchange->respond(errorResponse(503, {error_code::notReady, "no routes are known yet", "relay search", {}}));
        return;
    }
    // A host with another software version may send other fields.
    const auto message = decode<relay_search>(request.body);
    const auto search = message ? relayed_request::create(m_state, *message, exchange)
                                : expected<std::shared_ptr<relayed_request>>(tl::unexpected(message.error()));
    if (!search) {
        m_state.log.writeRequest(
            "relay",
            "refused",
            monotonic_clock::now(),
            {{"id", message ? message->request : std::string()}, {"peer", request.remoteAddress}, {"error", search.error().describe()}});
        exchange->respond(errorResponse(400, search.error()));
        return;
    }
    m_relayedSearches[message->token] = *search;
    (*search)->start();
}

void host_link::handleRelayResume(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    const auto message = decode<relay_resume>(request.body);
    if (!message) {
        exchange->respond(errorResponse(400, message.error()));
        return;
    }
    const auto found = m_relayedSearches.find(message->token);
    if (found == m_relayedSearches.end() || !found->second->resume(*message, exchange)) {
        exchange->respond(errorResponse(404, {error_code::notReady, "there is nothing to resume", "relay search", {}}));
    }
}

void host_link::dropExpiredSearches(time_point now)
{
    std::erase_if(m_relayedSearches, [now](const auto &entry) { return entry.second->resumeDeadline() < now; });
}

void host_link::updateRelays()
{
    const auto view = m_membership.view();
    const bool capacitiesChanged = m_capacities.takeChanged();
    if (view == m_relayView && !capacitiesChanged) {
        return;
    }
    m_relayView = view;
    std::vector<relay_host> relays;
    std::vector<std::string> zoneHosts;
    bool otherZonesKnown = false;
    for (const auto &member : view->members) {
        if (member.state == host_state::live && !member.address.empty()) {
            relays.push_back({member.address, member.zone, m_capacities.of(member.host)});
            if (member.zone == m_state.settings.zone) {
                zoneHosts.push_back(member.address);
            } else {
                otherZonesKnown = true;
            }
        }
    }
    m_state.relays.setHosts(relays);
    m_reader.setZoneHosts(zoneHosts, otherZonesKnown);
}

void host_link::apply(const membership_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *digestToSend = std::get_if<send_digest>(&action)) {
            send(*digestToSend);
        } else if (const auto *changed = std::get_if<host_state_changed>(&action)) {
            m_state.log.write("hosts", "hostState", {{"peer", changed->host.str()}, {"state", std::string(toString(changed->state))}});
        }
    }
}

void host_link::send(const send_digest &action)
{
    if (!m_capacities.understands(action.address, monotonic_clock::now())) {
        sendAlone(action);
        return;
    }
    auto call = makeHostCall(action.address, capacityDigestPath, encode(m_capacities.addTo(action.message)), digestTimeout);
    m_client.send(std::move(call), [this, action](http_client::result result) {
        const auto now = monotonic_clock::now();
        if (result && result->status == 400) {
            m_capacities.refused(action.address, now); // A host of an earlier version does not know the path.
            sendAlone(action);
            return;
        }
        if (!result || result->status != 200) {
            retryAtStart(action);
            return; // Membership detects an unreachable host by its missing heartbeats.
        }
        const auto answer = decode<capacity_digest>(result->body);
        if (!answer) {
            m_state.log.write("hosts", "unreadableDigest", {{"error", answer.error().describe()}});
            return;
        }
        m_capacities.merge(*answer);
        receiveAnswer(answer->base);
    });
}

void host_link::sendAlone(const send_digest &action)
{
    auto call = makeHostCall(action.address, digestPath, encode(action.message), digestTimeout);
    m_client.send(std::move(call), [this, action](http_client::result result) {
        if (!result || result->status != 200) {
            retryAtStart(action);
            return; // Membership detects an unreachable host by its missing heartbeats.
        }
        const auto answer = decode<digest>(result->body);
        if (!answer) {
            m_state.log.write("hosts", "unreadableDigest", {{"error", answer.error().describe()}});
            return;
        }
        receiveAnswer(*answer);
    });
}

void host_link::receiveAnswer(const digest &answer)
{
    digestReceived(m_membership.receiveAnswer(answer, monotonic_clock::now()));
}

void host_link::retryAtStart(const send_digest &action)
{
    if (m_reader.hasState() || monotonic_clock::now() - m_startedAt > startRetryTime) {
        return;
    }
    m_digestsToRetry.push_back(action);
    if (m_digestsToRetry.size() > 1) {
        return; // The timer is running.
    }
    m_retryTimer.expires_after(startRetryInterval);
    m_retryTimer.async_wait([this](const asio::error_code &code) {
        if (code) {
            return;
        }
        const auto digests = std::exchange(m_digestsToRetry, {});
        if (!m_reader.hasState()) {
            std::for_each(digests.begin(), digests.end(), [this](const send_digest &digest) { send(digest); });
        }
    });
}

void host_link::handle(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (request.path == relayPath) {
        handleRelaySearch(request, exchange);
        return;
    }
    if (request.path == changesPath || request.path == eraChangesPath) {
        m_reader.handlePull(request, std::move(exchange));
        return;
    }
    if (request.path == statePath) {
        m_reader.handleStateRequest(request, std::move(exchange));
        return;
    }
    if (request.path == usage_caps::requestPath) {
        m_usage.handleRequest(request, *exchange);
        return;
    }
    if (request.path == usage_caps::takeoverPath) {
        m_usage.handleTakeover(request, *exchange);
        return;
    }
    if (request.path == relayResumePath) {
        handleRelayResume(request, exchange);
        return;
    }
    handleDigest(request, *exchange);
}

void host_link::handleDigest(const http_request &request, http_exchange &exchange)
{
    const auto now = monotonic_clock::now();
    membership_actions actions;
    if (request.path == capacityDigestPath) {
        const auto message = decode<capacity_digest>(request.body);
        if (!message) {
            exchange.respond(errorResponse(400, message.error()));
            return;
        }
        m_capacities.merge(*message);
        auto answer = m_membership.receiveDigest(message->base, now, actions);
        exchange.respond({200, "application/msgpack", {}, encode(m_capacities.addTo(std::move(answer)))});
        digestReceived(actions);
        return;
    }
    const auto message = request.path == digestPath ? decode<digest>(request.body)
                                                    : expected<digest>(makeError(error_code::malformed, "read digest", "unknown path"));
    if (!message) {
        exchange.respond(errorResponse(400, message.error()));
        return;
    }
    const auto answer = m_membership.receiveDigest(*message, now, actions);
    exchange.respond({200, "application/msgpack", {}, encode(answer)});
    digestReceived(actions);
}

void host_link::digestReceived(const membership_actions &actions)
{
    apply(actions);
    if (!m_reader.hasState()) {
        updateRelays(); // The first state waits for the hosts of the zone.
    }
}

} // namespace orioledrum
