#include <limits/extra_call_budget.h>

#include <algorithm>
#include <cstdint>

namespace orioledrum
{

namespace
{

double slackPerHost(double slack, std::uint32_t hosts)
{
    return slack * extra_call_budget::standingSlackShare / std::max(1U, hosts);
}

} // namespace

extra_call_budget::extra_call_budget(extra_call_limits limits, slack_division division)
    : m_slack(limits.slack)
    , m_granted(slackPerHost(limits.slack, division.grantHosts))
    , m_tokens(limits.share * shareSafetyFactor, slackPerHost(limits.slack, division.capacityHosts), m_granted)
{
}

void extra_call_budget::setDivision(slack_division division)
{
    m_tokens.setCapacity(slackPerHost(m_slack, division.capacityHosts));
    const auto granted = slackPerHost(m_slack, division.grantHosts);
    if (granted > m_granted) {
        m_tokens.grant(granted - m_granted);
        m_granted = granted;
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
