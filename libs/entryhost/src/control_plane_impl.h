#pragma once

#include "backend_pool.h"
#include "control_plane.h"
#include "host_shared.h"
#include "platform_reader.h"

#include <base/random_source.h>
#include <config/configuration.h>
#include <membership/membership.h>
#include <membership/pause_detector.h>
#include <ownership/lease_manager.h>
#include <spread/config_sync_machine.h>
#include <transport/http_client.h>
#include <transport/peer_client.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>

namespace orioledrum
{

/// Interval between two ticks of the control thread.
inline constexpr std::chrono::milliseconds controlTick{100};

/// Timeout of a control message to a peer.
inline constexpr std::chrono::milliseconds controlTimeout{1000};

/// Combines lambdas into one visitor for std::visit.
template<typename... Handlers>
struct overloaded_visitor : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
overloaded_visitor(Handlers...) -> overloaded_visitor<Handlers...>;

/// State and event handlers of the control thread. All functions run on that thread.
struct control_plane::impl {
    explicit impl(host_shared &state);

    void tick();
    void executeActions(membership_actions actions);
    void executeActions(config_sync_actions actions);
    void executeActions(lease_actions actions);
    /// Sends a digest with the configuration fields filled in; an answer with no newer revision confirms the configuration.
    void sendDigest(const std::string &address, digest message);
    /// Passes a peer's digest to `configSync`, and records in `leases` that the peer has sent a message. The caller has already passed the
    /// digest to `members`.
    void receiveDigest(const digest &message, time_point now);
    /// Requests the host list from the peer at this address, and applies the answer.
    void pullHostList(const std::string &address);
    /// Reads the host list from the platform if this host has no list, or if it is one of the readers of its availability zone, which
    /// poll the platform's services. Does nothing while a read is in progress or the next read is not due.
    void readHostList();
    /// Makes a configuration the active one: derives the groups for the leases and publishes new routes.
    void applyConfiguration(const std::shared_ptr<const configuration> &value);
    /// Passes the current membership view to `leases` and `configSync`.
    void applyMembershipView();
    /// Publishes a new routing state: at once if `routingDirty` is set, otherwise at most every 250 ms and only if the owner of a group
    /// has changed.
    void refreshRoutes(time_point now);
    void updateReadiness(time_point now);
    void updateGauges(time_point now);
    /// Runs the task on the worker that the group belongs to.
    void postToPool(const group_id &group, std::function<void(backend_pool &)> task);
    /// @return The "ip:port" at which peers reach the entry host, empty when the host is unknown.
    [[nodiscard]] std::string addressOf(const entry_host_id &host) const;
    /// Calls and clears `leaveDone` if it is set and all leases have been released.
    void completeLeaveIfLeasesReleased();

    host_shared &shared;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    asio::steady_timer timer;
    random_source random;
    const lease_timing timing;
    const time_point startedAt;
    membership members;
    config_sync_machine configSync;
    lease_manager leases;
    pause_detector pauseDetector;
    std::unique_ptr<http_client> http;
    std::unique_ptr<peer_client> peers;
    std::unique_ptr<platform_reader> platform;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const configuration> startupConfig; ///< Newest found before configSync.ready(); applied at start_complete_action.
    std::unordered_map<backend_id, time_point> callsBlockedUntil; ///< See routing_state::callsBlockedUntil.
    bool routingDirty = true; ///< The routing state must be rebuilt; otherwise only its owners are updated.
    time_point nextRouteRefresh;
    time_point nextGaugeUpdate;
    bool hostListReadInFlight = false;
    time_point nextHostListRead;
    std::function<void()> leaveDone; ///< Set while this host leaves.
    std::thread thread;
};

} // namespace orioledrum
