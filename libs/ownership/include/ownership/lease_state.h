#pragma once

#include <base/monotonic_clock.h>

#include <atomic>

namespace orioledrum
{

/// State of the lease of one group, shared with request threads. Written by the control thread; any thread may call revoke().
class lease_state
{
public:
    /// @param inOtherZone Whether the group is in another zone than this host.
    explicit lease_state(bool inOtherZone)
        : m_inOtherZone(inOtherZone)
    {
    }

    /// Sets the end of the lease. @param end Time by this host's clock.
    void extend(time_point end);
    /// Sets the time until which the votes of the group's zone rule out an isolated holder, that is a holder of an isolated
    /// lease, in that zone.
    void setZoneVotesUntil(time_point end);
    /// Sets the start of the wait after which the group's zone can no longer have an isolated holder. For a group of another
    /// zone it is the time of the last message from a host of that zone, for a group of this host's zone the start of the current
    /// period of contact with other zones or the platform. A pause of this process restarts both.
    /// @param start The epoch when the group is in this host's zone and that zone never uses the isolated mode.
    void setIsolationWaitStart(time_point start);
    /// Ends the lease immediately for all threads. lease_holder can extend it again when the next grant arrives.
    void revoke();

    /// @return The end of the lease; the epoch when none is held.
    [[nodiscard]] time_point expiry() const;
    /// @return Whether the group is in another zone than this host.
    [[nodiscard]] bool inOtherZone() const { return m_inOtherZone; }
    /// @return The time until which the zone's votes rule out an isolated holder.
    [[nodiscard]] time_point zoneVotesUntil() const;
    /// @return The value set by setIsolationWaitStart().
    [[nodiscard]] time_point isolationWaitStart() const;

private:
    const bool m_inOtherZone;
    std::atomic<monotonic_clock::rep> m_expiry{0};
    std::atomic<monotonic_clock::rep> m_zoneVotesUntil{0};
    std::atomic<monotonic_clock::rep> m_isolationWaitStart{0};
};

} // namespace orioledrum
