#pragma once

#include <base/monotonic_clock.h>
#include <search/replica_registry.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace orioledrum
{

/// A call to a backend server that the user of a call_run has to send.
struct send_call {
    std::uint64_t attempt = 0; ///< Number of the call within the run, from 0.
    replica_registry::replica_ptr server;
    time_point deadline; ///< An answer after this time is not used.
    /// Expected latency at normal speed, including the wait in the queue of the backend server.
    std::chrono::microseconds expectedLatency{0};
};

/// Decides which calls one request needs: first calls, retries and hedges. It does no I/O. Not thread-safe.
///
/// The user calls start(), reports the end of each call with callEnded() of the derived class, sends the calls from takeCalls()
/// after each step and calls wakeup() at nextWakeup(), until finished() is true. The run itself calls replica::callSent(); the
/// user calls replica::callEnded() for each call, also for those that end after the run.
class call_run
{
public:
    virtual ~call_run() = default;

    /// Queues the first calls, or finishes the run when none can be sent.
    virtual void start(time_point now) = 0;

    /// Handles timers that are due, such as hedges and the deadline. Called at nextWakeup() or later.
    virtual void wakeup(time_point now) = 0;

    /// @return When to call wakeup() next; time_point::max() when finished.
    [[nodiscard]] virtual time_point nextWakeup() const = 0;

    [[nodiscard]] virtual bool finished() const = 0;

    /// @return The calls queued since the previous takeCalls().
    virtual std::vector<send_call> takeCalls() = 0;
};

} // namespace orioledrum
