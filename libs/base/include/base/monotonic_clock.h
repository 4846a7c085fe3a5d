#pragma once

#include <chrono>

namespace orioledrum
{

/// Clock for deadlines and leases. It counts while the process is stopped and while the machine is suspended
/// (CLOCK_BOOTTIME), so that time spent suspended counts against a lease.
class monotonic_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    /// @return The time since boot.
    static time_point now() noexcept;
};

/// Point in time that state machines take as an argument.
using time_point = monotonic_clock::time_point;

} // namespace orioledrum
