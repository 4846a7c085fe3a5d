#pragma once

#include <search/latency_histogram.h>

#include <chrono>

namespace orioledrum
{

/// Times of recent calls of one kind of request, over all backend servers. Not thread-safe.
class latency_profile
{
public:
    /// Samples before which the profile says nothing.
    static constexpr std::uint32_t samplesNeeded = 40;
    /// Count at which old samples are halved: some seconds at the usual rates, so that a change of load shows.
    static constexpr std::uint32_t halveAt = 2048;

    /// @param initial Time that is assumed before there are enough samples.
    explicit latency_profile(std::chrono::microseconds initial);

    void record(std::chrono::microseconds latency);

    /// @return The time of a call that did not wait in a queue.
    [[nodiscard]] std::chrono::microseconds usual() const;

    /// @return Time within which this share of calls was answered.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;

private:
    void refresh() const;

    latency_histogram m_histogram{halveAt};
    mutable std::chrono::microseconds m_usual;
    mutable std::chrono::microseconds m_slow;
    mutable std::uint32_t m_stale = 0; // Samples since the cached quantiles were computed.
    mutable double m_slowShare = 0;
};

} // namespace orioledrum
