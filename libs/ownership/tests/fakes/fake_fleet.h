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

/// Simulates several lease managers, each with its own clock, on a fake network. Runs in simulation time, one event at a time.
class fake_fleet
{
public:
    using duration = std::chrono::nanoseconds;

    explicit fake_fleet(const fleet_options &options);

    /// Runs until a point in time. @param until Simulation time since the start.
    void runUntil(duration until);
    /// Runs for fleet_options::length with the random faults that the options enable.
    void run();

    /// @return The first running host that reaches the group's zone and whose lease table allows a call of 50 ms to the group now;
    /// std::nullopt when there is none.
    [[nodiscard]] std::optional<std::size_t> sender(const group_id &group) const;
    /// @param host Index. @return Whether a backend server of the group is still working on a call of the host.
    [[nodiscard]] bool callsInFlight(std::size_t host, const group_id &group) const;
    /// Kills the process of a host. @param host Index.
    void kill(std::size_t host);
    /// Starts the process of a host without any state of earlier runs; has no effect while the process runs. @param host Index.
    void start(std::size_t host);
    /// Makes a host leave gracefully. @param host Index.
    void leave(std::size_t host);
    /// Pauses a process. @param host Index. @param length Duration in simulation time.
    void pause(std::size_t host, duration length);
    /// Partitions some zones from all others, and cuts zones off from the platform. @param side Zones to partition from the others.
    /// @param withPlatform Zones that stay connected to the platform.
    void partitionZones(const std::set<std::size_t> &side, const std::set<std::size_t> &withPlatform);
    /// Partitions two hosts from each other. @param left Index. @param right Index.
    void partitionHosts(std::size_t left, std::size_t right);
    /// Ends all partitions. For the next 2 s, messages are neither lost nor slow.
    void heal();
    /// Publishes a host list, which each host adopts after a random delay of up to 3 s. A host that is paused then adopts the list when
    /// it resumes; without fleet_options::resyncAfterPause it misses this publication. @param members Indexes of the listed hosts.
    void publishHostList(const std::set<std::size_t> &members);

    [[nodiscard]] duration now() const { return m_now; } ///< @return Simulation time since the start.
    [[nodiscard]] const call_history &calls() const { return m_calls; } ///< @return All calls sent so far.
    [[nodiscard]] const std::vector<backend_group> &groups() const { return m_groups; } ///< @return The groups.
    [[nodiscard]] std::size_t zoneOf(std::size_t host) const { return host % m_options.zones; } ///< @return Index of the host's zone.
    /// @return Whether the process was started and has not been killed since.
    [[nodiscard]] bool alive(std::size_t host) const { return m_hosts[host].manager != nullptr; }
    [[nodiscard]] std::optional<duration> lastRelease() const { return m_lastRelease; } ///< @return When a release was last sent.
    [[nodiscard]] std::size_t isolatedLeasesGained() const { return m_isolatedLeasesGained; } ///< @return Number of isolated leases gained.
    [[nodiscard]] std::size_t shareCalls() const { return m_shareCalls; } ///< @return Number of calls sent under fixed shares.
    [[nodiscard]] std::size_t otherZoneCalls() const { return m_otherZoneCalls; } ///< @return Number of calls to groups of another zone.

private:
    struct scheduled_event {
        duration at;
        std::uint64_t sequence; ///< Order of events that have the same time.
        std::function<void()> handler;
        /// Inverted, so that std::priority_queue returns the earliest event first.
        bool operator<(const scheduled_event &other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };
    struct host_process {
        std::unique_ptr<lease_manager> manager;
        std::uint64_t startCount = 0; ///< Number of starts so far; part of the incarnation.
        std::int64_t clockErrorPpm = 0; ///< Clock rate error in parts per million.
        duration clockOffset{};
        bool paused = false;
        std::vector<std::function<void()>> inbox; ///< Events that arrived during a pause.
        std::map<std::size_t, time_point> lastMessageTimes;
        std::map<std::size_t, host_state> states;
        std::map<std::size_t, std::optional<time_point>> reachableSince; ///< By zone of the backend servers.
        std::map<group_id, duration> callsEnd; ///< Latest simulation time at which a call ends.
        /// Deadline of the last call under a lease, by group; erased when a later check allows no such call.
        std::map<group_id, time_point> lastAllowedEnd;
        bool leaving = false;
    };

    void schedule(duration when, std::function<void()> handler);
    [[nodiscard]] time_point localTime(std::size_t host) const;
    [[nodiscard]] duration toSimulationTime(std::size_t host, time_point time) const;
    [[nodiscard]] bool connected(std::size_t left, std::size_t right) const;
    [[nodiscard]] bool zonesConnected(std::size_t left, std::size_t right) const;
    [[nodiscard]] duration randomDelay();
    [[nodiscard]] std::string processName(std::size_t host) const;
    /// Delivers a message with the delay, loss and duplication of the options, unless the hosts are partitioned from each other.
    void deliver(std::size_t from, std::size_t to, const std::function<void()> &handler);
    /// Runs a handler unless the process was killed or restarted since startCount; during a pause the handler is queued.
    void runOnHost(std::size_t host, std::uint64_t startCount, const std::function<void()> &handler);
    void performActions(std::size_t host, const lease_actions &actions);
    void sendBatch(std::size_t from, std::size_t to, lease_batch batch);
    lease_batch_answer answerBatch(std::size_t from, std::size_t to, lease_batch batch);
    void tick(std::size_t host, std::uint64_t startCount);
    /// Sends a message to every other host, each of which answers it, and reports a platform answer if the platform is reachable.
    void heartbeat(std::size_t host, std::uint64_t startCount);
    /// Records when the host last received a message from the peer, which determines the peer's state.
    void recordMessage(std::size_t host, std::size_t peer);
    /// Reports the end of calls for each handover that has no call in flight any more.
    void finishHandovers(std::size_t host);
    void attemptCalls(std::size_t host);
    void attemptCall(std::size_t host, const backend_group &group, const lease_table &table);
    void adoptHostList(std::size_t host);
    void resume(std::size_t host);
    void scheduleFaults();
    void randomFault();

    fleet_options m_options;
    random_source m_random;
    duration m_now{};
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<scheduled_event> m_events;
    std::vector<host_process> m_hosts;
    std::vector<backend_group> m_groups;
    host_list_view m_hostList;
    std::set<std::pair<std::size_t, std::size_t>> m_partitionedZones;
    std::set<std::pair<std::size_t, std::size_t>> m_partitionedHosts;
    std::set<std::size_t> m_zonesWithoutPlatform; ///< Zones that are cut off from the platform.
    duration m_lossFreeUntil{}; ///< Messages are neither lost nor slow before this time.
    duration m_hostListStableUntil{}; ///< Neither restarts nor further host list changes happen before this time.
    call_history m_calls;
    std::map<std::size_t, std::set<group_id>> m_handovers;
    std::optional<duration> m_lastRelease;
    std::size_t m_isolatedLeasesGained = 0;
    std::size_t m_shareCalls = 0;
    std::size_t m_otherZoneCalls = 0;
};

} // namespace orioledrum
