#include <host_counter.h>

#include <algorithm>

namespace orioledrum
{

host_counter::host_counter(time_point startedAt, double slack, std::chrono::milliseconds window)
    : m_startedAt(startedAt)
    , m_slack(slack)
    , m_window(window)
    , m_growthAt(startedAt)
{
}

void host_counter::update(std::size_t knownHosts, time_point now)
{
    m_knownHosts = std::max<std::size_t>(1, knownHosts);
    // In a settled fleet, hosts that join one by one do not unsettle the others.
    if (m_knownHosts * 5 >= m_hostsAtGrowth * 6 || m_knownHosts < m_hostsAtGrowth) {
        if (m_knownHosts > m_hostsAtGrowth) {
            m_growthAt = now;
        }
        m_hostsAtGrowth = m_knownHosts;
    }
    const bool quiet = m_knownHosts > 1 && now - m_growthAt >= settleTime;
    m_settled = quiet || now - m_startedAt >= maxSettleTime;
}

std::uint32_t host_counter::hostCount() const
{
    const auto known = static_cast<std::uint32_t>(m_knownHosts);
    return m_settled && known > 1 ? known : std::max(known, assumedHosts);
}

slack_division host_counter::slackDivision(time_point now) const
{
    const auto cautious = std::max(hostCount(), static_cast<std::uint32_t>(m_slack / restartTokens));
    if (!m_settled) {
        return {cautious, cautious};
    }
    return {hostCount(), now - m_startedAt >= m_window ? hostCount() : cautious};
}

} // namespace orioledrum
