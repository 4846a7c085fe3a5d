#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <optional>

namespace orioledrum
{

/// Detects that the process was paused, from a periodic tick that comes late.
class pause_detector
{
public:
    /// @param period Time between ticks. @param tolerance Lateness up to which a tick is not a pause.
    explicit pause_detector(std::chrono::milliseconds period = std::chrono::milliseconds(100),
                            std::chrono::milliseconds tolerance = std::chrono::milliseconds(1000));

    /// Takes a tick. @param now The time, on a clock that counts while the process is stopped.
    /// @return The lateness when it exceeds the tolerance.
    std::optional<monotonic_clock::duration> tick(time_point now);

private:
    std::chrono::milliseconds m_period;
    std::chrono::milliseconds m_tolerance;
    std::optional<time_point> m_last;
};

} // namespace orioledrum
