#include <limits/extra_call_budget.h>

#include <algorithm>

namespace orioledrum
{

extra_call_budget::extra_call_budget(extra_call_limits limits, std::uint32_t hosts)
    : m_limits(limits)
    , m_capacity(limits.slack / std::max(1U, hosts))
    , m_tokens(m_capacity)
{
}

void extra_call_budget::setHosts(std::uint32_t hosts)
{
    m_capacity = m_limits.slack / std::max(1U, hosts);
    m_tokens = std::min(m_tokens, m_capacity);
}

void extra_call_budget::firstCall()
{
    m_tokens = std::min(m_capacity, m_tokens + m_limits.share * usedShare);
}

bool extra_call_budget::takeRetry()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool extra_call_budget::canHedge() const
{
    return m_tokens >= 1 + m_capacity * retryReserve;
}

bool extra_call_budget::takeHedge()
{
    return canHedge() && takeRetry();
}

} // namespace orioledrum
