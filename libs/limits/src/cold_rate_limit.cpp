#include <limits/cold_rate_limit.h>

#include <algorithm>

namespace orioledrum
{

bool cold_rate_limit::tryAcquire(double callsPerWindow, std::uint32_t hosts, time_point now)
{
    while (!m_sendTimes.empty() && now - m_sendTimes.front() >= window) {
        m_sendTimes.pop_front();
    }
    const double callsPerHost = callsPerWindow / std::max(1U, hosts);
    if (static_cast<double>(m_sendTimes.size()) + 1 > callsPerHost) {
        return false;
    }
    m_sendTimes.push_back(now);
    return true;
}

} // namespace orioledrum
