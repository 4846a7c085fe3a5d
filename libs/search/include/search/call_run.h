#pragma once

#include <base/monotonic_clock.h>
#include <search/replica_board.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace orioledrum
{

/// Send the request to a backend server.
struct send_call {
    std::uint64_t attempt = 0; ///< Unique within the run.
    replica_board::replica_ptr server;
    time_point deadline; ///< The answer is of no use later.
    std::chrono::microseconds usual{0}; ///< Usual time of such a call.
};

/// The calls that one request needs. Not thread-safe.
///
/// The owner calls start, passes in how each call ended, carries out takeCalls after each step and calls wakeup when it is
/// due, until the run is finished.
class call_run
{
public:
    virtual ~call_run() = default;

    /// Sends the first calls, or finishes the run.
    virtual void start(time_point now) = 0;

    /// Applies the passing of time. Called at nextWakeup or later.
    virtual void wakeup(time_point now) = 0;

    /// @return When wakeup has something to do; time_point::max() when finished.
    [[nodiscard]] virtual time_point nextWakeup() const = 0;

    [[nodiscard]] virtual bool finished() const = 0;

    /// @return The calls to send since the last time.
    virtual std::vector<send_call> takeCalls() = 0;
};

} // namespace orioledrum
