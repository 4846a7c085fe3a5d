#pragma once

#include <ownership/host_list_view.h>
#include <ownership/lease_timing.h>

#include <unordered_map>

namespace orioledrum
{

/// Tracks which hosts this host receives messages from, in order to decide whether a quorum is reachable and whether this
/// host's zone is cut off from all other zones.
class connectivity_tracker
{
public:
    /// @param self This host. @param zone Availability zone of this host. @param start When the process started.
    connectivity_tracker(entry_host_id self, zone_id zone, const lease_timing &timing, time_point start);

    /// Records a message from an entry host. A host that is not in the host list counts as a host of another zone.
    /// @param now Time of receipt.
    void recordPeerMessage(const entry_host_id &host, time_point now);
    /// @return Whether a message from the host arrived within lease_timing::reachableTimeout. False for this host itself.
    [[nodiscard]] bool isReachable(const entry_host_id &host, time_point now) const;
    /// Records an answer of the platform. @param now Time of receipt.
    void recordPlatformAnswer(time_point now);
    /// Restarts all timers. Used after a pause of this process, because messages missing during the pause do not indicate a partition.
    void resetTimers(time_point now);
    /// Replaces the host list and restarts all timers.
    void setHostList(const host_list_view &hosts, time_point now);
    /// Updates the time at which a quorum was last reachable, in fleets of at most maxVoters hosts.
    void tick(time_point now);

    /// @return Whether this host's zone counts as cut off: neither a host of another zone nor the platform has sent a message for
    /// lease_timing::isolatedAfter. False when all listed hosts are in this host's zone.
    [[nodiscard]] bool isolated(time_point now) const;
    /// @return The start of the current period of contact with other zones or the platform, in which no gap was as long as
    /// lease_timing::externalContactGap.
    [[nodiscard]] time_point externalContactSince() const { return m_externalContactSince; }
    /// @return Whether reachableHosts() is a majority of the host list.
    [[nodiscard]] bool reachesQuorum(time_point now) const;
    /// Decides whether fixed shares may be used: this host is listed, there are at least two hosts, every host is a voter, no
    /// quorum has been reachable for lease_timing::sharesAfter, and all other hosts together are fewer than a quorum. It is not
    /// enough that the unreachable hosts are fewer than a quorum: a reachable host that has restarted, or that learns before
    /// this host that the partition has ended, would complete their quorum while this host still uses shares.
    /// @return Whether all conditions are met.
    [[nodiscard]] bool sharesAllowed(time_point now) const;
    /// @return The number of listed hosts that sent a message within lease_timing::reachableTimeout, plus this host if listed.
    [[nodiscard]] std::size_t reachableHosts(time_point now) const;

private:
    void recordExternalContact(time_point now);

    entry_host_id m_self;
    zone_id m_zone;
    lease_timing m_timing;
    host_list_view m_hostList;
    bool m_hasOtherZones = false;
    std::unordered_map<entry_host_id, time_point> m_lastMessageTimes;
    time_point m_lastExternalContact;
    time_point m_externalContactSince;
    time_point m_quorumLastReachable;
};

} // namespace orioledrum
