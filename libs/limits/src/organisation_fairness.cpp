#include <limits/organisation_fairness.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace orioledrum
{

namespace
{

/// The shares are computed again after this part of the window, in which the averages change by 2.5%.
constexpr int updatesPerWindow = 40;
/// Organisations with fewer requests in the window are forgotten; the last request is then 4.6 windows ago.
constexpr double forgottenRequests = 0.01;
/// The limit ends when fewer than this share of the requests are served that were served when it began: about six standard deviations of
/// the requests that a host serves in overloadMemory in a fleet of 30 hosts, and three in one of 118.
constexpr double leastServedShare = 0.5;
/// The longest release, in multiples of overloadMemory, in which a limit that does not help is noticed again.
constexpr int maxReleasePerMemory = 8;
/// Halvings of the range in which the fair number of requests lies: exact to a millionth of all requests.
constexpr int searchSteps = 20;

} // namespace

organisation_fairness::organisation_fairness(organisation_fairness_settings settings)
    : m_settings(settings)
    , m_releaseTime(settings.window)
{
}

void organisation_fairness::add(decaying_count &target, double count, std::chrono::milliseconds window, time_point now)
{
    const std::chrono::duration<double> age = std::max(now - target.at, time_point::duration(0));
    target.value = target.value * std::exp(-age / std::chrono::duration<double>(window)) + count;
    target.at = now;
}

double organisation_fairness::shareOf(double requests) const
{
    return !m_limited || requests <= m_fairRequests ? 1.0 : std::max(m_leastShare, m_fairRequests / requests);
}

double organisation_fairness::sentShare(std::string_view organisation) const
{
    const auto found = m_organisations.find(organisation);
    return found == m_organisations.end() ? 1.0 : shareOf(found->second.requests.value);
}

bool organisation_fairness::admit(std::string_view organisation, time_point now)
{
    if (now - m_updatedAt >= m_settings.window / updatesPerWindow) {
        update(now);
    }
    auto found = m_organisations.find(organisation);
    if (found == m_organisations.end()) {
        found = m_organisations.emplace(std::string(organisation), organisation_state()).first;
    }
    auto &state = found->second;
    add(state.requests, 1, m_settings.window, now);
    // The credit spreads the refusals of an organisation evenly over its requests.
    state.credit += shareOf(state.requests.value);
    if (state.credit < 1) {
        return false;
    }
    state.credit -= 1;
    add(m_sent, 1, m_settings.window, now);
    return true;
}

void organisation_fairness::ended(bool overloaded, time_point now)
{
    add(overloaded ? m_overloaded : m_served, 1, m_settings.window, now);
    add(overloaded ? m_recentlyOverloaded : m_recentlyServed, 1, m_settings.overloadMemory, now);
}

bool organisation_fairness::limitHelps(time_point now)
{
    if (now < m_releasedUntil) {
        return false;
    }
    if (!m_limited) {
        m_limitedSince = now;
        m_servedAtStart = m_recentlyServed.value;
    } else if (m_recentlyServed.value < m_servedAtStart * leastServedShare) {
        // Either the capacity has become smaller, which one window without a limit shows, or the refusals do not depend on what is sent.
        m_releasedUntil = now + m_releaseTime;
        m_releaseTime = std::min(m_releaseTime * 2, m_settings.overloadMemory * maxReleasePerMemory);
        return false;
    } else if (now - m_limitedSince >= m_settings.overloadMemory * 2) {
        m_releaseTime = m_settings.window;
    }
    m_servedAtStart = std::max(m_servedAtStart, m_recentlyServed.value); // The average may not be complete when the limit begins.
    return true;
}

void organisation_fairness::update(time_point now)
{
    m_updatedAt = now;
    std::vector<double> requests;
    requests.reserve(m_organisations.size());
    double total = 0;
    for (auto entry = m_organisations.begin(); entry != m_organisations.end();) {
        auto &count = entry->second.requests;
        add(count, 0, m_settings.window, now);
        if (count.value < forgottenRequests) {
            entry = m_organisations.erase(entry);
            continue;
        }
        requests.push_back(count.value);
        total += count.value;
        ++entry;
    }
    for (auto *count : {&m_sent, &m_served, &m_overloaded}) {
        add(*count, 0, m_settings.window, now);
    }
    const double ends = m_served.value + m_overloaded.value;
    const double capacity = ends > 0 ? m_sent.value * (m_served.value / ends) + m_settings.headroom * total : total;
    for (auto *count : {&m_recentlyServed, &m_recentlyOverloaded}) {
        add(*count, 0, m_settings.overloadMemory, now);
    }
    const bool overloaded = m_recentlyOverloaded.value > m_settings.overloadShare * (m_recentlyServed.value + m_recentlyOverloaded.value);
    m_limited = overloaded && capacity < total && limitHelps(now);
    if (!m_limited) {
        return;
    }
    m_leastShare = m_settings.minShare * capacity / total;
    // What is sent grows with the fair number of requests.
    double low = 0;
    double high = total;
    for (int step = 0; step < searchSteps; ++step) {
        m_fairRequests = (low + high) / 2;
        double sent = 0;
        for (const auto each : requests) {
            sent += each * shareOf(each);
        }
        (sent > capacity ? high : low) = m_fairRequests;
    }
}

} // namespace orioledrum
