#include <search/latency_profile.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

/// Quantile that is taken as the latency of a call that does not wait in a queue.
constexpr double unqueuedQuantile = 0.35;
constexpr std::uint32_t refreshInterval = 16; // Samples between two refreshes; a quantile scans all buckets.

} // namespace

latency_profile::latency_profile(std::chrono::microseconds initial)
    : m_initial(initial)
    , m_unqueued(initial)
    , m_quantile(initial * 3)
{
}

void latency_profile::record(std::chrono::microseconds latency, time_point now)
{
    if (now - m_lastSampleAt > maxSampleAge && m_unqueued > m_initial) {
        *this = latency_profile(m_initial); // The old samples would bring the old estimate back.
    }
    m_lastSampleAt = now;
    m_histogram.record(latency);
    if (++m_samplesSinceRefresh >= refreshInterval) {
        refresh();
    }
}

void latency_profile::refresh() const
{
    m_samplesSinceRefresh = 0;
    if (m_histogram.samples() < minSamples) {
        return;
    }
    m_unqueued = m_histogram.quantile(unqueuedQuantile);
    if (m_quantileShare > 0) {
        m_quantile = m_histogram.quantile(m_quantileShare);
    }
}

std::chrono::microseconds latency_profile::unqueuedLatency(time_point now) const
{
    return now - m_lastSampleAt > maxSampleAge ? std::min(m_unqueued, m_initial) : m_unqueued;
}

std::chrono::microseconds latency_profile::quantile(double share) const
{
    if (share != m_quantileShare) {
        m_quantileShare = share;
        refresh();
    }
    return m_quantile;
}

} // namespace orioledrum
