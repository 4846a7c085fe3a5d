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
    explicit lease_slot(bool inOtherZone)
        : m_inOtherZone(inOtherZone)
    {
    }

    /// Sets the end of the lease. @param end Time by this host's clock.
    void extend(time_point end);
    /// Sets the time up to which the votes of the group's zone exclude an isolated holder there. @param end Time.
    void setZoneVotesUntil(time_point end);
    /// Sets the start of the wait after which no isolated holder can be left in the group's zone: for a group of another zone
    /// when a host of that zone was last heard from, for one of the own zone since when the outside has been heard from without
    /// a gap. @param from Time; the epoch when the zone never decides alone.
    void setIsolationWaitStart(time_point from);
    /// Ends the lease at once for all threads.
    void revoke();

    /// @return The end of the lease; the epoch when none is held.
    [[nodiscard]] time_point expiry() const;
    /// @return Whether the group is in another zone.
    [[nodiscard]] bool inOtherZone() const { return m_inOtherZone; }
    /// @return The end of the time in which the zone's votes exclude an isolated holder.
    [[nodiscard]] time_point zoneVotesUntil() const;
    /// @return The start of the wait.
    [[nodiscard]] time_point isolationWaitStart() const;

private:
    const bool m_inOtherZone;
    std::atomic<monotonic_clock::rep> m_expiry{0};
    std::atomic<monotonic_clock::rep> m_zoneVotesUntil{0};
    std::atomic<monotonic_clock::rep> m_isolationWaitStart{0};
};

} // namespace orioledrum
