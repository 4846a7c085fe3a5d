#include <standin/call_limit.h>

#include <algorithm>

namespace orioledrum::standin
{

namespace
{

void dropOlderThan(std::deque<call_limit::clock::time_point> &times, call_limit::clock::time_point oldest)
{
    while (!times.empty() && times.front() <= oldest) {
        times.pop_front();
    }
}

} // namespace

call_limit::call_limit(std::uint64_t perSecond)
    : m_perSecond(perSecond)
{
}

bool call_limit::admit(clock::time_point now)
{
    const auto oldest = now - std::chrono::seconds{1};
    dropOlderThan(m_recent, oldest);
    dropOlderThan(m_recentAdmitted, oldest);
    m_recent.push_back(now);
    ++m_calls;
    m_peak = std::max<std::uint64_t>(m_peak, m_recent.size());
    if (m_perSecond != 0 && m_recentAdmitted.size() >= m_perSecond) {
        ++m_refused;
        return false;
    }
    m_recentAdmitted.push_back(now);
    return true;
}

} // namespace orioledrum::standin
