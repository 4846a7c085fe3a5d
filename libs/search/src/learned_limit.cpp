#include <search/learned_limit.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

namespace
{

/// Bounds of one latency relative to the expected one; the same as for one sample of the slowness in replica.cpp.
constexpr double minSample = 0.25;
constexpr double maxSample = 16;
/// Answers at the limit that a window needs before they change it. A spell of 0.6 s is at most 2 of them, and median() takes the upper one
/// of the two in the middle.
constexpr std::size_t minLoadedSamples = 4;
/// The limit falls when the answers at it show less than this share of it, and rises when they show more than the other share. Between
/// them it stays, so that it does not swing.
constexpr double fallShare = 0.75;
constexpr double riseAboveShare = 0.9;
/// Share of the limit above which a load counts as at the limit.
constexpr double loadedShare = 0.9;
/// Weight of a window in the usual latency at low load: the past of about ten windows.
constexpr double lightWeight = 0.1;
/// Weight of an answer in the slowness of a slow backend server.
constexpr double slownessWeight = 0.3;
/// Least time between two reductions for refusals: those of one queue arrive together.
constexpr std::chrono::milliseconds refusalInterval{250};
/// Reduction of the limit by a refusal, as a share of the load that was refused.
constexpr double refusalShare = 0.8;

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void learned_limit::sample_list::add(double value, time_point now)
{
    if (values.empty() || now - latestAt >= sampleInterval) {
        values.push_back(value);
        latestAt = now;
    }
}

void learned_limit::answered(const answer &result, std::uint32_t slots, time_point now)
{
    const double pace = std::log2(std::clamp(result.latency / result.queueFactor, minSample, maxSample));
    if (slow()) {
        judgeSlow(pace, now);
        return;
    }
    if (!m_paces.values.empty() && now - m_windowStart > maxWindow) {
        clearWindow(); // Too little traffic to tell noise from slowness.
        m_slowSamples = 0;
        m_previousSamples = 0;
    }
    if (m_paces.values.empty()) {
        m_windowStart = now;
    }
    addSamples(result, pace, slots, now);
    if (m_paces.values.size() >= minSamples && now - m_windowStart >= minWindow) {
        closeWindow(slots, now);
    }
}

void learned_limit::addSamples(const answer &result, double pace, std::uint32_t slots, time_point now)
{
    m_paces.add(pace, now);
    const double latency = std::log2(std::clamp(result.latency, minSample, maxSample));
    const double current = limit(slots, now);
    if (result.load == 0) {
        return;
    }
    if (result.load <= std::max(1.0, current / 2)) {
        m_lightLatencies.add(latency, now);
    } else if (result.load >= current * loadedShare && (result.loadReported || m_lightLatency)) {
        // A backend server that runs n calls in r times the time of one handles n / r of them at a time. Without a report the load of other
        // hosts is unknown, and only the own past tells what is long.
        const double reference = std::max(0.0, m_lightLatency.value_or(0));
        m_capacities.add(result.load / std::max(1.0, std::exp2(latency - reference)), now);
    }
}

void learned_limit::clearWindow()
{
    m_paces.values.clear();
    m_lightLatencies.values.clear();
    m_capacities.values.clear();
}

void learned_limit::closeWindow(std::uint32_t slots, time_point now)
{
    m_pace = median(m_paces.values);
    m_paceUntil = now + maxWindow;
    learnLimit(slots, now);
    const double relative = m_usualPace ? m_pace - std::log2(*m_usualPace) : 0;
    m_slowSamples = relative >= std::log2(slowThreshold) ? m_slowSamples + m_paces.values.size() : 0;
    const auto previousSamples = std::exchange(m_previousSamples, m_paces.values.size());
    clearWindow();
    if (m_slowSamples >= samplesToSlow || (m_slowSamples > 0 && previousSamples >= samplesToSlow)) {
        m_slowSamples = 0;
        m_slowness = relative;
        m_goodProbes = 0;
        m_probeInterval = minProbeInterval;
        m_nextProbeAt = now + m_probeInterval;
        m_callsToProbe = callsPerProbe;
        m_passedBy = 0;
    }
}

void learned_limit::learnLimit(std::uint32_t slots, time_point now)
{
    if (!m_lightLatencies.values.empty()) {
        const double latency = median(m_lightLatencies.values);
        m_lightLatency = m_lightLatency ? *m_lightLatency + (latency - *m_lightLatency) * lightWeight : latency;
    }
    if (m_capacities.values.size() < minLoadedSamples) {
        return;
    }
    const double current = limit(slots, now);
    const double capacity = median(m_capacities.values);
    if (capacity < current * fallShare) {
        setLimit(std::max(minLimit, (current + capacity) / 2), now);
    } else if (capacity >= current * riseAboveShare && m_limit) {
        setLimit(current + riseStep * slots, now);
    }
}

void learned_limit::judgeSlow(double pace, time_point now)
{
    const double relative = pace - std::log2(m_usualPace.value_or(1));
    if (relative >= std::log2(slowThreshold)) {
        m_slowness += (relative - m_slowness) * slownessWeight;
        m_goodProbes = 0;
        m_probeInterval = std::min(maxProbeInterval, m_probeInterval * 2);
        m_nextProbeAt = now + m_probeInterval;
        m_callsToProbe = callsPerProbe;
        return;
    }
    if (++m_goodProbes < probesToRecover) {
        m_nextProbeAt = now;
        m_callsToProbe = 0;
        return;
    }
    m_slowness = 0;
    clearWindow();
}

void learned_limit::refused(std::uint32_t load, std::uint32_t slots, time_point now)
{
    const double current = limit(slots, now);
    if (m_limit && now - m_limitAt < refusalInterval) {
        return;
    }
    const double taken = std::max(minLimit, load * refusalShare);
    if (taken < current) {
        setLimit(taken, now);
    }
}

void learned_limit::setLimit(double limit, time_point now)
{
    m_limit = limit;
    m_limitAt = now;
}

double learned_limit::limit(std::uint32_t slots, time_point now) const
{
    const double most = std::max(1U, slots);
    if (!m_limit) {
        return most;
    }
    const double rising = std::max(0.0, std::chrono::duration<double>(now - m_limitAt - holdTime).count());
    return std::clamp(*m_limit + rising * riseShare * most, minLimit, most);
}

std::optional<double> learned_limit::pace(time_point now) const
{
    return now < m_paceUntil ? std::optional(std::exp2(m_pace)) : std::nullopt;
}

void learned_limit::probeSent(time_point now)
{
    m_passedBy = 0;
    m_nextProbeAt = now + m_probeInterval;
}

} // namespace orioledrum
