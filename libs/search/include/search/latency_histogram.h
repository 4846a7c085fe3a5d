#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// Histogram of latencies with logarithmic buckets (8 per power of two, error at most 12.5%) whose counts are halved
/// whenever their sum reaches a bound, so that old samples lose weight. Not thread-safe.
class latency_histogram
{
public:
    /// @param halveAt Sum of counts at which all counts are halved.
    explicit latency_histogram(std::uint32_t halveAt = 16384);

    /// Adds one sample.
    void record(std::chrono::microseconds latency);

    /// @param quantile Between 0 and 1.
    /// @return Upper bound of the bucket that holds the quantile; 0 without samples.
    [[nodiscard]] std::chrono::microseconds quantile(double quantile) const;

    /// @return Sum of the counts now held.
    [[nodiscard]] std::uint32_t samples() const { return m_total; }

private:
    static constexpr std::size_t subBuckets = 8;
    static constexpr std::size_t bucketCount = 30 * subBuckets; // Up to 2^32 microseconds.

    std::array<std::uint32_t, bucketCount> m_counts{};
    std::uint32_t m_total = 0;
    std::uint32_t m_halveAt;
};

} // namespace orioledrum
