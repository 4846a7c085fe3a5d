#include <standin/call_limit.h>

#include <algorithm>

namespace orioledrum::standin
{

namespace
{

/// Removes the times that are not later than windowStart.
void removeUpTo(std::deque<call_rate_limiter::clock::time_point> &times, call_rate_limiter::clock::time_point windowStart)
{
    while (!times.empty() && times.front() <= windowStart) {
        times.pop_front();
    }
}

} // namespace

call_rate_limiter::call_rate_limiter(std::uint64_t maxPerSecond)
    : m_maxPerSecond(maxPerSecond)
{
}

bool call_rate_limiter::admit(clock::time_point now)
{
    const auto windowStart = now - std::chrono::seconds{1};
    removeUpTo(m_recentCalls, windowStart);
    removeUpTo(m_recentAdmittedCalls, windowStart);
    m_recentCalls.push_back(now);
    ++m_calls;
    m_peakPerSecond = std::max<std::uint64_t>(m_peakPerSecond, m_recentCalls.size());
    if (m_maxPerSecond != 0 && m_recentAdmittedCalls.size() >= m_maxPerSecond) {
        ++m_refused;
        return false;
    }
    m_recentAdmittedCalls.push_back(now);
    return true;
}

} // namespace orioledrum::standin
