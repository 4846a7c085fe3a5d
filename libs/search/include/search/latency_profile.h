#pragma once

#include <base/monotonic_clock.h>
#include <search/latency_histogram.h>

#include <chrono>

namespace orioledrum
{

/// Latency distribution of recent calls of one kind of request, over all backend servers. The returned latencies are updated
/// every 16 samples. Not thread-safe.
class latency_profile
{
public:
    /// Samples needed before measured latencies replace the initial ones.
    static constexpr std::uint32_t minSamples = 40;
    /// Sample count at which all histogram counts are halved. At usual rates this takes some seconds, so that the quantiles
    /// follow a change of load.
    static constexpr std::uint32_t halvingThreshold = 2048;
    /// Age of the latest sample above which an estimate is not trusted if it is higher than the initial one. A host that refuses all
    /// calls of a kind because they took too long gets no samples that could lower the estimate.
    static constexpr std::chrono::milliseconds maxSampleAge{1000};

    /// @param initial Unqueued latency assumed until there are enough samples; all quantiles are assumed to be three times this.
    explicit latency_profile(std::chrono::microseconds initial);

    /// Adds the latency of a successful call.
    void record(std::chrono::microseconds latency, time_point now);

    /// @return Estimated latency of a call that does not wait in a queue: the 35th percentile of recent calls, or the initial one if
    /// that is lower and the latest sample is older than maxSampleAge.
    [[nodiscard]] std::chrono::microseconds unqueuedLatency(time_point now) const;

    /// @return Latency within which the given share of calls is answered.
    ///     The result is cached for the latest share only, so a call with another share scans the histogram.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;

private:
    void refresh() const;

    latency_histogram m_histogram{halvingThreshold};
    std::chrono::microseconds m_initial;
    time_point m_lastSampleAt;
    mutable std::chrono::microseconds m_unqueued;
    mutable std::chrono::microseconds m_quantile;
    mutable std::uint32_t m_samplesSinceRefresh = 0;
    mutable double m_quantileShare = 0;
};

} // namespace orioledrum
