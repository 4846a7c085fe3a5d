#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <base/random_source.h>
#include <search/part_sizing.h>
#include <wire/control_messages.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace orioledrum
{

/// An entry host that can gather shards for other hosts.
struct relay_host {
    std::string address; ///< "ip:port" for traffic between entry hosts.
    zone_id zone;
    host_capacity capacity{};

    /// @return Thousandths of a processor that the host does not use; 0: not known.
    [[nodiscard]] std::uint32_t freeMillicores() const;
};

/// Chooses the entry hosts that gather parts of a search. All hosts choose the same few hosts for a part, so that these keep connections
/// to its backend servers in use; with a random choice every host would call every backend server, mostly on new connections. Not
/// thread-safe.
class relay_selector
{
public:
    /// Backoff after the first failure of a host; doubles with each further failure up to maxBackoff.
    static constexpr std::chrono::milliseconds initialBackoff{500};
    static constexpr std::chrono::milliseconds maxBackoff{4000};
    /// Minimum number of hosts of a zone among which the host for a part is chosen, if the zone has as many.
    static constexpr std::size_t minCandidates = 2;

    /// Number of silent hosts after which a zone is taken to be cut off.
    static constexpr std::uint32_t silentHosts = 2;

    /// @param self Address of this host, "ip:port" for traffic between entry hosts.
    relay_selector(std::string self, random_source random);

    /// Replaces the list of live hosts, which may contain this host. Hosts that stay in the list keep their backoff state.
    void setHosts(const std::vector<relay_host> &hosts);

    /// Chooses a host for a part that is not in backoff: this host if it is a candidate, otherwise the candidate with the fewest
    /// outstanding searches of this host.
    /// @param zones Availability zones to choose from. Each zone that has such a host is equally likely.
    /// @param partNames Names of all parts of the search; all hosts use the same names in the same order. For each part, the hosts of
    ///     a zone are ranked by rendezvous hashing. The first ones are the candidates, so that each host is a candidate for about
    ///     the same number of parts; the next ones replace candidates in backoff.
    /// @param part Position in partNames.
    /// @param used Addresses of hosts that already have a part of this search; chosen only when all candidates have one.
    /// @param strongHostsOnly Only hosts with at least half of the greatest free capacity of their zone are candidates.
    /// @return The host, or nothing when there is none.
    [[nodiscard]] std::optional<relay_host> choose(const std::vector<zone_id> &zones,
                                                   const std::vector<std::string> &partNames,
                                                   std::size_t part,
                                                   time_point now,
                                                   const std::vector<std::string> &used = {},
                                                   bool strongHostsOnly = false);

    /// @return The source of the random choices of choose(). With restore(), a choice can be made without an effect on later ones.
    [[nodiscard]] const random_source &random() const { return m_random; }
    void restore(const random_source &random) { m_random = random; }

    /// @param zones Availability zones of the hosts that may gather.
    /// @return The capacities that part_sizing needs; 0 where a capacity is not known.
    [[nodiscard]] free_capacity freeCapacity(const std::vector<zone_id> &zones) const;

    /// Counts a search that was sent to a host, until ended().
    void sent(const std::string &address);
    /// Counts a sent search as ended.
    void ended(const std::string &address);

    /// Starts the backoff of a host that cannot gather: it could not be reached or reaches no shard of a part. Does nothing while its
    /// backoff is running.
    void failed(const std::string &address, time_point now);
    /// Starts the backoff of a host that did not answer in time. When silentHosts hosts of another zone have not answered and none has
    /// answered in between, all hosts of that zone back off: the zone is probably cut off.
    void silent(const std::string &address, time_point now);
    /// Resets the length of the next backoff of a host that answered; a running backoff continues.
    void answered(const std::string &address);

private:
    struct relay_state {
        zone_id zone;
        std::uint32_t freeMillicores = 0; // 0: not known.
        std::chrono::milliseconds nextBackoff = initialBackoff;
        time_point backoffUntil;
        std::size_t outstanding = 0;
    };
    using relay_entry = std::map<std::string, relay_state>::value_type;

    /// The hosts of a zone in the order in which they are chosen for one part.
    struct part_ranking {
        std::size_t candidateCount = 0; // Number of hosts at the front that are candidates.
        std::size_t strongCount = 0; // The hosts after these are candidates only when none of these is available.
        std::vector<relay_entry *> hosts;
    };

    /// @return The ranking for each part.
    const std::vector<part_ranking> &rankings(const zone_id &zone, const std::vector<std::string> &partNames, bool strongHostsOnly);
    /// @return The candidates for a part that are not in backoff, without those in `used` unless there is no other.
    [[nodiscard]] static std::vector<relay_entry *>
    candidates(const part_ranking &ranking, time_point now, const std::vector<std::string> &used);

    std::string m_self;
    random_source m_random;
    std::map<std::string, relay_state> m_hosts;
    std::map<zone_id, std::uint32_t> m_silentHosts; // Hosts of a zone that were silent since one of them answered.
    // Rankings computed since the last setHosts(), by zone, names of the parts and strongHostsOnly.
    std::map<std::tuple<zone_id, std::vector<std::string>, bool>, std::vector<part_ranking>> m_rankings;
};

} // namespace orioledrum
