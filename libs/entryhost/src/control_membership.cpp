#include "control_plane_impl.h"

#include <base/rendezvous.h>
#include <logging/component_logger.h>
#include <wire/codec.h>

namespace orioledrum
{

namespace
{

constexpr std::chrono::milliseconds hostListLongPoll{1000}; // Time for which the service may wait for a newer list.
constexpr std::chrono::milliseconds hostListRetryDelay{500}; // Delay after a failed read.

const component_logger memberLogger("membership");

} // namespace

void control_plane::impl::executeActions(membership_actions actions)
{
    for (auto &action : actions) {
        std::visit(overloaded_visitor{
                       [this](send_digest &send) { sendDigest(send.address, std::move(send.message)); },
                       [this](view_changed &) { applyMembershipView(); },
                       [this](host_state_changed &change) {
                           memberLogger.info("entry host changed state",
                                             {{"host", change.host.str()}, {"state", std::string(toString(change.state))}});
                           shared.record(change.state == host_state::live ? event_kind::peerUp : event_kind::peerDown,
                                         change.host.str(),
                                         std::string(toString(change.state)));
                           executeActions(leases.setPeerState(change.host, change.state, monotonic_clock::now()));
                           routingDirty = true;
                       },
                       [this](fetch_host_list_from_address &fetch) { pullHostList(fetch.address); },
                       [](config_differs &) {
                           // Nothing to do: receiveDigest() passes the same digest to `configSync`, which pulls missing revisions.
                       },
                   },
                   action);
    }
}

void control_plane::impl::sendDigest(const std::string &address, digest message)
{
    const auto requestedAt = monotonic_clock::now();
    configSync.fillDigest(message, requestedAt);
    peers->send(
        address,
        "/peer/digest",
        encode(message),
        controlTimeout,
        [this, requestedAt](std::string_view frame) {
            const auto answer = decode<digest>(frame);
            if (!answer) {
                return;
            }
            const auto now = monotonic_clock::now();
            executeActions(members.receiveAnswer(*answer, now));
            receiveDigest(*answer, now);
            if (answer->configRevision <= configSync.status(now).revision) {
                shared.configFreshness.confirm(requestedAt, now);
            }
        },
        [](const peer_stream_end &) {});
}

void control_plane::impl::receiveDigest(const digest &message, time_point now)
{
    leases.recordPeerMessage(message.sender.host, now);
    executeActions(configSync.onDigest(message, now));
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
                executeActions(members.setHostList(*list, monotonic_clock::now()));
            }
        },
        [](const peer_stream_end &) {});
}

void control_plane::impl::readHostList()
{
    const auto now = monotonic_clock::now();
    const auto revision = members.view()->platform.revision;
    const bool responsible = revision == 0 || configSync.status(now).reader;
    if (hostListReadInFlight || !responsible || now < nextHostListRead) {
        return;
    }
    hostListReadInFlight = true;
    platform->readHostList(
        revision, revision == 0 ? std::chrono::milliseconds(0) : hostListLongPoll, [this](auto outcome, const host_list &list) {
            const auto answeredAt = monotonic_clock::now();
            hostListReadInFlight = false;
            if (outcome == platform_reader::outcome::failed) {
                nextHostListRead = answeredAt + hostListRetryDelay;
                return;
            }
            leases.recordPlatformAnswer(answeredAt);
            if (outcome == platform_reader::outcome::answered) {
                nextHostListRead = answeredAt + controlTick;
                executeActions(members.setHostList(list, answeredAt));
            }
        });
}

void control_plane::impl::applyMembershipView()
{
    const auto now = monotonic_clock::now();
    const auto view = members.view();
    executeActions(leases.setHostList(view->hosts, now));
    config_sync_peers hosts;
    std::vector<entry_host_id> zoneHosts;
    for (const auto &member : view->members) {
        if (member.state != host_state::live) {
            continue;
        }
        (member.zone == shared.settings.zone ? zoneHosts : hosts.otherZoneHosts).push_back(member.host);
    }
    hosts.rankedZoneHosts = rankHosts("config-reader", std::move(zoneHosts));
    executeActions(configSync.setHosts(std::move(hosts), now));
    routingDirty = true;
}

} // namespace orioledrum
