#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace orioledrum::standin
{

/// Counts calls and refuses those above a limit within any period of one second.
class call_limit
{
public:
    using clock = std::chrono::steady_clock;

    /// @param perSecond 0 for no limit.
    explicit call_limit(std::uint64_t perSecond);

    /// @param perSecond 0 for no limit.
    void setLimit(std::uint64_t perSecond) { m_perSecond = perSecond; }

    /// @return False when the call must be refused.
    bool admit(clock::time_point now);

    [[nodiscard]] std::uint64_t limit() const { return m_perSecond; }
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

    /// @return Largest number of calls, refused ones included, within one second.
    [[nodiscard]] std::uint64_t peakPerSecond() const { return m_peak; }

private:
    std::uint64_t m_perSecond;
    std::deque<clock::time_point> m_recent;
    std::deque<clock::time_point> m_recentAdmitted;
    std::uint64_t m_calls = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_peak = 0;
};

} // namespace orioledrum::standin
