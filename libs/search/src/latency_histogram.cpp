#include <search/latency_histogram.h>

#include <algorithm>
#include <bit>

namespace orioledrum
{

namespace
{

constexpr std::uint64_t subBits = 3;
constexpr std::uint64_t subCount = 1U << subBits;

std::size_t bucketOf(std::uint64_t micros)
{
    if (micros < subCount) {
        return static_cast<std::size_t>(micros);
    }
    const auto shift = static_cast<std::uint64_t>(std::bit_width(micros)) - subBits - 1;
    return static_cast<std::size_t>((shift + 1) * subCount + ((micros >> shift) - subCount));
}

std::uint64_t upperBound(std::size_t bucket)
{
    if (bucket < subCount) {
        return bucket;
    }
    const auto shift = bucket / subCount - 1;
    return ((bucket % subCount + subCount + 1) << shift) - 1;
}

} // namespace

latency_histogram::latency_histogram(std::uint32_t halveAt)
    : m_halveAt(std::max<std::uint32_t>(halveAt, 2))
{
}

void latency_histogram::record(std::chrono::microseconds latency)
{
    const auto micros = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    ++m_counts[std::min(bucketOf(micros), bucketCount - 1)];
    if (++m_total < m_halveAt) {
        return;
    }
    m_total = 0;
    for (auto &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

std::chrono::microseconds latency_histogram::quantile(double quantile) const
{
    if (m_total == 0) {
        return std::chrono::microseconds{0};
    }
    const auto wanted = std::min<double>(std::clamp(quantile, 0.0, 1.0) * m_total, m_total);
    double seen = 0;
    std::size_t last = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (m_counts[bucket] == 0) {
            continue;
        }
        last = bucket;
        seen += m_counts[bucket];
        if (seen >= wanted) {
            break;
        }
    }
    return std::chrono::microseconds{upperBound(last)};
}

} // namespace orioledrum
