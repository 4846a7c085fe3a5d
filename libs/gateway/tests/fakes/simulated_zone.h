#pragma once

#include "fake_change_source.h"

#include <change_sync.h>

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

/// What fails at a host, from a moment on for a time.
enum class host_fault {
    none,
    storeSilent, ///< Bytes between host and store are lost; connections stay open.
    storeRefuses, ///< The store answers each read of this host with an error.
    storeSlow, ///< The store answers this host 600 ms late.
    connectionsSilent, ///< Open connections to the store lose all bytes; new ones work.
    hostsSilent, ///< Bytes between this host and all other hosts are lost.
    frozen, ///< The process handles nothing; what arrives waits.
    slow, ///< Each event takes the process 120 ms.
    dead, ///< The process ends; connections to it are refused.
};

/// Hosts of one availability zone, each with a real change_sync, and the store that they read, in simulated time.
class simulated_zone
{
public:
    struct timing {
        std::chrono::milliseconds networkDelay{2}; ///< One way.
        std::chrono::milliseconds eventCost{0}; ///< Time for which a host is busy with one event.
        std::chrono::milliseconds changesCost{0}; ///< More for one that brings changes.
        std::size_t listPages = 4;
    };

    /// How the hosts start.
    struct start_options {
        std::chrono::milliseconds stagger{7}; ///< Between the starts of two hosts.
        /// Time after its start at which membership tells a host all hosts of the zone; a quarter of it, one in four of them. 0: known
        /// before.
        std::chrono::milliseconds peersKnownAfter{0};
        bool otherZonesKnown = false;
    };

    simulated_zone(std::size_t hosts, const change_sync_settings &settings, const timing &times)
        : simulated_zone(hosts, settings, times, start_options())
    {
    }
    simulated_zone(std::size_t hosts, const change_sync_settings &settings, const timing &times, const start_options &starting);

    /// Runs until a time.
    void runUntil(time_point end);
    [[nodiscard]] time_point now() const { return m_now; }

    /// Publishes a change now. @return Its number, which is its revision as long as the store has not gone back.
    std::uint64_t publish();
    /// Lets the store tell its era from now on.
    void setEra(std::uint64_t era) { m_era = era; }
    /// Lets the store come back with the copy that it had some revisions ago, in its next era. Open connections break.
    /// @param keepsHistory The copy has the changes before its revision.
    void goBack(std::uint64_t revisions, bool keepsHistory);
    /// Lets the store answer all reads with an error from now on for a time.
    void stopStore(std::chrono::milliseconds duration) { m_stoppedUntil = m_now + duration; }
    /// Drops the history of the store: watches from an older revision fail with historyLost.
    void dropHistory();
    /// Lets a host fail from now on.
    void fail(std::size_t host, host_fault fault, std::chrono::milliseconds duration);
    /// Runs an action at a time.
    void at(time_point time, std::function<void()> action) { m_events.push({time, ++m_eventCount, std::move(action)}); }

    /// @return The hosts that read the store, the one that is asked first first.
    [[nodiscard]] std::vector<std::size_t> readers() const;
    /// @return When the host had excluded the zone of a change; max() if it has not.
    [[nodiscard]] time_point excludedAt(std::size_t host, std::uint64_t revision) const;
    /// @return When the host had removed the backend server of a change; max() if it has not.
    [[nodiscard]] time_point removedAt(std::size_t host, std::uint64_t revision) const;
    /// @return The numbers of the changes that the host has applied and the source has not taken back.
    [[nodiscard]] const std::set<std::uint64_t> &state(std::size_t host) const { return m_hosts[host].state; }
    /// @return The numbers of the changes that the store has.
    [[nodiscard]] std::set<std::uint64_t> storeState() const { return {m_numbers.begin(), m_numbers.end()}; }
    /// Ends the process of a host and starts another one at once.
    void restart(std::size_t host);
    /// @return When the latest process of the host was started, and when it had its first state; max() if it has none.
    [[nodiscard]] time_point startedAt(std::size_t host) const { return m_hosts[host].startedAt; }
    [[nodiscard]] time_point readyAt(std::size_t host) const { return m_hosts[host].readyAt; }
    /// @return Number of lists that all hosts have begun to read from the store.
    [[nodiscard]] std::size_t listsBegun() const { return m_listsBegun; }
    /// @return Number of reads that the host has sent to the store.
    [[nodiscard]] std::size_t reads(std::size_t host) const { return m_hosts[host].reads; }
    [[nodiscard]] std::size_t hostCount() const { return m_hosts.size(); }

private:
    struct simulated_host {
        std::unique_ptr<change_sync> sync;
        std::map<host_fault, time_point> faultEnds;
        time_point busyUntil;
        time_point silentBefore; // Connections opened before are silent.
        time_point connectionOpenedAt;
        std::uint64_t tickGeneration = 0;
        std::map<std::uint64_t, time_point> excluded;
        std::map<std::uint64_t, time_point> removed;
        std::set<std::uint64_t> state;
        std::size_t reads = 0;
        std::uint64_t process = 0; // Callbacks of an earlier process are dropped.
        time_point startedAt;
        time_point readyAt = time_point::max();
    };

    struct event {
        time_point time;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event &other) const { return std::tie(other.time, other.order) < std::tie(time, order); }
    };

    struct watch_state {
        std::size_t host = 0;
        std::uint64_t after = 0;
        std::function<void(expected<change_page>)> answer;
    };

    using host_event = std::function<change_sync_actions(change_sync &)>;

    [[nodiscard]] bool hasFault(std::size_t host, host_fault fault) const;
    /// Lets a host handle an event, as soon as it can.
    void deliver(std::size_t host, const host_event &handle);
    void run(std::size_t host, change_sync_actions &&actions);
    void scheduleTick(std::size_t host);
    void startProcess(std::size_t host, std::chrono::milliseconds delay);
    void setPeers(std::size_t host, std::size_t oneIn);
    /// Lets the process that a host has now handle an event, unless another one has replaced it.
    void deliverTo(std::size_t host, std::uint64_t process, const host_event &handle);
    void startRead(std::size_t host, const start_platform_read &action);
    void receiveRead(std::size_t host, const source_read &read, std::function<void(expected<change_page>)> answer);
    void sendPull(std::size_t host, const send_pull &action);
    void sendStateRequest(std::size_t host, const send_state_request &action);
    using answer_handler = std::function<void(const answer_pull &)>;
    /// Carries a question to a reader and its answer back.
    void ask(std::size_t host,
             const std::string &address,
             std::chrono::milliseconds timeout,
             std::function<change_sync_actions(change_sync &, std::uint64_t)> question,
             const answer_handler &complete);
    void applyAt(std::size_t host, const apply_changes &changes, time_point time);
    void answerWatches();
    [[nodiscard]] std::uint64_t revision() const { return m_numbers.size(); }
    [[nodiscard]] change_page inEra(change_page page) const;

    change_sync_settings m_settings;
    timing m_times;
    start_options m_starting;
    std::size_t m_listsBegun = 0;
    fake_change_source m_source;
    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_eventCount = 0;
    std::priority_queue<event> m_events;
    std::vector<simulated_host> m_hosts;
    std::map<std::uint64_t, watch_state> m_watches;
    std::map<std::uint64_t, std::function<void(const answer_pull &)>> m_pulls;
    std::uint64_t m_lastId = 0;
    fake_change_source::change_numbers m_numbers{1}; // One for each revision.
    std::uint64_t m_lastNumber = 1;
    std::uint64_t m_oldestRevision = 0;
    std::optional<std::uint64_t> m_era;
    time_point m_stoppedUntil;
};

} // namespace orioledrum
