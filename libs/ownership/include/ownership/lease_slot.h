#pragma once

#include <base/monotonic_clock.h>

#include <atomic>

namespace orioledrum
{

/// What request threads need to know about the lease of one group. Written by the control thread.
class lease_slot
{
public:
    /// @param foreign Whether the group is in another zone than this host.
    explicit lease_slot(bool foreign)
        : m_foreign(foreign)
    {
    }

    /// Sets the end of the lease. @param end Time by this host's clock.
    void extend(time_point end);
    /// Sets the time up to which the votes of the group's zone exclude an isolated holder there. @param end Time.
    void setZoneVotesUntil(time_point end);
    /// Notes that a host of the group's zone was heard from. @param at Time of receipt.
    void setZoneHeard(time_point at);
    /// Ends the lease at once for all threads.
    void revoke();

    /// @return The end of the lease; the epoch when none is held.
    [[nodiscard]] time_point expiry() const;
    /// @return Whether the group is in another zone.
    [[nodiscard]] bool foreign() const { return m_foreign; }
    /// @return The end of the time in which the zone's votes exclude an isolated holder.
    [[nodiscard]] time_point zoneVotesUntil() const;
    /// @return When a host of the group's zone was last heard from.
    [[nodiscard]] time_point zoneHeard() const;

private:
    const bool m_foreign;
    std::atomic<monotonic_clock::rep> m_expiry{0};
    std::atomic<monotonic_clock::rep> m_zoneVotesUntil{0};
    std::atomic<monotonic_clock::rep> m_zoneHeard{0};
};

} // namespace orioledrum
