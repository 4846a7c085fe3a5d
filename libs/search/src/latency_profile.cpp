#include <search/latency_profile.h>

namespace orioledrum
{

namespace
{

/// Quantile taken as the time of a call that did not wait.
constexpr double unqueuedShare = 0.35;
constexpr std::uint32_t refreshAfter = 16; // Samples; a quantile scans all buckets.

} // namespace

latency_profile::latency_profile(std::chrono::microseconds initial)
    : m_usual(initial)
    , m_slow(initial * 3)
{
}

void latency_profile::record(std::chrono::microseconds latency)
{
    m_histogram.record(latency);
    if (++m_stale >= refreshAfter) {
        refresh();
    }
}

void latency_profile::refresh() const
{
    m_stale = 0;
    if (m_histogram.samples() < samplesNeeded) {
        return;
    }
    m_usual = m_histogram.quantile(unqueuedShare);
    if (m_slowShare > 0) {
        m_slow = m_histogram.quantile(m_slowShare);
    }
}

std::chrono::microseconds latency_profile::usual() const
{
    return m_usual;
}

std::chrono::microseconds latency_profile::quantile(double share) const
{
    if (share != m_slowShare) {
        m_slowShare = share;
        refresh();
    }
    return m_slow;
}

} // namespace orioledrum
