#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstdint>
#include <deque>

namespace orioledrum
{

/// This host's part of the request rate that one cold backend server bears. Not thread-safe.
class cold_rate_limit
{
public:
    /// Span in which the bound over all hosts is counted, with a margin for calls whose way takes different times.
    static constexpr std::chrono::milliseconds window{1100};

    /// @param callsPerWindow Calls that all hosts together may send in a window.
    /// @param hosts Hosts that share it, at least 1.
    /// @param now Current time.
    /// @return True when a call may be sent now; it is counted.
    bool take(double callsPerWindow, std::uint32_t hosts, time_point now);

private:
    std::deque<time_point> m_sent; // Calls within the window, oldest first.
};

} // namespace orioledrum
