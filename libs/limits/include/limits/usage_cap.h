#pragma once

#include <limits/usage_cap_limits.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace orioledrum
{

/// Cap on the requests of one organisation over all hosts together, and how the bound on it is divided. In any window at most
/// (rate * window + burst) * (1 + overshoot) + slack requests may run. The owner of the organisation hands out rate and burst; what is
/// left of the bound covers the lifetime of tokens and the reserve of zones and hosts that do not reach the owner.
struct usage_cap {
    std::string organisation; ///< Name.
    double requestsPerSecond = 0; ///< Greater than 0.
    double burst = 0;
    usage_cap_limits limits;

    /// Longest time from the request for a token to its use.
    static constexpr std::chrono::milliseconds maxTokenLife{1000};
    /// Part of the excess that the lifetime of tokens may use; the rest is the reserve.
    static constexpr double maxTokenLifeShare = 0.5;
    /// Part of the reserve that the zones hand out. It counts twice, because two hosts of a zone may take themselves for the one that does
    /// so.
    static constexpr double zoneReserveShare = 0.25;
    /// Part of the reserve that is divided among single hosts.
    static constexpr double hostReserveShare = 0.3;
    /// Part of the reserve by which the owner's bucket is deeper than the burst. Without it, an organisation with a burst below 1 lost
    /// requests to the times of messages.
    static constexpr double depthReserveShare = 0.2;

    /// @return Requests in a window beyond those that the cap allows.
    [[nodiscard]] double excess() const
    {
        const auto window = std::chrono::duration<double>(limits.window).count();
        return (requestsPerSecond * window + burst) * limits.overshoot + limits.slack;
    }

    /// @return Time from the request for a token after which it must not be used.
    [[nodiscard]] std::chrono::microseconds tokenLife() const
    {
        const auto life = std::chrono::duration<double>(excess() * maxTokenLifeShare / requestsPerSecond);
        const auto longest = std::chrono::duration<double>(maxTokenLife);
        return std::chrono::duration_cast<std::chrono::microseconds>(std::min(life, longest));
    }

    /// @return Requests in a window that the owner does not hand out.
    [[nodiscard]] double reserve() const { return excess() - requestsPerSecond * std::chrono::duration<double>(tokenLife()).count(); }

    /// @return Tokens that the owner's bucket holds at most.
    [[nodiscard]] double depth() const { return std::max(1.0, burst + reserve() * depthReserveShare); }
};

} // namespace orioledrum
