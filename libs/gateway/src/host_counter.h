#pragma once

#include <base/monotonic_clock.h>
#include <limits/slack_division.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace orioledrum
{

/// Decides for how many entry hosts this host divides shared limits, while it may not know all of them. Not thread-safe.
class host_counter
{
public:
    /// Time without a growth of the known hosts by a fifth after which they are taken as complete. In a growth phase of membership,
    /// complete digests are sent every 250 ms.
    static constexpr std::chrono::milliseconds settleTime{1500};
    /// Time after the start after which a host that has heard from no other no longer waits for one.
    static constexpr std::chrono::milliseconds maxSettleTime{4000};
    /// Number of hosts that a host assumes when it knows no other.
    static constexpr std::uint32_t assumedHosts = 10;
    /// Extra calls to a service that a host may make in its first window before it has earned others by requests. Enough for one hedge. An
    /// earlier process of this host may have used its part of the slack in the same window. What requests earn is not limited: they are
    /// counted in the window in which it is used, or saved up within the host's part.
    static constexpr double restartTokens = 2;

    /// @param slack extra_call_limits::slack
    /// @param window gateway_settings::extraCallWindow
    host_counter(time_point startedAt, double slack, std::chrono::milliseconds window);

    /// @param knownHosts Number of known hosts, this host included, also those that were lost a short time ago.
    void update(std::size_t knownHosts, time_point now);

    /// @return True when this host is taken to know all others.
    [[nodiscard]] bool settled() const { return m_settled; }
    /// @return Number of hosts that share limits.
    [[nodiscard]] std::uint32_t hostCount() const;
    /// @return How the slack of extra calls is divided.
    [[nodiscard]] slack_division slackDivision(time_point now) const;

private:
    time_point m_startedAt;
    double m_slack;
    std::chrono::milliseconds m_window;
    std::size_t m_knownHosts = 1;
    std::size_t m_hostsAtGrowth = 1; // Number of known hosts at the latest growth.
    time_point m_growthAt;
    bool m_settled = false;
};

} // namespace orioledrum
