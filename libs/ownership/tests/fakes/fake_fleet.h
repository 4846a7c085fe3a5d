#pragma once

#include "tests/fakes/call_history.h"
#include "tests/fakes/fleet_options.h"

#include <ownership/lease_manager.h>

#include <base/random_source.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace orioledrum
{

/// Several lease managers with their own clocks on a fake network, in fake time. One event happens at a time.
class fake_fleet
{
public:
    using duration = std::chrono::nanoseconds;

    explicit fake_fleet(const fleet_options &options);

    /// Runs until the time. @param until True time since the start.
    void runUntil(duration until);
    /// Runs to the end of the options' length with their random faults.
    void run();

    /// @return The host that may send to the group now by its own check; nothing when none may.
    [[nodiscard]] std::optional<std::size_t> sender(const group_id &group) const;
    /// @param host Index. @param group The group. @return Whether a backend server still works on a call of the host.
    [[nodiscard]] bool callsInFlight(std::size_t host, const group_id &group) const;
    /// Ends the process of a host. @param host Index.
    void kill(std::size_t host);
    /// Starts a process with empty memory. @param host Index.
    void start(std::size_t host);
    /// Makes a host leave in order. @param host Index.
    void leave(std::size_t host);
    /// Stops a process from running for a time. @param host Index. @param length True time.
    void pause(std::size_t host, duration length);
    /// Cuts zones off from the zones of the other side and from the platform. @param side Zones of one side.
    /// @param platform Zones that the platform stays connected with.
    void cutZones(const std::set<std::size_t> &side, const std::set<std::size_t> &platform);
    /// Cuts the link between two hosts. @param left Index. @param right Index.
    void cutHosts(std::size_t left, std::size_t right);
    /// Ends all cuts.
    void heal();
    /// Publishes a host list. @param members Indexes of its hosts.
    void publishRoster(const std::set<std::size_t> &members);

    [[nodiscard]] duration now() const { return m_now; } ///< @return True time.
    [[nodiscard]] const call_history &calls() const { return m_calls; } ///< @return All calls.
    [[nodiscard]] const std::vector<backend_group> &groups() const { return m_groups; } ///< @return The groups.
    [[nodiscard]] std::size_t zoneOf(std::size_t host) const { return host % m_options.zones; } ///< @return Index of its zone.
    [[nodiscard]] bool alive(std::size_t host) const { return m_hosts[host].manager != nullptr; } ///< @return Whether it runs.
    [[nodiscard]] std::optional<duration> lastRelease() const { return m_lastRelease; } ///< @return Time of the last release.
    [[nodiscard]] std::size_t isolatedGains() const { return m_isolatedGains; } ///< @return Leases gained in cut-off zones.
    [[nodiscard]] std::size_t shareCalls() const { return m_shareCalls; } ///< @return Calls sent under fixed shares.
    [[nodiscard]] std::size_t foreignCalls() const { return m_foreignCalls; } ///< @return Calls to another zone's groups.

private:
    struct scheduled {
        duration at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const scheduled &other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    struct host_process {
        std::unique_ptr<lease_manager> manager;
        std::uint64_t run = 0; ///< Number of the process; part of its incarnation.
        std::int64_t ppm = 0; ///< Clock rate error.
        duration offset{};
        bool paused = false;
        std::vector<std::function<void()>> inbox; ///< Events that arrived during a pause.
        std::map<std::size_t, time_point> heard;
        std::map<std::size_t, host_state> states;
        std::map<std::size_t, std::optional<time_point>> reachableSince; ///< By zone of the backend servers.
        std::map<group_id, duration> callsEnd; ///< True time of the last end of a call.
        std::map<group_id, time_point> checkedEnd; ///< Deadline that the last check allowed.
        bool leaving = false;
    };

    void at(duration when, std::function<void()> run);
    [[nodiscard]] time_point local(std::size_t host) const;
    [[nodiscard]] duration trueTime(std::size_t host, time_point time) const;
    [[nodiscard]] bool connected(std::size_t left, std::size_t right) const;
    [[nodiscard]] bool zonesConnected(std::size_t left, std::size_t right) const;
    [[nodiscard]] duration delay();
    [[nodiscard]] std::string processName(std::size_t host) const;
    void deliver(std::size_t from, std::size_t to, const std::function<void()> &handle);
    void onHost(std::size_t host, std::uint64_t run, const std::function<void()> &handle);
    void perform(std::size_t host, const lease_actions &actions);
    void sendBatch(std::size_t from, std::size_t to, lease_batch batch);
    lease_batch_answer answerBatch(std::size_t from, std::size_t to, lease_batch batch);
    void tick(std::size_t host, std::uint64_t run);
    void heartbeat(std::size_t host, std::uint64_t run);
    void hear(std::size_t host, std::size_t peer);
    void finishHandovers(std::size_t host);
    void attemptCalls(std::size_t host);
    void attemptCall(std::size_t host, const backend_group &group, const lease_table &table);
    void adoptRoster(std::size_t host);
    void wake(std::size_t host);
    void scheduleFaults();
    void randomFault();

    fleet_options m_options;
    random_source m_random;
    duration m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled> m_events;
    std::vector<host_process> m_hosts;
    std::vector<backend_group> m_groups;
    roster m_roster;
    std::set<std::pair<std::size_t, std::size_t>> m_cutZones;
    std::set<std::pair<std::size_t, std::size_t>> m_cutHosts;
    std::set<std::size_t> m_platformCut; ///< Zones without the platform.
    duration m_lossFreeUntil{};
    duration m_rosterQuietUntil{}; ///< No restart and no further change before this time.
    call_history m_calls;
    std::map<std::size_t, std::set<group_id>> m_handovers;
    std::optional<duration> m_lastRelease;
    std::size_t m_isolatedGains = 0;
    std::size_t m_shareCalls = 0;
    std::size_t m_foreignCalls = 0;
};

} // namespace orioledrum
