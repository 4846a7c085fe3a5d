#include <search/work_time_estimate.h>

#include <algorithm>
#include <cmath>

namespace orioledrum
{

namespace
{

/// Bounds of a figure, in percent; the same as for one sample of the slowness in replica.cpp.
constexpr std::uint32_t minPercent = 25;
constexpr std::uint32_t maxPercent = 1600;

} // namespace

void work_time_estimate::reported(std::uint32_t percent, bool lasting, time_point now)
{
    m_latest = std::log2(std::clamp(percent, minPercent, maxPercent) / 100.0);
    m_latestAt = now;
    // One figure for each spell; more of them would count a single spell many times.
    if (lasting && (m_count == 0 || now - m_meanAt >= spellLength)) {
        const double weight = std::min(meanWeight(now), m_count > 0 ? (maxCount - 1) / m_count : 1);
        m_sum = m_sum * weight + m_latest;
        m_count = m_count * weight + 1;
        m_meanAt = now;
    }
}

double work_time_estimate::factor(time_point now) const
{
    if (!m_latestAt) {
        return 1;
    }
    const double weight = meanWeight(now);
    const double mean = m_sum * weight / (m_count * weight + priorCount);
    const double age = std::chrono::duration<double>(now - *m_latestAt).count();
    const double latestWeight = std::clamp(1 - age / std::chrono::duration<double>(spellLength).count(), 0.0, 1.0);
    return std::exp2(mean + (m_latest - mean) * latestWeight);
}

double work_time_estimate::meanWeight(time_point now) const
{
    const double age = std::chrono::duration<double>(now - m_meanAt).count();
    return std::exp2(-age / std::chrono::duration<double>(meanHalfLife).count());
}

} // namespace orioledrum
