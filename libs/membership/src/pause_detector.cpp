#include <membership/pause_detector.h>

namespace orioledrum
{

pause_detector::pause_detector(std::chrono::milliseconds period, std::chrono::milliseconds tolerance)
    : m_period(period)
    , m_tolerance(tolerance)
{
}

std::optional<monotonic_clock::duration> pause_detector::tick(time_point now)
{
    std::optional<monotonic_clock::duration> result;
    if (m_lastTick) {
        const monotonic_clock::duration late = now - *m_lastTick - m_period;
        if (late > m_tolerance) {
            result = late;
        }
    }
    m_lastTick = now;
    return result;
}

} // namespace orioledrum
