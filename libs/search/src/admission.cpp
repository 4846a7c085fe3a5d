#include <search/admission.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr auto activeTime = 1s; // A customer without queries for this long gives its share to the others.
constexpr auto decreaseInterval = 100ms; // About one round trip of feedback between two decreases.
constexpr double decreaseFactor = 0.9;
constexpr double increaseStep = 1.0;
constexpr double usedShare = 0.5; // The limit grows only while it is in use.

// Share of the limit up to which a priority may use what others leave unused.
double borrowable(std::uint8_t priority)
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
    forgetIdle(now);
    auto [found, added] = m_customers.try_emplace(customer);
    auto &state = found->second;
    m_activeWeight += share.weight - (added ? 0.0 : state.share.weight);
    state.share = share;
    state.lastSeen = now;
    const double fair = std::max(1.0, m_limit * share.weight / m_activeWeight);
    const bool withinShare = state.inProgress + 1 <= fair;
    const bool spare = m_total + 1 <= m_limit * borrowable(share.priority);
    if (!withinShare && !spare) {
        return makeError(
            error_code::overloaded, "admit request", "customer " + customer.str() + " has used its share of this host; not run");
    }
    ++state.inProgress;
    ++m_total;
    return {};
}

void admission::finished(const customer_id &customer, bool overloaded, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_customers.find(customer);
    if (found == m_customers.end() || found->second.inProgress == 0) {
        return;
    }
    const bool used = m_total >= m_limit * usedShare;
    --found->second.inProgress;
    --m_total;
    if (overloaded) {
        if (now >= m_nextDecrease) {
            m_limit = std::max(m_settings.minLimit, m_limit * decreaseFactor);
            m_nextDecrease = now + decreaseInterval;
        }
    } else if (used) {
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
    return m_total;
}

void admission::forgetIdle(time_point now)
{
    if (now < m_nextForget) {
        return;
    }
    m_nextForget = now + activeTime / 4;
    std::erase_if(m_customers,
                  [now](const auto &entry) { return entry.second.inProgress == 0 && now - entry.second.lastSeen > activeTime; });
    // Summed anew so that rounding does not accumulate.
    m_activeWeight = 0;
    for (const auto &[id, state] : m_customers) {
        m_activeWeight += state.share.weight;
    }
}

} // namespace orioledrum
