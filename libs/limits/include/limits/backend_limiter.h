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

/// Decision of backend_limiter::admit about a call.
enum class admit_result : std::uint8_t {
    started, ///< The next takeActions returns its start action.
    queued, ///< A later takeActions returns a start or drop action, unless the call is abandoned first.
    refused, ///< No action follows; admit_decision::code has the reason.
};

/// Return value of backend_limiter::admit.
struct admit_decision {
    admit_result result = admit_result::refused;
    error_code code = error_code::internal; ///< Reason of a refusal; not meaningful otherwise.
};

/// How the backend server handled an answered call.
enum class call_result : std::uint8_t {
    served, ///< A regular answer of any content, including snapshotNotHeld.
    shed, ///< Load shedding: the backend server did not run the call.
    failed, ///< An unusable answer.
};

/// Admission control, queue and concurrency limit for the calls to one backend server.
///
/// The owner is the worker that holds the lease of the backend server's group. It creates a new limiter, in the cold
/// state, each time it acquires the lease. Not thread-safe.
///
/// Every method that takes an event or a time may produce actions; the owner then fetches them with takeActions. A call
/// occupies a slot from its start action until answered, connectionFailed or connectionClosed is called for it, or until
/// deadlineGrace after its deadline.
class backend_limiter
{
public:
    /// How long after its deadline a call may still run on the backend server.
    static constexpr std::chrono::milliseconds deadlineGrace{250};
    /// Maximum time between sending a call and the deadline sent with it.
    static constexpr std::chrono::milliseconds maxCallTime{2000};
    /// Time without a warm answer after which the state is unconfirmed.
    static constexpr std::chrono::milliseconds confirmationTimeout{2000};
    /// Time after the last draining report before a probe of the same instance ends the draining state.
    static constexpr std::chrono::milliseconds drainExitDelay{5000};

    /// @param leaseEnd End of the owner's lease. The deadline sent with a call is at least deadlineGrace before this time.
    /// @return A limiter in the cold state, or invalidArgument with the name of the invalid setting.
    static expected<backend_limiter> create(limiter_settings settings, time_point leaseEnd, time_point now);

    /// Admits, queues or refuses a call.
    /// @param call Number of the call; must not be in use.
    /// @param deadline Time until which the caller can use an answer.
    /// @param priority 0 is the highest. Calls with the same deadline are ordered by priority. When the expected wait is
    /// too long or the queue is full, a queued call of a lower priority is dropped instead of refusing this one.
    /// @param freshConnection True for orders: the call never reuses a connection.
    /// @return started, queued or refused with draining, overloaded, deadlineExceeded or notOwner (the lease has ended).
    admit_decision admit(call_number call, time_point deadline, std::uint8_t priority, time_point now, bool freshConnection = false);

    /// The connection of a start action with newConnection is open.
    void connectionOpened(call_number call, time_point now);

    /// The connection of a start action with newConnection was refused or could not be opened; nothing was sent.
    /// A warm backend server becomes cold, and all queued calls are dropped.
    void connectionFailed(call_number call, time_point now);

    /// The backend server closed or reset the call's connection before an answer. A warm backend server becomes cold.
    void connectionClosed(call_number call, time_point now);

    /// Either side closed an idle connection.
    void idleConnectionClosed(time_point now);

    /// The backend server answered a call, which may have been abandoned.
    /// @param report The state report in the answer, or null.
    /// @param serviceTime From the write to the answer; 0 when the time is not representative, for example with
    /// snapshotNotHeld.
    /// @param connectionKept True when the connection stays open and idle.
    void answered(call_number call,
                  call_result result,
                  const backend_report *report,
                  std::chrono::microseconds serviceTime,
                  time_point now,
                  bool connectionKept = true);

    /// The call timed out or was cancelled. A queued call is removed; a started call keeps its slot until it ends, as the
    /// class comment describes. No further action is produced for the call.
    /// @return False when the call was started and still occupies a slot, otherwise true. When a queued call is abandoned,
    /// nothing was sent.
    bool abandon(call_number call, time_point now);

    /// A probe of the load endpoint was answered. A probe never raises the limit, with one exception: a draining backend
    /// server gets no calls whose answers could end the draining state, so it becomes cold when a probe reports a state
    /// other than draining, either from a new instance or at least drainExitDelay after the last draining report.
    void probeAnswered(const backend_report &report, time_point now);

    /// A probe of the load endpoint was refused or reset. A warm backend server becomes cold.
    void probeFailed(time_point now);

    /// @param leaving True while the platform's host list marks the backend server as leaving. Its limit is then 0, and
    /// queued calls are dropped.
    void setLeaving(bool leaving, time_point now);

    /// @param leaseEnd New end of the lease; a time in the past stops all sending and drops all queued calls.
    void setLeaseEnd(time_point leaseEnd, time_point now);

    /// @param hosts Number of hosts that split the limits on calls and connections evenly, rounded down, while leases are not
    /// available for lack of a quorum; 1 for an owner with a lease.
    void setSharingHosts(std::uint32_t hosts, time_point now);

    /// Drops all queued calls: adds a drop action with this code for each.
    void dropQueue(error_code code, time_point now);

    /// Releases expired slots and starts or drops queued calls. Called at nextWakeup or later.
    void wakeup(time_point now);

    /// @return Time at which wakeup must be called, or nothing while no timed event is pending.
    [[nodiscard]] std::optional<time_point> nextWakeup() const;

    /// Appends the pending actions to out, in the order in which the owner must execute them, and clears them.
    void takeActions(std::vector<limiter_action> &out);

    /// @return Maximum number of occupied slots at this time.
    [[nodiscard]] std::uint32_t limit(time_point now) const;
    /// @return Slots occupied by calls in flight, including abandoned calls that have not ended.
    [[nodiscard]] std::uint32_t occupied() const;
    /// @return Number of queued calls.
    [[nodiscard]] std::size_t queued() const;
    /// @return Open connections, including those being opened.
    [[nodiscard]] std::uint32_t openConnections() const;
    /// @return The state derived from reports, connection failures and probes.
    [[nodiscard]] backend_state state() const;
    /// @return True when no answer has reported warm for more than confirmationTimeout.
    [[nodiscard]] bool unconfirmed(time_point now) const;
    /// @return True when a probe is due: no answer and no finished probe for 1 s.
    [[nodiscard]] bool probeDue(time_point now) const;
    /// @return The latest report, but with the state that state() returns. Its instance is empty before the first report.
    [[nodiscard]] const backend_report &lastReport() const;
    /// @return Median of recent service times; 0 before the first.
    [[nodiscard]] std::chrono::microseconds medianServiceTime() const;

private:
    struct active_call {
        time_point deadline; // As sent to the backend server.
        std::uint32_t peakOccupied = 0; // Maximum number of slots occupied during the call.
        bool opening = false; // Its new connection is not open yet.
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

    void markCold(time_point now);
    void markDraining(time_point now);
    bool storeReport(const backend_report &report, time_point now);
    void applyReport(const backend_report &report, bool shed, time_point now);
    // Estimates the slots used by other senders; peakOwnSlots is the most that this owner occupied during the call.
    void updateOtherSlots(std::uint32_t slotsInUse, std::uint32_t peakOwnSlots, time_point now);
    void releaseExpiredCalls(time_point now);
    bool releaseSlot(call_number call);
    void advance(time_point now);
    void start(call_number call, time_point deadline, bool freshConnection, time_point now);
    void enqueue(const queue_key &key, const queued_call &call);
    void dropQueued(const queue_key &key, error_code code);
    bool dropLowerPriority(std::uint8_t priority);
    void recordServiceTime(std::chrono::microseconds serviceTime);
    // Returns true when a call can be sent now on a new connection or, unless freshConnection is set, on an idle one.
    [[nodiscard]] bool connectionAvailable(bool freshConnection, time_point now) const;
    [[nodiscard]] bool limitsConnectionRate(time_point now) const;
    // Returns the deadline to send with a call that starts now.
    [[nodiscard]] time_point callDeadline(time_point deadline, time_point now) const;
    // Returns true when a call sent now would be answered by the deadline, judged by the median service time.
    [[nodiscard]] bool finishesInTime(time_point deadline, bool freshConnection, time_point now) const;
    [[nodiscard]] std::uint32_t connectionLimit() const;
    [[nodiscard]] time_point zeroLimitUntil(time_point now) const;

    limiter_settings m_settings;
    time_point m_leaseEnd;
    std::uint32_t m_sharingHosts = 1;
    backend_state m_state = backend_state::cold;
    bool m_leaving = false;
    backend_report m_report;
    time_point m_lastWarmAnswer;
    time_point m_lastAnswerOrProbe; // Latest answer or finished probe.
    time_point m_lastDrainingReport;
    std::uint32_t m_rampLimit = 1;
    time_point m_rampStepStart; // Start of the current ramp step; the limit may double at its end.
    time_point m_shedUntil;
    std::uint32_t m_otherSlots = 0; // Slots used by other senders: the lower of the values from the latest two answers.
    std::uint32_t m_lastOtherSlots = 0; // Slots used by other senders according to the latest answer.
    time_point m_otherSlotsUntil;
    std::unordered_map<call_number, active_call> m_activeCalls;
    std::map<queue_key, queued_call> m_queue;
    std::unordered_map<call_number, queue_key> m_queueIndex;
    std::uint64_t m_nextSequence = 0;
    std::uint32_t m_idleConnections = 0;
    std::uint32_t m_openingConnections = 0;
    time_point m_nextConnectionAt; // Earliest time of the next new connection; used while limitsConnectionRate() is true.
    std::vector<std::chrono::microseconds> m_serviceTimes; // Ring buffer of the latest service times.
    std::size_t m_nextServiceTimeIndex = 0;
    std::chrono::microseconds m_medianServiceTime{0};
    time_point m_now; // Latest time passed to advance or dropQueue.
    std::vector<limiter_action> m_actions;
};

} // namespace orioledrum
