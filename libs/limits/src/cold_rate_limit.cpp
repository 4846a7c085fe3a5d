#include <limits/cold_rate_limit.h>

namespace orioledrum
{

bool cold_rate_limit::tryAcquire(double callsPerWindow, limit_share share, time_point now)
{
    while (!m_sendTimes.empty() && now - m_sendTimes.front() >= window) {
        m_sendTimes.pop_front();
    }
    if (m_sendTimes.size() >= share.divide(callsPerWindow, 1)) {
        return false;
    }
    m_sendTimes.push_back(now);
    return true;
}

} // namespace orioledrum
