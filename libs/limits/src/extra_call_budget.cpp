#include <limits/extra_call_budget.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

double slackPerHost(double slack, std::uint32_t hosts)
{
    return slack * extra_call_budget::standingSlackShare / std::max(1U, hosts);
}

} // namespace

extra_call_budget::extra_call_budget(extra_call_limits limits, std::uint32_t hosts)
    : m_slack(limits.slack)
    , m_granted(slackPerHost(limits.slack, hosts))
    , m_tokens(limits.share * shareSafetyFactor, slackPerHost(limits.slack, hosts), slackPerHost(limits.slack, hosts))
{
}

void extra_call_budget::setHosts(std::uint32_t hosts)
{
    const auto capacity = slackPerHost(m_slack, hosts);
    m_tokens.setCapacity(capacity);
    if (capacity > m_granted) {
        m_tokens.grant(capacity - m_granted);
        m_granted = capacity;
    }
}

void extra_call_budget::recordFirstCall()
{
    m_tokens.add(1);
    m_account.recordFirstCall();
}

bool extra_call_budget::tryAcquireRetry()
{
    if (!m_tokens.tryAcquire()) {
        return false;
    }
    m_account.recordExtraCall();
    return true;
}

bool extra_call_budget::canHedge() const
{
    return m_tokens.tokens() >= 1 + m_tokens.capacity() * retryReserve;
}

bool extra_call_budget::tryAcquireHedge()
{
    return canHedge() && tryAcquireRetry(); // Hedges and retries take the same tokens.
}

} // namespace orioledrum
