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
#include <spread/spread_machine.h>
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

/// Time between two ticks of the control thread.
inline constexpr std::chrono::milliseconds controlTick{100};

/// Time for the answer of a peer to a control message.
inline constexpr std::chrono::milliseconds controlTimeout{1000};

/// Combines lambdas into one visitor of a variant.
template<typename... Handlers>
struct overloaded_visitor : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
overloaded_visitor(Handlers...) -> overloaded_visitor<Handlers...>;

/// State and event handlers of the control thread; every function runs on it.
struct control_plane::impl {
    /// Takes the identity and the peers from the settings of the process.
    explicit impl(host_shared &state);

    void tick();
    void executeActions(membership_actions actions);
    void executeActions(spread_actions actions);
    void executeActions(lease_actions actions);
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
    std::unordered_map<backend_id, time_point> regroupedUntil;
    bool routingDirty = true;
    time_point nextRefresh;
    time_point nextGauges;
    bool hostsReading = false;
    time_point nextHostsRead;
    std::function<void()> left;
    std::thread thread;
};

} // namespace orioledrum
