#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <base/random_source.h>
#include <config/route_table.h>
#include <limits/extra_call_budget.h>
#include <search/host_ranking.h>
#include <search/replica.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

struct replica_candidate;

/// Defines a ranking of the backend servers of a service that is the same on all hosts. Hosts that work on one request call only
/// the first few of them, so that all these hosts together stay within the request's limit on backend servers.
struct replica_preference {
    zone_id zone; ///< Backend servers of this zone come first.
    std::uint64_t seed = 0; ///< Determines the order within and outside the zone, for example a hash of the request id.
};

/// Settings of a replica_registry.
struct replica_registry_settings {
    zone_id localZone;
    extra_call_limits extraCalls;
    double coldFactor = 1.5; ///< Request rate that a cold backend server can take, as a multiple of its configured cold rate.
    double coldSlack = 5; ///< Requests per second added to that rate.
    std::chrono::microseconds otherZonePenalty{5000}; ///< Least addition to the expected latency of backend servers of other zones.
    /// The addition as a share of the latency without queueing, for long calls: the estimates of two idle backend servers differ by more
    /// than 5 ms then, and answers from another zone take bandwidth between zones.
    double otherZoneShare = 0.3;
    /// Time during which a draining backend server may be called, at most replica::drainGracePeriod.
    std::chrono::milliseconds drainGracePeriod = replica::drainGracePeriod;
    /// Whether backend servers are compared by what this host has learned of their load, see learned_limit and work_time_estimate.
    bool learnedLimits = true;
};

/// All backend servers that this host may call, by service. Not thread-safe.
///
/// A backend server can be called while it has a published entry. While the source of entries is unreachable, entries may expire
/// although their backend servers still run; deferRemovals() delays their removal until the entries can be published again.
class replica_registry
{
public:
    using replica_ptr = std::shared_ptr<replica>;

    /// Cost of each failed call that is expected before a successful one. All penalties are added to the expected latency when
    /// backend servers are compared.
    static constexpr std::chrono::milliseconds failurePenalty{60};
    /// Added to the expected latency of a backend server that seems to be paused: about the remaining length of a pause.
    static constexpr std::chrono::milliseconds pausedPenalty{100};
    /// Added to the expected latency of a backend server when at least 2 calls to it are outstanding and they use half or more
    /// of the limit on outstanding calls, this host's share of the connections.
    /// The other half is reserved for connections that the backend server still counts although their host has lost power.
    static constexpr std::chrono::milliseconds connectionPenalty{40};
    /// Limit on outstanding calls to one backend server that is useful to a host. With a limit of 1, a single paused call would make the
    /// backend server unavailable. When the connections do not suffice for all hosts, the first ones in rank get this limit.
    static constexpr std::uint32_t minCallLimit = 3;
    /// Age above which a load hint of another host is ignored.
    static constexpr std::chrono::milliseconds maxHintAge{250};
    /// Added to the expected latency of a stalled backend server.
    static constexpr std::chrono::milliseconds stalledPenalty{2000};
    /// Time between two comparisons of the paces of the backend servers of a service, which change with each window of learned_limit, at
    /// most every 2 s. More often would only cost processor time.
    static constexpr std::chrono::milliseconds paceInterval{250};
    /// Time for which the suspension of a backend server without an entry is kept, in case its entry comes back. Longer than any
    /// shutdown takes.
    static constexpr std::chrono::minutes suspensionMemory{10};

    replica_registry(replica_registry_settings settings, random_source random);

    /// Adds a backend server or updates its entry.
    /// @param maxGrace Limits replica_registry_settings::drainGracePeriod when the entry says for the first time that it drains: less is
    /// left when the entry is already old.
    void put(replica_entry entry, time_point now, std::chrono::milliseconds maxGrace = replica::drainGracePeriod);
    /// @return False when a call that was chosen earlier must not be written any more: the backend server refuses calls, its entry is gone
    /// or its zone is excluded by now.
    [[nodiscard]] bool mayStillBeCalled(const replica &server, time_point now) const;
    /// Removes a backend server whose entry is gone, now or after the time given to deferRemovals().
    void remove(const backend_id &id, time_point now);
    /// Replaces all entries. Backend servers that are not in the list are removed in the same way as by remove().
    /// @param maxGrace See put().
    void replaceAll(std::vector<replica_entry> entries, time_point now, std::chrono::milliseconds maxGrace = replica::drainGracePeriod);
    /// Defers all removals that are requested before `until` to that time. A deferred removal is discarded when put() is called for
    /// the backend server.
    void deferRemovals(time_point until);
    /// Applies deferred removals that are due. @return When the next one is due, or time_point::max().
    time_point applyDeferredRemovals(time_point now);

    /// Sets the availability zones whose backend servers get no calls. When a zone is no longer excluded, its backend servers
    /// count as cold for the warm-up time of their service.
    void setExcludedZones(std::set<zone_id> zones, time_point now);
    /// Sets the route table from which the limits of services are read.
    void setRouteTable(std::shared_ptr<const route_table> table);
    /// Takes the limits of a service from another host, which has them from a route table of the given version. They are used when that
    /// table is newer than the own one, together with the own limits, or when the own one does not name the service.
    void learnLimits(const service_id &service, const service_limits &limits, std::uint64_t version);
    /// @return The limits of a service: the strictest that this host knows, service_limits::unknown() when it knows none.
    [[nodiscard]] service_limits limits(const service_id &service) const;
    /// Sets the entry hosts that share the limits of backend servers and services.
    /// @param division Hosts that divide the slack of extra calls.
    void setHosts(host_ranking hosts, slack_division division);

    /// Criteria by which choose() selects a backend server.
    struct selection_criteria {
        const service_id *service = nullptr;
        std::chrono::microseconds unqueuedLatency{0}; ///< Latency of the call without waiting in a queue.
        const std::vector<replica_ptr> *tried = nullptr; ///< Backend servers that have already been called for this request; null: none.
        bool reuseTried = false; ///< True: consider only backend servers in `tried`. False: only those not in it.
        bool requireFreeSlot = false; ///< Consider only backend servers with a free slot that do not seem to be paused.
        const std::vector<replica_ptr> *allowed = nullptr; ///< If not null: consider only these, if they still have entries.
    };

    /// @return The first `maxCount` backend servers of a service in the order of a preference. Hosts with the same entries get
    /// the same backend servers.
    [[nodiscard]] std::vector<replica_ptr>
    preferredReplicas(const service_id &service, const replica_preference &preference, std::uint32_t maxCount) const;

    /// Chooses the backend server with the lowest cost, which is the expected latency plus penalties and a small random jitter.
    /// A backend server that is slow by what was learned earlier gets a call from time to time, see learned_limit::probeDue().
    /// If the backend server is cold, the call counts against its rate limit; at the limit, the next one by cost is chosen.
    /// @return The backend server, or null when no backend server may be called.
    [[nodiscard]] replica_ptr choose(const selection_criteria &criteria, time_point now);

    /// @return The backend servers of a service in the order in which choose() would take them for a first call now, those that may not be
    /// called last. Changes nothing.
    [[nodiscard]] std::vector<replica_candidate>
    candidates(const service_id &service, std::chrono::microseconds unqueuedLatency, time_point now) const;

    /// @return Lowest expected latency of a call to the service, including stalledPenalty but no other penalty, or nothing when no
    /// backend server may be called.
    /// @param unqueuedLatency Latency of a call that does not wait in a queue.
    [[nodiscard]] std::optional<std::chrono::microseconds>
    expectedTime(const service_id &service, std::chrono::microseconds unqueuedLatency, time_point now) const;

    /// Stores the load that another host reports for a service that it calls on behalf of this host.
    /// @param factor Expected latency of a call as a multiple of its latency without queueing; 0: unknown.
    void setLoadHint(const service_id &service, double factor, time_point now);

    /// @return Expected latency according to the latest load hint; otherwise, or if the hint is older than
    /// maxHintAge, the lowest one of a usable backend server, whatever the limit on calls of this host.
    [[nodiscard]] std::optional<std::chrono::microseconds>
    expectedRelayTime(const service_id &service, std::chrono::microseconds unqueuedLatency, time_point now) const;

    /// @return True when a backend server of the service in a zone that is not excluded is usable and not stalled.
    [[nodiscard]] bool reachable(const service_id &service, time_point now) const;

    /// @return `now` when the service is reachable; else the time at which the first of its backend servers wants calls again; nullopt when
    /// none has asked for quiet, so that the time is not known.
    [[nodiscard]] std::optional<time_point> reachableFrom(const service_id &service, time_point now) const;

    /// @return True when the zone is not excluded and a backend server of the service in it is usable and not stalled.
    [[nodiscard]] bool reachableIn(const service_id &service, const zone_id &zone, time_point now) const;

    /// @return The availability zone of each backend server of a service; a zone may occur several times.
    [[nodiscard]] std::vector<zone_id> zones(const service_id &service) const;

    [[nodiscard]] const zone_id &localZone() const { return m_settings.localZone; }

    /// @return For a search route: true when enough shards for its minimum coverage are reachable. For any other route: true when
    /// at least one of its services is reachable.
    [[nodiscard]] bool reachable(const route &route, time_point now) const;

    /// @return Unresponsive backend servers to probe now, except those that are draining or in an excluded zone. A backend server is
    /// returned again only after replica::probeEnded().
    [[nodiscard]] std::vector<replica_ptr> takeProbes(time_point now);

    /// @return The budget of retries and hedges for a service.
    [[nodiscard]] extra_call_budget &budget(const service_id &service);
    /// @return The same; null before the first call to the service.
    [[nodiscard]] const extra_call_budget *findBudget(const service_id &service) const;
    /// @return True when the hosts that share the limits are known, see host_counter.
    [[nodiscard]] bool hostsSettled() const { return m_hosts.settled(); }

    /// Calls `visit` for each service to which calls were decided.
    void visitAccounts(const std::function<void(const service_id &, const call_account &)> &visit) const;

    /// Backend servers about which this host has learned something, see learned_limit.
    struct learned_counts {
        std::size_t slow = 0; ///< Slow compared with the others of their service.
        std::size_t limited = 0; ///< Fewer calls at a time than slots.
    };
    [[nodiscard]] learned_counts learnedCounts(time_point now) const;

    [[nodiscard]] std::size_t size() const { return m_byId.size(); }
    [[nodiscard]] std::uint32_t hostCount() const { return m_hosts.hostCount(); }
    /// @return The backend servers of a service.
    [[nodiscard]] std::vector<replica_ptr> replicas(const service_id &service) const;

private:
    struct service_state {
        std::vector<replica_ptr> replicas;
        std::unique_ptr<extra_call_budget> budget;
        double loadHint = 0;
        time_point loadHintAt;
        time_point pacesComparedAt;
    };

    struct learned_limits {
        service_limits limits;
        std::uint64_t version = 0; // Of the route table that another host has them from.
    };

    struct removed_replica {
        call_suspension suspension;
        time_point removedAt;
    };

    void eraseReplica(const backend_id &id, time_point now);
    [[nodiscard]] bool callable(const replica &candidate, time_point now) const;
    // Lowest expected latency over the backend servers of a service that pass the filter, including stalledPenalty but no other penalty.
    template<typename Filter>
    [[nodiscard]] std::optional<std::chrono::microseconds> lowestExpectedTime(const service_id &service,
                                                                              std::chrono::microseconds unqueuedLatency,
                                                                              time_point now,
                                                                              const Filter &mayBeCalled) const;
    // Limit on the outstanding calls of this host to the candidate; SIZE_MAX if there is none.
    [[nodiscard]] std::size_t callLimit(const replica &candidate) const;
    // @param expected Expected latency without penalties.
    [[nodiscard]] std::chrono::microseconds
    cost(const replica &candidate, std::chrono::microseconds unqueuedLatency, std::chrono::microseconds expected, time_point now) const;
    // Tells each backend server of a service how fast the others are.
    static void comparePaces(const std::vector<replica_ptr> &servers, time_point now);
    // Expected latency without penalties. A backend server that seems slow only by what was learned earlier counts as usual when a call
    // should find out whether it still is; `probe` is then set.
    static std::chrono::microseconds
    expectedOrProbe(replica &candidate, std::chrono::microseconds unqueuedLatency, bool mayProbe, time_point now, bool &probe);
    // Counts a call against the rate limit if the candidate is cold; false when the limit is reached.
    [[nodiscard]] bool acquireColdPermit(replica &candidate, time_point now) const;

    replica_registry_settings m_settings;
    random_source m_random;
    std::unordered_map<backend_id, replica_ptr> m_byId;
    std::unordered_map<service_id, service_state> m_services;
    std::unordered_map<backend_id, time_point> m_deferredRemovals;
    std::unordered_map<backend_id, removed_replica> m_suspended; // Backend servers without an entry that have asked for no calls.
    time_point m_deferRemovalsUntil;
    std::set<zone_id> m_excludedZones;
    std::shared_ptr<const route_table> m_routeTable;
    std::unordered_map<service_id, learned_limits> m_learnedLimits; // Only those that differ from what m_routeTable says or lacks.
    host_ranking m_hosts;
    slack_division m_slackDivision;
};

} // namespace orioledrum
