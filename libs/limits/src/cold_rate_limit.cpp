#include <limits/cold_rate_limit.h>

#include <algorithm>

namespace orioledrum
{

bool cold_rate_limit::take(double callsPerWindow, std::uint32_t hosts, time_point now)
{
    while (!m_sent.empty() && now - m_sent.front() >= window) {
        m_sent.pop_front();
    }
    const double own = callsPerWindow / std::max(1U, hosts);
    if (static_cast<double>(m_sent.size()) + 1 > own) {
        return false;
    }
    m_sent.push_back(now);
    return true;
}

} // namespace orioledrum
