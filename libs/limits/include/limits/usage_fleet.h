#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <limits/limit_share.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

enum class usage_host_state : std::uint8_t {
    live,
    leaving,
    lost, ///< Without a heartbeat for some time; it may go on behind a partition.
};

/// An entry host that shares the caps of organisations.
struct usage_host {
    entry_host_id id;
    std::string address; ///< "ip:port" for traffic between entry hosts.
    zone_id zone;
    usage_host_state state = usage_host_state::live;
    bool firstRun = false; ///< No host remembers an earlier run of its process.

    bool operator==(const usage_host &) const = default;
};

/// Times in which the hosts notice changes of the fleet, from the settings of membership.
struct usage_fleet_times {
    std::chrono::milliseconds notice{4000}; ///< By which the views of two hosts on one change may differ.
    std::chrono::milliseconds establish{
        9000}; ///< For which a host must be live until it counts as such: detection of a loss plus `notice`.
};

/// Where the tokens of one organisation are handed out, as this host sees it.
struct usage_place {
    std::optional<usage_host> owner; ///< First live host in rank.
    std::optional<usage_host> zoneOwner; ///< First live host in rank of this host's zone.
    bool ownerIsSelf = false;
    bool zoneOwnerIsSelf = false;
    /// When this host owns the organisation: the time from which no earlier owner can act, unless it has confirmed earlier that it stopped.
    time_point certainFrom;
    /// The host that owned the organisation before, if it can be asked whether it has stopped.
    std::optional<usage_host> earlierOwner;
    limit_share share; ///< Position of this host among all known ones.
};

/// Ranks the hosts for each organisation by rendezvous hashing. Hosts with the same view of the fleet find the same owner. Used by one
/// thread.
class usage_fleet
{
public:
    /// Time for which a number of hosts that was heard counts: as long as membership counts lost hosts.
    static constexpr std::chrono::minutes heardHostsLife{2};

    usage_fleet(entry_host_id self, zone_id zone);

    /// Sets the known hosts, this one included. Hosts that were lost stay in the list as long as membership counts them.
    /// @param settled False while this host may not know the fleet.
    void update(std::vector<usage_host> hosts, bool settled, usage_fleet_times times, time_point now);

    /// Takes over how many hosts another host knows. A host that starts on one side of a partition hears of the other side only so.
    void hearOfHosts(std::size_t knownHosts, time_point now);

    /// Forgets since when hosts are known, after a pause of the process: others may have taken its organisations over.
    void restart(time_point now);

    /// @return The place of an organisation; valid until the next update() or restart().
    [[nodiscard]] const usage_place &placeOf(const std::string &organisation) const;

    /// @return The share of the known hosts that have not been lost for long enough to be sure of it, this one included; greater than 0. A
    /// part of the fleet behind a partition hands out this share of a cap. While all known hosts have started together, no earlier owner
    /// can count them as its own, and all of them count at once.
    [[nodiscard]] double establishedShare(time_point now) const;
    /// @return A time since which establishedShare() has not risen.
    [[nodiscard]] time_point establishedSince(time_point now) const;
    /// @return The share of the known hosts that are not lost by the latest heartbeats, this one included.
    [[nodiscard]] double liveShare() const;

    [[nodiscard]] bool settled() const { return m_settledAt.has_value(); }
    [[nodiscard]] time_point settledAt() const { return m_settledAt.value_or(time_point::max()); }
    [[nodiscard]] const usage_fleet_times &times() const { return m_times; }
    [[nodiscard]] std::size_t zoneCount() const { return m_zoneCount; }
    [[nodiscard]] const entry_host_id &self() const { return m_self; }

private:
    struct known_host {
        usage_host host;
        time_point liveSince; ///< First known, or no longer lost.
        time_point changedAt; ///< Time of the latest change of its state.
    };

    /// @return True shortly after a start of all known hosts, as long as none of them was lost.
    [[nodiscard]] bool startedTogether(time_point now) const;
    /// @return The number of hosts among which a cap is divided.
    [[nodiscard]] std::size_t hostCount() const { return std::max({std::size_t{1}, m_hosts.size(), m_heardHosts}); }
    [[nodiscard]] usage_place findPlace(const std::string &organisation) const;
    /// @return The hosts in rank for the organisation.
    [[nodiscard]] const std::vector<const known_host *> &rankingFor(const std::string &organisation) const;

    entry_host_id m_self;
    zone_id m_zone;
    usage_fleet_times m_times;
    std::map<entry_host_id, known_host> m_hosts;
    std::optional<time_point> m_settledAt;
    std::optional<time_point> m_firstSettledAt; ///< When the fleet was settled for the first time.
    bool m_allInFirstRun = true; ///< All hosts that have been known are in their first run, and none was lost. False after a pause.
    std::size_t m_zoneCount = 1;
    std::size_t m_heardHosts = 0; ///< Greatest number that another host knew.
    time_point m_heardAt;
    time_point m_countChangedAt; ///< Time of the latest change of hostCount().
    mutable std::unordered_map<std::string, usage_place> m_places;
    /// Kept until hosts become known or are removed. Hashing 300 hosts for each organisation after each change of a state took most of the
    /// time of a simulation.
    mutable std::unordered_map<std::string, std::vector<const known_host *>> m_rankings;
};

} // namespace orioledrum
