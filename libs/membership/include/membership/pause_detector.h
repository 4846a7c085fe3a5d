#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <optional>

namespace orioledrum
{

/// Detects pauses of the process: a periodic tick that is too late shows that the process did not run.
class pause_detector
{
public:
    /// @param period Time between ticks. @param tolerance A tick that is late by at most this time does not count as a pause.
    explicit pause_detector(std::chrono::milliseconds period = std::chrono::milliseconds(100),
                            std::chrono::milliseconds tolerance = std::chrono::milliseconds(1000));

    /// Records a tick. @param now Time of a clock that continues while the process is stopped.
    /// @return How late the tick is if that exceeds the tolerance, otherwise std::nullopt. The first tick is never late.
    std::optional<monotonic_clock::duration> tick(time_point now);

private:
    std::chrono::milliseconds m_period;
    std::chrono::milliseconds m_tolerance;
    std::optional<time_point> m_lastTick;
};

} // namespace orioledrum
