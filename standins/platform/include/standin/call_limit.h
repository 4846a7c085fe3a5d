#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace orioledrum::standin
{

/// Rate limiter with a sliding window of one second. Also counts calls and refused calls, and keeps the peak rate.
class call_rate_limiter
{
public:
    using clock = std::chrono::steady_clock;

    /// @param maxPerSecond 0 for no limit.
    explicit call_rate_limiter(std::uint64_t maxPerSecond);

    /// @param maxPerSecond 0 for no limit.
    void setLimit(std::uint64_t maxPerSecond) { m_maxPerSecond = maxPerSecond; }

    /// Counts a call and decides whether it is within the limit.
    /// @param now Must not be earlier than in previous calls.
    /// @return False when the limit is reached and the call must be refused.
    bool admit(clock::time_point now);

    [[nodiscard]] std::uint64_t limit() const { return m_maxPerSecond; }
    [[nodiscard]] std::uint64_t calls() const { return m_calls; } ///< Including refused calls.
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

    /// @return Largest number of calls within one second, including refused calls.
    [[nodiscard]] std::uint64_t peakPerSecond() const { return m_peakPerSecond; }

private:
    std::uint64_t m_maxPerSecond;
    std::deque<clock::time_point> m_recentCalls;
    std::deque<clock::time_point> m_recentAdmittedCalls;
    std::uint64_t m_calls = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_peakPerSecond = 0;
};

} // namespace orioledrum::standin
