#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <base/random_source.h>
#include <config/route_table.h>
#include <limits/extra_call_budget.h>
#include <search/replica.h>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Restricts the backend servers of each shard to a few that all hosts choose alike, so that a request which several hosts
/// work on does not reach more of them than it may.
struct replica_preference {
    zone_id zone; ///< Backend servers of this zone come first.
    std::uint64_t seed = 0; ///< Orders the others, for example a hash of the request's id.
};

/// Settings of a replica_board.
struct replica_board_settings {
    zone_id ownZone;
    extra_call_limits extraCalls;
    double coldFactor = 1.5; ///< Times the stated cold rate that a backend server bears.
    double coldSlack = 5; ///< Further requests a second that a cold backend server bears.
    std::chrono::microseconds otherZonePenalty{5000}; ///< Added to the expected time of backend servers of other zones.
};

/// All backend servers that this host may call, by service. Not thread-safe.
///
/// A backend server is used while it has an entry. While the source of entries was out of reach, entries may lapse although
/// the backend server lives; such removals wait until holdRemovals() ends.
class replica_board
{
public:
    using replica_ptr = std::shared_ptr<replica>;

    /// Cost of one expected failure, in time, when backend servers are compared.
    static constexpr std::chrono::milliseconds failureCost{60};
    /// Added to the expected time of a backend server that seems to stand still: about what is left of a pause.
    static constexpr std::chrono::milliseconds pausedCost{100};
    /// Added to the expected time of one that has more than half of this host's part of its connections in use. The other
    /// half is left for connections that it still counts although their host has lost power.
    static constexpr std::chrono::milliseconds crowdedCost{40};
    /// Calls that may be open to one backend server in any case: with one, a single paused call would hide it.
    static constexpr std::uint32_t leastCalls = 3;
    /// Age after which a hint of another host is not used.
    static constexpr std::chrono::milliseconds hintLifetime{250};
    /// Added to the expected time of one that has been silent for long.
    static constexpr std::chrono::milliseconds stalledCost{2000};

    replica_board(replica_board_settings settings, random_source random);

    /// Takes one entry.
    void put(replica_entry entry, time_point now);
    /// The entry of a backend server is gone.
    void remove(const backend_id &id, time_point now);
    /// Takes the list of all entries; others are removed.
    void replaceAll(std::vector<replica_entry> entries, time_point now);
    /// Removals until this time take effect only then, unless the entry comes back.
    void holdRemovals(time_point until);
    /// Applies removals that are due. @return When to call it again, or time_point::max().
    time_point applyRemovals(time_point now);

    /// Sets the availability zones whose backend servers get nothing. Those of a zone that comes back count as cold for the
    /// warm-up time of their service.
    void setExcludedZones(std::set<zone_id> zones, time_point now);
    /// Sets the routes in force, for the limits of services.
    void setTable(std::shared_ptr<const route_table> table);
    /// Sets the number of hosts that share limits.
    void setHosts(std::uint32_t hosts);

    /// What a choice depends on.
    struct question {
        const service_id *service = nullptr;
        std::chrono::microseconds usual{0}; ///< Usual time of such a call.
        const std::vector<replica_ptr> *asked = nullptr; ///< Backend servers that this request was sent to already.
        bool again = false; ///< Choose among the asked ones; otherwise among the others.
        bool onlyIfFree = false; ///< Only one that can start the call at once.
        const std::vector<replica_ptr> *among = nullptr; ///< Restricts the choice to these, where they still have entries.
    };

    /// @return The first `most` backend servers of a service in the order of a preference. Hosts with the same entries get the
    /// same ones.
    [[nodiscard]] std::vector<replica_ptr>
    preferred(const service_id &service, const replica_preference &preference, std::uint32_t most) const;

    /// Chooses a backend server for a call. A cold one has the call counted against its rate.
    /// @return The backend server, or null when none may be called.
    [[nodiscard]] replica_ptr choose(const question &wanted, time_point now);

    /// @return Expected time until a call to the service is answered, or nothing when no backend server may be called.
    /// @param usual Time of such a call without waiting.
    [[nodiscard]] std::optional<std::chrono::microseconds>
    expectedTime(const service_id &service, std::chrono::microseconds usual, time_point now) const;

    /// Takes what another host says about a service that it calls for this one.
    /// @param factor Expected time of a call, as a multiple of one without waiting.
    void setHint(const service_id &service, double factor, time_point now);

    /// @return Like expectedTime(), but by the latest hint when there is a fresh one.
    [[nodiscard]] std::optional<std::chrono::microseconds>
    hintedTime(const service_id &service, std::chrono::microseconds usual, time_point now) const;

    /// @return True when some backend server of the service may be called and has not stopped to answer.
    [[nodiscard]] bool reachable(const service_id &service, time_point now) const;

    /// @return True when some backend server of the service in the zone may be called and has not stopped to answer.
    [[nodiscard]] bool reachableIn(const service_id &service, const zone_id &zone, time_point now) const;

    /// @return The availability zones of the backend servers of a service.
    [[nodiscard]] std::vector<zone_id> zones(const service_id &service) const;

    [[nodiscard]] const zone_id &ownZone() const { return m_settings.ownZone; }

    /// @return True when enough services of a route are reachable to serve it.
    [[nodiscard]] bool reachable(const route &route, time_point now) const;

    /// @return Backend servers that should be asked whether they are back; each counts as asked until replica::probed().
    [[nodiscard]] std::vector<replica_ptr> takeProbes(time_point now);

    /// @return The budget of extra calls to a service.
    [[nodiscard]] extra_call_budget &budget(const service_id &service);

    [[nodiscard]] std::size_t size() const { return m_byId.size(); }
    [[nodiscard]] std::uint32_t hosts() const { return m_hosts; }
    /// @return The backend servers of a service.
    [[nodiscard]] std::vector<replica_ptr> replicas(const service_id &service) const;

private:
    struct service_state {
        std::vector<replica_ptr> replicas;
        std::unique_ptr<extra_call_budget> budget;
        double hintedFactor = 0;
        time_point hintedAt;
    };

    void drop(const backend_id &id);
    [[nodiscard]] bool callable(const replica &candidate, time_point now) const;
    [[nodiscard]] std::size_t callLimit(const replica &candidate) const;
    [[nodiscard]] std::chrono::microseconds cost(const replica &candidate, std::chrono::microseconds usual, time_point now) const;
    [[nodiscard]] bool takeCold(replica &candidate, time_point now) const;

    replica_board_settings m_settings;
    random_source m_random;
    std::unordered_map<backend_id, replica_ptr> m_byId;
    std::unordered_map<service_id, service_state> m_services;
    std::unordered_map<backend_id, time_point> m_removals;
    time_point m_holdUntil;
    std::set<zone_id> m_excluded;
    std::shared_ptr<const route_table> m_table;
    std::uint32_t m_hosts = 1;
};

} // namespace orioledrum
