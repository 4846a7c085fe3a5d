#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// Histogram of latencies with logarithmic buckets (8 per power of two, error at most 12.5%). All counts are halved
/// whenever their sum reaches a threshold, so that old samples lose weight. Not thread-safe.
class latency_histogram
{
public:
    /// @param halvingThreshold Sum of the counts at which all counts are halved; at least 2.
    explicit latency_histogram(std::uint32_t halvingThreshold = 16384);

    /// Adds one sample; a negative latency counts as 0, and one of 2^32 microseconds or more falls into the last bucket.
    void record(std::chrono::microseconds latency);

    /// @param quantile Between 0 and 1.
    /// @return Upper bound of the bucket that contains the quantile; 0 when there are no samples.
    [[nodiscard]] std::chrono::microseconds quantile(double quantile) const;

    /// @return Sum of the counts after halving, not the number of samples ever recorded.
    [[nodiscard]] std::uint32_t samples() const { return m_total; }

private:
    static constexpr std::size_t subBuckets = 8;
    static constexpr std::size_t bucketCount = 30 * subBuckets; // Up to 2^32 microseconds.

    std::array<std::uint32_t, bucketCount> m_counts{};
    std::uint32_t m_total = 0;
    std::uint32_t m_halvingThreshold;
};

} // namespace orioledrum
