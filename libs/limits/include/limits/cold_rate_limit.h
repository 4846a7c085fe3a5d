#pragma once

#include <base/monotonic_clock.h>
#include <limits/limit_share.h>

#include <chrono>
#include <deque>

namespace orioledrum
{

/// Rate limit for this host's calls to one cold backend server: a sliding window with a share of the calls that all hosts
/// together may send. Not thread-safe.
class cold_rate_limit
{
public:
    /// Length of the sliding window. It is longer than 1 s as a margin for differences in how long the calls take to arrive.
    static constexpr std::chrono::milliseconds window{1100};

    /// Counts a call if it is within the limit.
    /// @param callsPerWindow Maximum number of calls of all hosts together in a window.
    /// @param share This host's share of callsPerWindow, which is divided in whole calls.
    /// @return True when the call may be sent now.
    bool tryAcquire(double callsPerWindow, limit_share share, time_point now);

private:
    std::deque<time_point> m_sendTimes; // Send times within the window, oldest first.
};

} // namespace orioledrum
