#pragma once

#include <chrono>

namespace orioledrum
{

/// Clock for deadlines and leases. It also advances while the process is stopped or the machine is suspended
/// (CLOCK_BOOTTIME), so that leases expire during that time.
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

/// Point in time of monotonic_clock. State machines take the current time as an argument instead of reading the clock.
using time_point = monotonic_clock::time_point;

} // namespace orioledrum
