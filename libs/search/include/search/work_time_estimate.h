#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace orioledrum
{

/// Estimate of how long work takes at one backend server, from the percentages that it reports. Not thread-safe.
///
/// The figure changes many times a second, and work is slow for spells of about spellLength. A figure therefore says nothing about the
/// present once it is older than such a spell; what remains is the mean over many spells.
class work_time_estimate
{
public:
    /// Typical length of a spell in which work takes longer, as observed on deployments whose backend servers report the figure. The weight
    /// of a figure falls linearly to 0 within this age: a spell that is met at a random moment has ended by then.
    static constexpr std::chrono::milliseconds spellLength{600};
    /// Half-life of the figures in the mean: 50 spells, so that the mean of a host with little traffic is not that of the latest spell.
    static constexpr std::chrono::seconds meanHalfLife{30};
    /// Most figures that the mean holds. Four figures of 100% then bring a backend server back that was 4 times slower, and one spell of
    /// 250% changes the mean to 116%.
    static constexpr double maxCount = 3;
    /// Number of figures of 100% that the mean starts with, so that one figure of a host with little traffic does not decide it.
    static constexpr double priorCount = 3;

    /// Records a figure.
    /// @param percent 100: as usual. Figures below 25 and above 1600 count as these.
    /// @param lasting False when it says nothing about later, as during a cold start: it is then left out of the mean.
    void reported(std::uint32_t percent, bool lasting, time_point now);

    /// @return Time that work takes as a multiple of the usual time; 1 without any report.
    [[nodiscard]] double factor(time_point now) const;

private:
    // Share that the sums still have after the time since m_meanAt.
    [[nodiscard]] double meanWeight(time_point now) const;

    double m_latest = 0; // Base-2 logarithm, like the sum.
    std::optional<time_point> m_latestAt; // Empty before the first figure.
    double m_sum = 0;
    double m_count = 0; // Weight of the figures in the sum.
    time_point m_meanAt; // Latest figure in the sums.
};

} // namespace orioledrum
