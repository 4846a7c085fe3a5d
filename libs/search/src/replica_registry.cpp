#include <search/replica_registry.h>

#include <base/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace orioledrum
{

replica_registry::replica_registry(replica_registry_settings settings, random_source random)
    : m_settings(std::move(settings))
    , m_random(random)
{
}

void replica_registry::put(replica_entry entry, time_point now, std::chrono::milliseconds maxGrace)
{
    m_deferredRemovals.erase(entry.id);
    const auto gracePeriod = std::min(m_settings.drainGracePeriod, maxGrace);
    const auto found = m_byId.find(entry.id);
    if (found != m_byId.end()) {
        if (found->second->entry().service == entry.service) {
            found->second->update(std::move(entry), now, gracePeriod);
            return;
        }
        eraseReplica(backend_id(found->first), now);
    }
    const auto id = entry.id;
    auto added = std::make_shared<replica>(std::move(entry), now, gracePeriod, m_settings.learnedLimits);
    if (const auto removed = m_suspended.find(id); removed != m_suspended.end()) {
        if (!added->entry().incarnation().isAfter(removed->second.suspension.incarnation())) {
            added->restoreSuspension(removed->second.suspension);
        }
        m_suspended.erase(removed);
    }
    m_services[added->entry().service].replicas.push_back(added);
    m_byId[id] = std::move(added);
}

bool replica_registry::mayStillBeCalled(const replica &server, time_point now) const
{
    const auto found = m_byId.find(server.entry().id);
    return found != m_byId.end() && found->second.get() == &server && !server.refusesCalls(now)
        && !m_excludedZones.contains(server.entry().zone);
}

void replica_registry::remove(const backend_id &id, time_point now)
{
    if (!m_byId.contains(id)) {
        return;
    }
    if (now < m_deferRemovalsUntil) {
        m_deferredRemovals.emplace(id, m_deferRemovalsUntil);
        return;
    }
    eraseReplica(backend_id(id), now);
}

void replica_registry::replaceAll(std::vector<replica_entry> entries, time_point now, std::chrono::milliseconds maxGrace)
{
    std::unordered_set<backend_id> listed;
    for (auto &entry : entries) {
        listed.insert(entry.id);
        put(std::move(entry), now, maxGrace);
    }
    std::vector<backend_id> unlisted;
    for (const auto &[id, server] : m_byId) {
        if (!listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const auto &id : unlisted) {
        remove(id, now);
    }
}

void replica_registry::deferRemovals(time_point until)
{
    m_deferRemovalsUntil = until;
}

time_point replica_registry::applyDeferredRemovals(time_point now)
{
    auto next = time_point::max();
    std::vector<backend_id> due;
    for (const auto &[id, at] : m_deferredRemovals) {
        if (at <= now) {
            due.push_back(id);
        } else {
            next = std::min(next, at);
        }
    }
    for (const auto &id : due) {
        m_deferredRemovals.erase(id);
        eraseReplica(id, now);
    }
    return next;
}

void replica_registry::eraseReplica(const backend_id &id, time_point now)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    if (found->second->suspension().active(now)) {
        std::erase_if(m_suspended, [now](const auto &entry) { return now - entry.second.removedAt > suspensionMemory; });
        m_suspended.insert_or_assign(id, removed_replica{found->second->suspension(), now});
    }
    auto &list = m_services[found->second->entry().service].replicas;
    std::erase(list, found->second);
    m_byId.erase(found);
}

void replica_registry::setExcludedZones(std::set<zone_id> zones, time_point now)
{
    for (const auto &[id, server] : m_byId) {
        const auto &zone = server->entry().zone;
        if (m_excludedZones.contains(zone) && !zones.contains(zone) && m_routeTable) {
            const auto *service = m_routeTable->findService(server->entry().service);
            server->setCold(service != nullptr ? service->warmUpTime : m_routeTable->longestWarmUpTime(), now);
        }
    }
    m_excludedZones = std::move(zones);
}

void replica_registry::setRouteTable(std::shared_ptr<const route_table> table)
{
    m_routeTable = std::move(table);
    // Limits that another host needs again come with its next message.
    std::erase_if(m_learnedLimits, [this](const auto &entry) { return entry.second.version <= m_routeTable->version(); });
}

void replica_registry::learnLimits(const service_id &service, const service_limits &limits, std::uint64_t version)
{
    if (m_routeTable && version <= m_routeTable->version() && m_routeTable->findService(service) != nullptr) {
        return;
    }
    const auto [found, added] = m_learnedLimits.try_emplace(service, learned_limits{limits, version});
    if (!added && version >= found->second.version) {
        found->second = {limits, version};
    }
}

service_limits replica_registry::limits(const service_id &service) const
{
    const auto *configured = m_routeTable ? m_routeTable->findService(service) : nullptr;
    const auto learned = m_learnedLimits.find(service);
    if (learned == m_learnedLimits.end()) {
        return configured != nullptr ? configured->limits() : service_limits::unknown();
    }
    return configured != nullptr ? service_limits::strictest(configured->limits(), learned->second.limits) : learned->second.limits;
}

void replica_registry::setHosts(host_ranking hosts, slack_division division)
{
    m_hosts = std::move(hosts);
    m_slackDivision = division;
    for (auto &[id, state] : m_services) {
        if (state.budget) {
            state.budget->setDivision(m_slackDivision);
        }
    }
}

extra_call_budget &replica_registry::budget(const service_id &service)
{
    auto &state = m_services[service];
    if (!state.budget) {
        state.budget = std::make_unique<extra_call_budget>(m_settings.extraCalls, m_slackDivision);
    }
    return *state.budget;
}

void replica_registry::visitAccounts(const std::function<void(const service_id &, const call_account &)> &visit) const
{
    for (const auto &[service, state] : m_services) {
        if (state.budget) {
            visit(service, state.budget->account());
        }
    }
}

bool replica_registry::callable(const replica &candidate, time_point now) const
{
    return candidate.usable(now) && !candidate.waitsForFirstAnswer() && !m_excludedZones.contains(candidate.entry().zone)
        && candidate.outstandingCalls() < callLimit(candidate);
}

std::size_t replica_registry::callLimit(const replica &candidate) const
{
    const auto maxConnections = limits(candidate.entry().service).maxConnections;
    if (!maxConnections) {
        return SIZE_MAX;
    }
    const auto connections = *maxConnections;
    if (!m_hosts.settled()) {
        return std::min(minCallLimit, connections);
    }
    const std::uint32_t evenPart = connections / m_hosts.hostCount();
    // One call when there are more hosts than connections: few hosts call a backend server themselves, and one that can call none could
    // not serve a shard that nobody gathers for it.
    return evenPart >= minCallLimit ? evenPart : std::max(1U, m_hosts.shareOf(candidate.entry()).divide(connections, minCallLimit));
}

void replica_registry::comparePaces(const std::vector<replica_ptr> &servers, time_point now)
{
    std::vector<double> paces;
    for (const auto &server : servers) {
        const auto *learned = server->learned();
        if (learned == nullptr) {
            return;
        }
        // A slow one says nothing about what is usual, unless all are.
        if (const auto pace = learned->slow() ? std::nullopt : learned->pace(now)) {
            paces.push_back(*pace);
        }
    }
    if (paces.size() < 2) {
        return; // With nothing to compare with, the latest comparison stays.
    }
    std::sort(paces.begin(), paces.end());
    for (const auto &server : servers) {
        const auto own = server->learned()->slow() ? std::nullopt : server->learned()->pace(now);
        // The lower median of the others: a single slow one does not make another slow one usual.
        auto middle = (paces.size() - 1) / 2;
        if (own) {
            middle = (paces.size() - 2) / 2;
            middle += *own <= paces[middle] ? 1 : 0;
        }
        server->learned()->setUsualPace(paces[middle]);
    }
}

std::chrono::microseconds
replica_registry::expectedOrProbe(replica &candidate, std::chrono::microseconds unqueuedLatency, bool mayProbe, time_point now, bool &probe)
{
    if (mayProbe && candidate.slowByMemory(now)) {
        candidate.learned()->passedBy();
        if (candidate.outstandingCalls() == 0 && candidate.learned()->probeDue(now)) {
            probe = true;
            return candidate.latencyAtNormalSpeed(unqueuedLatency, now);
        }
    }
    return candidate.expectedTime(unqueuedLatency, now);
}

std::chrono::microseconds replica_registry::cost(const replica &candidate,
                                                 std::chrono::microseconds unqueuedLatency,
                                                 std::chrono::microseconds expected,
                                                 time_point now) const
{
    auto cost = expected;
    if (candidate.entry().zone != m_settings.localZone) {
        const auto share = static_cast<double>(unqueuedLatency.count()) * m_settings.otherZoneShare;
        cost += std::max(m_settings.otherZonePenalty, std::chrono::microseconds(static_cast<std::int64_t>(share)));
    }
    if (candidate.stalled(now)) {
        cost += stalledPenalty;
    } else if (candidate.paused(now)) {
        cost += pausedPenalty;
    }
    const auto limit = callLimit(candidate);
    if (limit != SIZE_MAX && candidate.outstandingCalls() >= std::max<std::size_t>(2, limit / 2)) {
        cost += connectionPenalty;
    }
    if (candidate.entry().draining) {
        cost += std::chrono::seconds(10); // Chosen only when no other backend server may be called.
    }
    const double failures = std::min(0.95, candidate.failureShare(now));
    cost += std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(std::chrono::microseconds(failurePenalty).count()) * failures / (1 - failures)));
    return cost;
}

bool replica_registry::acquireColdPermit(replica &candidate, time_point now) const
{
    if (!candidate.cold(now)) {
        return true;
    }
    const auto rate = limits(candidate.entry().service).maxColdRequestsPerSecond;
    if (!rate) {
        return true;
    }
    // Hosts that do not know each other yet could together exceed the limit many times.
    return m_hosts.settled()
        && candidate.coldRate().tryAcquire(*rate * m_settings.coldFactor + m_settings.coldSlack, m_hosts.shareOf(candidate.entry()), now);
}

replica_registry::replica_ptr replica_registry::choose(const selection_criteria &criteria, time_point now)
{
    const auto found = m_services.find(*criteria.service);
    if (found == m_services.end()) {
        return nullptr;
    }
    struct candidate {
        std::chrono::microseconds cost;
        replica_ptr server;
        bool probe;
    };
    std::vector<candidate> candidates;
    if (now - found->second.pacesComparedAt >= paceInterval) {
        found->second.pacesComparedAt = now;
        comparePaces(found->second.replicas, now);
    }
    const bool firstCall = (criteria.tried == nullptr || criteria.tried->empty()) && !criteria.requireFreeSlot;
    for (const auto &server : found->second.replicas) {
        if (criteria.allowed != nullptr
            && std::find(criteria.allowed->begin(), criteria.allowed->end(), server) == criteria.allowed->end()) {
            continue;
        }
        const bool tried =
            criteria.tried != nullptr && std::find(criteria.tried->begin(), criteria.tried->end(), server) != criteria.tried->end();
        if (tried != criteria.reuseTried || !callable(*server, now)) {
            continue;
        }
        if (criteria.requireFreeSlot
            && (static_cast<double>(server->load(now)) >= std::round(server->callsAtATime(now)) || server->paused(now))) {
            continue;
        }
        // Jitter of up to 10% of the latency in both directions, so that hosts with the same view do not all choose the same
        // backend server.
        const auto jitter =
            static_cast<std::int64_t>(static_cast<double>(criteria.unqueuedLatency.count()) * 0.2 * (m_random.nextDouble() - 0.5));
        bool probe = false;
        const auto expected = expectedOrProbe(*server, criteria.unqueuedLatency, firstCall, now, probe);
        candidates.push_back({cost(*server, criteria.unqueuedLatency, expected, now) + std::chrono::microseconds(jitter), server, probe});
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate &a, const candidate &b) { return a.cost < b.cost; });
    for (const auto &each : candidates) {
        if (acquireColdPermit(*each.server, now)) {
            if (each.probe) {
                each.server->learned()->probeSent(now);
            }
            return each.server;
        }
    }
    return nullptr;
}

template<typename Filter>
std::optional<std::chrono::microseconds> replica_registry::lowestExpectedTime(const service_id &service,
                                                                              std::chrono::microseconds unqueuedLatency,
                                                                              time_point now,
                                                                              const Filter &mayBeCalled) const
{
    std::optional<std::chrono::microseconds> best;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return best;
    }
    for (const auto &server : found->second.replicas) {
        if (!mayBeCalled(*server)) {
            continue;
        }
        auto expected = server->expectedTime(unqueuedLatency, now);
        if (server->stalled(now)) {
            expected += stalledPenalty;
        }
        if (!best || expected < *best) {
            best = expected;
        }
    }
    return best;
}

std::optional<std::chrono::microseconds>
replica_registry::expectedTime(const service_id &service, std::chrono::microseconds unqueuedLatency, time_point now) const
{
    return lowestExpectedTime(service, unqueuedLatency, now, [&](const replica &server) { return callable(server, now); });
}

std::vector<replica_registry::replica_ptr>
replica_registry::preferredReplicas(const service_id &service, const replica_preference &preference, std::uint32_t maxCount) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    const auto &replicas = found->second.replicas;
    struct ranked {
        bool otherZone;
        std::uint64_t rank;
        replica_ptr server;
    };
    std::vector<ranked> ranking;
    for (const auto &server : replicas) {
        const auto &entry = server->entry();
        // The rank must be the same on every host, also on hosts that run another build.
        const auto rank = random_source(preference.seed ^ rendezvousWeight({}, entry.id.str())).next();
        ranking.push_back({entry.zone != preference.zone, rank, server});
    }
    std::sort(ranking.begin(), ranking.end(), [](const ranked &a, const ranked &b) {
        return std::tie(a.otherZone, a.rank) < std::tie(b.otherZone, b.rank);
    });
    std::vector<replica_ptr> selected;
    for (std::size_t i = 0; i < ranking.size() && i < maxCount; ++i) {
        selected.push_back(std::move(ranking[i].server));
    }
    return selected;
}

bool replica_registry::reachableIn(const service_id &service, const zone_id &zone, time_point now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && !m_excludedZones.contains(zone)
        && std::any_of(found->second.replicas.begin(), found->second.replicas.end(), [&](const replica_ptr &server) {
               return server->entry().zone == zone && server->usable(now) && !server->stalled(now);
           });
}

std::vector<zone_id> replica_registry::zones(const service_id &service) const
{
    std::vector<zone_id> zones;
    if (const auto found = m_services.find(service); found != m_services.end()) {
        for (const auto &server : found->second.replicas) {
            zones.push_back(server->entry().zone);
        }
    }
    return zones;
}

void replica_registry::setLoadHint(const service_id &service, double factor, time_point now)
{
    auto &state = m_services[service];
    state.loadHint = factor;
    state.loadHintAt = now;
}

std::optional<std::chrono::microseconds>
replica_registry::expectedRelayTime(const service_id &service, std::chrono::microseconds unqueuedLatency, time_point now) const
{
    const auto found = m_services.find(service);
    if (found != m_services.end() && found->second.loadHint > 0 && now - found->second.loadHintAt <= maxHintAge) {
        return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(unqueuedLatency.count()) * found->second.loadHint));
    }
    // The limit on the calls of this host does not apply to the host that makes them.
    return lowestExpectedTime(service, unqueuedLatency, now, [&](const replica &server) {
        return server.usable(now) && !m_excludedZones.contains(server.entry().zone);
    });
}

bool replica_registry::reachable(const service_id &service, time_point now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end()
        && std::any_of(found->second.replicas.begin(), found->second.replicas.end(), [&](const replica_ptr &server) {
               return server->usable(now) && !server->stalled(now) && !m_excludedZones.contains(server->entry().zone);
           });
}

std::optional<time_point> replica_registry::reachableFrom(const service_id &service, time_point now) const
{
    if (reachable(service, now)) {
        return now;
    }
    std::optional<time_point> earliest;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return earliest;
    }
    for (const auto &server : found->second.replicas) {
        const auto &suspension = server->suspension();
        if (!suspension.leaving() && suspension.quietUntil() > now && !m_excludedZones.contains(server->entry().zone)) {
            earliest = std::min(earliest.value_or(suspension.quietUntil()), suspension.quietUntil());
        }
    }
    return earliest;
}

bool replica_registry::reachable(const route &route, time_point now) const
{
    if (!route.isSearch()) {
        return std::any_of(route.services.begin(), route.services.end(), [&](const weighted_service &weighted) {
            return reachable(weighted.service, now);
        });
    }
    const auto count =
        std::count_if(route.shards.begin(), route.shards.end(), [&](const service_id &shard) { return reachable(shard, now); });
    return static_cast<double>(count) >= route.minCoverage * static_cast<double>(route.shards.size());
}

std::vector<replica_registry::replica_ptr> replica_registry::takeProbes(time_point now)
{
    std::vector<replica_ptr> due;
    for (const auto &[id, server] : m_byId) {
        if (server->probeDue(now) && !m_excludedZones.contains(server->entry().zone) && !server->entry().draining) {
            server->probeSent();
            due.push_back(server);
        }
    }
    return due;
}

replica_registry::learned_counts replica_registry::learnedCounts(time_point now) const
{
    learned_counts counts;
    for (const auto &[id, server] : m_byId) {
        if (const auto *learned = server->learned()) {
            counts.slow += learned->slow() ? 1 : 0;
            counts.limited += learned->limit(server->entry().slots, now) < server->entry().slots ? 1 : 0;
        }
    }
    return counts;
}

std::vector<replica_registry::replica_ptr> replica_registry::replicas(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::vector<replica_ptr>{} : found->second.replicas;
}

} // namespace orioledrum
