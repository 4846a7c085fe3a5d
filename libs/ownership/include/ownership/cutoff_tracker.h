#pragma once

#include <ownership/lease_timing.h>
#include <ownership/roster.h>

#include <unordered_map>

namespace orioledrum
{

/// Judges from the hosts heard from whether a quorum can be reached and whether the zone is cut off from all others.
class cutoff_tracker
{
public:
    /// @param self This host. @param zone Its zone. @param timing Periods. @param start When the process started.
    cutoff_tracker(entry_host_id self, zone_id zone, const lease_timing &timing, time_point start);

    /// Notes a message from an entry host. @param host The host. @param now Time of receipt.
    void heardFrom(const entry_host_id &host, time_point now);
    /// @param host A host of the roster. @param now The time. @return Whether it was heard from within lease_timing::reachable.
    [[nodiscard]] bool isReachable(const entry_host_id &host, time_point now) const;
    /// Notes an answer of the platform. @param now Time of receipt.
    void heardFromPlatform(time_point now);
    /// Starts all waiting times again after a pause, in which silence is no evidence. @param now The time.
    void resetTimers(time_point now);
    /// Takes the hosts of a new roster. @param hosts The roster. @param now The time.
    void setRoster(const roster &hosts, time_point now);
    /// Updates the time at which a quorum was last reachable. @param now The time.
    void tick(time_point now);

    /// @param now The time. @return Whether no host of another zone and not the platform was heard from for isolatedAfter.
    [[nodiscard]] bool isolated(time_point now) const;
    /// @return Since when the outside has been heard from without a gap of externalContactGap.
    [[nodiscard]] time_point externalContactSince() const { return m_externalContactSince; }
    /// @param now The time. @return Whether the hosts reachable now, with this one, are a majority of the roster.
    [[nodiscard]] bool reachesQuorum(time_point now) const;
    /// Judges the conditions for fixed shares: all hosts vote, no quorum could be reached for sharesAfter, and the other hosts
    /// together are fewer than a quorum. It is not enough that the unreachable ones are fewer: a reachable host that has
    /// restarted, or that hears of the end of the cut first, would complete their quorum while this host still uses shares.
    /// @param now The time. @return Whether they hold.
    [[nodiscard]] bool sharesAllowed(time_point now) const;
    /// @param now The time. @return The hosts of the roster heard from within lease_timing::reachable, and this one.
    [[nodiscard]] std::size_t reachableHosts(time_point now) const;

private:
    void recordExternalContact(time_point now);

    entry_host_id m_self;
    zone_id m_zone;
    lease_timing m_timing;
    roster m_roster;
    bool m_hasOtherZones = false;
    std::unordered_map<entry_host_id, time_point> m_lastHeard;
    time_point m_lastExternalContact;
    time_point m_externalContactSince;
    time_point m_quorumLastReachable;
};

} // namespace orioledrum
