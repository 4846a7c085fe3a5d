#include <search/latency_histogram.h>

#include <algorithm>
#include <bit>

namespace orioledrum
{

namespace
{

constexpr std::uint64_t subBucketBits = 3;
constexpr std::uint64_t subBucketCount = 1U << subBucketBits;

std::size_t bucketIndex(std::uint64_t micros)
{
    if (micros < subBucketCount) {
        return static_cast<std::size_t>(micros);
    }
    const auto shift = static_cast<std::uint64_t>(std::bit_width(micros)) - subBucketBits - 1;
    return static_cast<std::size_t>((shift + 1) * subBucketCount + ((micros >> shift) - subBucketCount));
}

// Returns the greatest value, in microseconds, that falls into the bucket.
std::uint64_t bucketUpperBound(std::size_t bucket)
{
    if (bucket < subBucketCount) {
        return bucket;
    }
    const auto shift = bucket / subBucketCount - 1;
    return ((bucket % subBucketCount + subBucketCount + 1) << shift) - 1;
}

} // namespace

latency_histogram::latency_histogram(std::uint32_t halvingThreshold)
    : m_halvingThreshold(std::max<std::uint32_t>(halvingThreshold, 2))
{
}

void latency_histogram::record(std::chrono::microseconds latency)
{
    const auto micros = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    ++m_counts[std::min(bucketIndex(micros), bucketCount - 1)];
    if (++m_total < m_halvingThreshold) {
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
    const auto targetCount = std::min<double>(std::clamp(quantile, 0.0, 1.0) * m_total, m_total);
    double cumulativeCount = 0;
    std::size_t lastBucket = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (m_counts[bucket] == 0) {
            continue;
        }
        lastBucket = bucket;
        cumulativeCount += m_counts[bucket];
        if (cumulativeCount >= targetCount) {
            break;
        }
    }
    return std::chrono::microseconds{bucketUpperBound(lastBucket)};
}

} // namespace orioledrum
