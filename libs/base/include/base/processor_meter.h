#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// Measures which share of its processor capacity this process has used recently. Not thread-safe.
class processor_meter
{
public:
    /// Shortest time over which the use is measured; shorter ones show single bursts.
    static constexpr std::chrono::milliseconds minInterval{1000};

    /// @param millicores Thousandths of a processor that the process may use, greater than 0.
    explicit processor_meter(std::uint32_t millicores);

    /// Takes a sample.
    /// @param used Processor time of the process since its start.
    void sample(std::chrono::nanoseconds used, time_point now);

    /// @return Percentage of the capacity that was used between the latest samples that lie minInterval apart; 0 before them.
    [[nodiscard]] std::uint32_t usedPercent() const { return m_usedPercent; }

    /// @return Processor time of this process since its start.
    [[nodiscard]] static std::chrono::nanoseconds processTime();

private:
    std::uint32_t m_millicores;
    std::chrono::nanoseconds m_lastUsed{0};
    time_point m_lastAt;
    bool m_sampled = false;
    std::uint32_t m_usedPercent = 0;
};

} // namespace orioledrum
