#include <search/admission.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr auto idleTimeout = 1s; // The share of a customer is divided among the others after this time without queries.
constexpr auto decreaseInterval = 100ms; // About one round trip, so that the effect of a decrease is seen before the next one.
constexpr double decreaseFactor = 0.9;
constexpr double increaseStep = 1.0; // Total increase while as many queries finish as the limit allows at a time.
constexpr double minUtilisationToGrow = 0.5; // The limit grows only while at least this share of it is in use.

// Returns the share of the limit that must not be exceeded in total when a customer of this priority goes beyond its fair share.
double maxUtilisation(std::uint8_t priority)
{
    return priority == 0 ? 1.0 : (priority == 1 ? 0.9 : 0.75);
}

} // namespace

admission::admission(admission_settings settings)
    : m_settings(settings)
    , m_limit(std::clamp(settings.initialLimit, settings.minLimit, settings.maxLimit))
{
}

expected<void> admission::admit(const customer_id &customer, customer_share share, time_point now)
{
    if (!(share.weight > 0)) {
        return makeError(
            error_code::invalidArgument, "admit request", "the weight of customer " + customer.str() + " is not greater than 0");
    }
    const std::lock_guard lock(m_mutex);
    removeIdleCustomers(now);
    auto [found, added] = m_customers.try_emplace(customer);
    auto &state = found->second;
    m_activeWeight += share.weight - (added ? 0.0 : state.share.weight);
    state.share = share;
    state.lastRequestAt = now;
    const double fairShare = std::max(1.0, m_limit * share.weight / m_activeWeight);
    const bool withinFairShare = state.inProgress + 1 <= fairShare;
    const bool mayBorrow = m_totalInProgress + 1 <= m_limit * maxUtilisation(share.priority);
    if (!withinFairShare && !mayBorrow) {
        return makeError(
            error_code::overloaded, "admit request", "customer " + customer.str() + " has used its share of this host; not run");
    }
    ++state.inProgress;
    ++m_totalInProgress;
    return {};
}

void admission::release(const customer_id &customer, bool overloaded, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_customers.find(customer);
    if (found == m_customers.end() || found->second.inProgress == 0) {
        return;
    }
    const bool limitInUse = m_totalInProgress >= m_limit * minUtilisationToGrow;
    --found->second.inProgress;
    --m_totalInProgress;
    if (overloaded) {
        if (now >= m_nextDecrease) {
            m_limit = std::max(m_settings.minLimit, m_limit * decreaseFactor);
            m_nextDecrease = now + decreaseInterval;
        }
    } else if (limitInUse) {
        m_limit = std::min(m_settings.maxLimit, m_limit + increaseStep / m_limit);
    }
}

double admission::limit() const
{
    const std::lock_guard lock(m_mutex);
    return m_limit;
}

std::uint32_t admission::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_totalInProgress;
}

void admission::removeIdleCustomers(time_point now)
{
    if (now < m_nextIdleCleanup) {
        return;
    }
    m_nextIdleCleanup = now + idleTimeout / 4;
    std::erase_if(m_customers,
                  [now](const auto &entry) { return entry.second.inProgress == 0 && now - entry.second.lastRequestAt > idleTimeout; });
    // Recomputed from scratch so that rounding errors do not accumulate.
    m_activeWeight = 0;
    for (const auto &[id, state] : m_customers) {
        m_activeWeight += state.share.weight;
    }
}

} // namespace orioledrum
