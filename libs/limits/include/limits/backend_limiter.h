#pragma once

#include <base/error.h>
#include <base/monotonic_clock.h>
#include <limits/limiter_action.h>
#include <limits/limiter_settings.h>
#include <wire/search_messages.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// How admit disposed of a call.
enum class admit_result : std::uint8_t {
    started, ///< A start action follows in takeActions.
    queued, ///< A start or drop action follows later.
    refused, ///< Nothing follows; see the code.
};

/// Answer of backend_limiter::admit.
struct admit_decision {
    admit_result result = admit_result::refused;
    error_code code = error_code::internal; ///< Meaningful when refused.
};

/// What the answer to a call says about the backend server, apart from its report.
enum class call_result : std::uint8_t {
    served, ///< An answer of any content, including snapshotNotHeld.
    shed, ///< The backend server shed the call; it did not run.
    failed, ///< An answer that cannot be used.
};

/// Decides which calls may be sent to one backend server. Run by the worker that holds the group's lease, which
/// creates a new limiter, in the cold state, whenever it acquires the lease. Not thread-safe.
///
/// Each event method may produce actions, which the owner fetches with takeActions after the event. A call occupies
/// a slot from its start action until answered, connectionFailed, connectionClosed, or its deadline plus the grace.
class backend_limiter
{
public:
    /// Time after its deadline in which a backend server may still work on a call.
    static constexpr std::chrono::milliseconds grace{250};
    /// Longest deadline of a single call.
    static constexpr std::chrono::milliseconds maxCallTime{2000};
    /// Time without an answer after which the state is unconfirmed.
    static constexpr std::chrono::milliseconds confirmationTime{2000};
    /// Time of probes without draining after which a backend server of the same instance is cold again.
    static constexpr std::chrono::milliseconds drainClearTime{5000};

    /// @param settings What the backend server bears.
    /// @param leaseEnd End of the owner's lease; calls are sent only if their deadline plus the grace ends before it.
    /// @param now Current time.
    /// @return A limiter in the cold state, or invalidArgument with the offending setting.
    static expected<backend_limiter> create(limiter_settings settings, time_point leaseEnd, time_point now);

    /// @param call Number of the call; must not be in use.
    /// @param deadline Time until which an answer is useful.
    /// @param priority 0 is the highest. Calls with the same deadline are served by priority, and when the expected wait
    /// is too long a queued call of a lower priority is dropped instead of refusing this one.
    /// @param now Current time.
    /// @param freshConnection True for orders: never reuse a connection.
    /// @return started, queued or refused with draining, overloaded, deadlineExceeded or notOwner (the lease has ended).
    admit_decision admit(call_number call, time_point deadline, std::uint8_t priority, time_point now, bool freshConnection = false);

    /// The connection of a start action with newConnection is open.
    void connectionOpened(call_number call, time_point now);

    /// The connection of a start action with newConnection was refused or could not be opened; nothing was sent.
    /// The backend server counts as cold.
    void connectionFailed(call_number call, time_point now);

    /// The call's connection was closed or reset by the backend server before an answer. It counts as cold.
    void connectionClosed(call_number call, time_point now);

    /// An idle connection was closed by either side.
    void idleConnectionClosed(time_point now);

    /// The backend server answered; also used for answers to abandoned calls.
    /// @param report What the answer says about the backend server, or null.
    /// @param serviceTime From the write to the answer; 0 when it says nothing about the time of a call, for example
    /// with snapshotNotHeld.
    /// @param connectionKept True when the connection stays open and idle.
    void answered(call_number call,
                  call_result result,
                  const backend_report *report,
                  std::chrono::microseconds serviceTime,
                  time_point now,
                  bool connectionKept = true);

    /// The call timed out or was cancelled. A queued call is removed; a started one keeps its slot until it is known
    /// to be done. No action follows for it.
    /// @return True when the call had not been started, so nothing was sent.
    bool abandon(call_number call, time_point now);

    /// A probe of the load endpoint was answered. It can only make the known state worse, with one exception: a
    /// draining backend server gets no calls that could show that it no longer drains, so it becomes cold when probes
    /// report a new instance, or no draining for drainClearTime.
    void probed(const backend_report &report, time_point now);

    /// A probe of the load endpoint was refused or reset. The backend server counts as cold.
    void probeFailed(time_point now);

    /// @param leaving True while the platform's host list says that the backend server is leaving.
    void setLeaving(bool leaving, time_point now);

    /// @param leaseEnd New end of the lease; a time in the past stops all sending.
    void setLeaseEnd(time_point leaseEnd, time_point now);

    /// @param hosts Divides all limits, rounded down, when the owner uses shares without a quorum; 1 for an owner.
    void setShare(std::uint32_t hosts, time_point now);

    /// Removes all queued calls with drop actions (draining).
    void dropQueue(error_code code, time_point now);

    /// Applies the passing of time. Called at nextWakeup or later.
    void wakeup(time_point now);

    /// @return When wakeup has something to do, or nothing while no event is pending.
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /// Appends the pending actions to out, in the order in which they must be carried out, and clears them.
    void takeActions(std::vector<limiter_action> &out);

    /// @return Calls that may occupy slots at this time, after all evidence.
    [[nodiscard]] std::uint32_t limit(time_point now) const;
    /// @return Slots occupied by calls in flight and by abandoned calls not known to be done.
    [[nodiscard]] std::uint32_t occupied() const;
    /// @return Number of waiting calls.
    [[nodiscard]] std::size_t queued() const;
    /// @return Open connections, including those being opened.
    [[nodiscard]] std::uint32_t openConnections() const;
    /// @return The state by evidence.
    [[nodiscard]] backend_state state() const;
    /// @return True when no answer confirmed the state within confirmationTime.
    [[nodiscard]] bool unconfirmed(time_point now) const;
    /// @return True when the owner should probe: no answer and no finished probe for 1 s.
    [[nodiscard]] bool probeDue(time_point now) const;
    /// @return The latest report of the backend server; instance is empty before the first.
    [[nodiscard]] const backend_report &lastReport() const;
    /// @return Median of recent service times.
    [[nodiscard]] std::chrono::microseconds medianServiceTime() const;

private:
    struct active_call {
        time_point deadline; // As sent to the backend server.
        std::uint32_t peak = 0; // Most slots occupied during the call.
        bool opening = false; // Its connection is not open yet.
    };
    struct queue_key {
        time_point deadline;
        std::uint8_t priority = 0;
        std::uint64_t sequence = 0;
        bool operator<(const queue_key &other) const;
    };
    struct queued_call {
        call_number call = 0;
        bool freshConnection = false;
    };

    backend_limiter(limiter_settings settings, time_point leaseEnd, time_point now);

    void turnCold(time_point now);
    void turnDraining(time_point now);
    bool noteInstance(const backend_report &report, time_point now);
    void noteReport(const backend_report &report, bool shed, time_point now);
    void noteForeignLoad(std::uint32_t slotsInUse, std::uint32_t own, time_point now);
    void expireActive(time_point now);
    bool release(call_number call);
    void advance(time_point now);
    void start(call_number call, time_point deadline, bool freshConnection, time_point now);
    void enqueue(const queue_key &key, const queued_call &call);
    void dropQueued(const queue_key &key, error_code code);
    bool makeRoom(std::uint8_t priority);
    void recordServiceTime(std::chrono::microseconds serviceTime);
    [[nodiscard]] bool canConnect(bool freshConnection, time_point now) const;
    [[nodiscard]] bool carefulWithConnections(time_point now) const;
    [[nodiscard]] time_point sendDeadline(time_point deadline, time_point now) const;
    [[nodiscard]] bool finishesInTime(time_point deadline, bool freshConnection, time_point now) const;
    [[nodiscard]] std::uint32_t connectionLimit() const;
    [[nodiscard]] time_point blockedUntil(time_point now) const;

    limiter_settings m_settings;
    time_point m_leaseEnd;
    std::uint32_t m_share = 1;
    backend_state m_state = backend_state::cold;
    bool m_leaving = false;
    backend_report m_report;
    time_point m_lastWarm; // Latest warm answer.
    time_point m_lastHeard; // Latest answer or probe.
    time_point m_lastDraining; // Latest evidence of draining.
    std::uint32_t m_rampLimit = 1;
    time_point m_rampStep; // Start of the current interval of the ramp.
    time_point m_shedUntil;
    std::uint32_t m_foreign = 0; // Slots that others use.
    std::uint32_t m_foreignSeen = 0; // Difference in the latest answer.
    time_point m_foreignUntil;
    std::unordered_map<call_number, active_call> m_active;
    std::map<queue_key, queued_call> m_queue;
    std::unordered_map<call_number, queue_key> m_queueIndex;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_idle = 0;
    std::uint32_t m_opening = 0;
    time_point m_nextConnection; // While cold: earliest time of the next new connection.
    std::vector<std::chrono::microseconds> m_serviceTimes; // Ring of the latest service times.
    std::size_t m_serviceTimeNext = 0;
    std::chrono::microseconds m_median{0};
    time_point m_now; // Latest time passed in.
    std::vector<limiter_action> m_actions;
};

} // namespace orioledrum
