#include <fakes/scripted_backends.h>
#include <search/relay_selector.h>
#include <search/replica_candidate.h>
#include <search/replica_registry.h>

#include <gtest/gtest.h>

#include <map>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

const service_id service("s");
constexpr std::chrono::microseconds callLatency(10'000);

replica_entry makeEntry(const std::string &id, const std::string &zone)
{
    replica_entry entry;
    entry.id = backend_id(id);
    entry.service = service;
    entry.zone = zone_id(zone);
    entry.address = "127.0.0.1:" + std::to_string(id.front());
    entry.slots = 2;
    return entry;
}

class replica_registry_fixture : public testing::Test
{
protected:
    replica_registry_fixture()
        : m_registry({zone_id("near"), {0.2, 20}, 1.5, 5}, random_source(3))
    {
        setLimits(m_registry, {}, 0);
        m_registry.put(makeEntry("a", "near"), m_now);
        m_registry.put(makeEntry("b", "far"), m_now);
    }

    /// Sets a route table that names the service.
    static void setLimits(replica_registry &registry, route_service limits, std::uint64_t version)
    {
        limits.id = service;
        registry.setRouteTable(*route_table::create(version, {}, {std::move(limits)}, {}));
    }

    /// @return The calls that this host, one of 2, may send at once to the backend server "a".
    int countColdCalls()
    {
        m_registry.setHosts(makeHosts(2), {2, 2});
        m_registry.remove(backend_id("b"), m_now);
        m_now += milliseconds(2000); // No earlier call counts.
        find("a")->setCold(milliseconds(3000), m_now);
        int sent = 0;
        while (sent < 100 && !choose().empty()) {
            ++sent;
        }
        return sent;
    }

    std::string choose(std::chrono::microseconds latency = callLatency)
    {
        replica_registry::selection_criteria criteria;
        criteria.service = &service;
        criteria.unqueuedLatency = latency;
        const auto server = m_registry.choose(criteria, m_now);
        return server ? server->entry().id.str() : "";
    }

    replica_registry::replica_ptr find(const std::string &id)
    {
        for (const auto &server : m_registry.replicas(service)) {
            if (server->entry().id.str() == id) {
                return server;
            }
        }
        return nullptr;
    }

    replica_registry m_registry;
    time_point m_now = time_point(std::chrono::hours(1));
};

using ReplicaRegistryTest = replica_registry_fixture;

} // namespace

TEST_F(ReplicaRegistryTest, prefersTheLocalZoneUntilItsQueueCostsMore)
{
    EXPECT_EQ(choose(), "a");
    find("a")->setReportedLoad({2, 4, 2}, m_now);
    EXPECT_EQ(choose(), "b");
}

// Guards against an explanation that differs from the choice, that hides why a backend server gets no call, or that changes later choices.
TEST_F(ReplicaRegistryTest, candidatesAreInTheOrderOfChoice)
{
    const auto order = [this] {
        std::string names;
        for (const auto &each : m_registry.candidates(service, callLatency, m_now)) {
            names += each.obstacles.empty() ? each.id.str() : "-" + each.id.str();
            for (const auto reason : each.obstacles.empty() ? each.reasons : each.obstacles) {
                names += "(" + std::string(reason) + ")";
            }
        }
        return names;
    };
    EXPECT_EQ(order(), "ab(otherZone)");
    EXPECT_EQ(choose(), "a");
    find("a")->setReportedLoad({2, 4, 2}, m_now);
    EXPECT_EQ(order(), "b(otherZone)a(busy)");
    EXPECT_EQ(choose(), "b");
    find("b")->setQuietUntil(m_now + milliseconds(500));
    EXPECT_EQ(order(), "a(busy)-b(quiet)");
    EXPECT_EQ(choose(), "a");
    // A cold backend server takes a limited number of calls; explaining takes none of them.
    route_service limits;
    limits.maxColdRequestsPerSecond = 1;
    setLimits(m_registry, limits, 1);
    const auto before = countColdCalls();
    m_now += milliseconds(10'000);
    find("a")->setCold(milliseconds(3000), m_now);
    for (int asked = 0; asked < 50; ++asked) {
        EXPECT_EQ(order(), "a(cold)");
    }
    EXPECT_EQ(countColdCalls(), before);
}

// Guards against calls and probes to a backend server that says in an answer that it leaves, also after its entry was written again, or was
// removed and came back; a later incarnation gets calls.
TEST_F(ReplicaRegistryTest, aLeavingBackendServerGetsNothingUntilItsNextIncarnation)
{
    auto entry = makeEntry("a", "near");
    entry.startedAt = milliseconds(1000);
    m_registry.put(entry, m_now);
    EXPECT_TRUE(find("a")->setLeaving());
    EXPECT_FALSE(find("a")->setLeaving());
    const auto expectSuspended = [&] {
        EXPECT_EQ(choose(), "b");
        EXPECT_FALSE(find("a")->probeDue(m_now));
    };
    expectSuspended();
    m_registry.put(entry, m_now);
    expectSuspended();
    auto older = entry;
    older.startedAt = milliseconds(900);
    older.address = "127.0.0.1:7";
    m_registry.put(older, m_now);
    expectSuspended();
    m_registry.put(entry, m_now);
    m_registry.remove(entry.id, m_now);
    m_now += std::chrono::seconds(30);
    m_registry.put(entry, m_now);
    expectSuspended();
    auto later = entry;
    later.startedAt = milliseconds(2000);
    m_registry.remove(entry.id, m_now);
    m_registry.put(later, m_now);
    EXPECT_EQ(choose(), "a");
}

// Guards against calls to a backend server that wants none for a time, a time that a shorter one cuts off, and many calls at its end.
TEST_F(ReplicaRegistryTest, aQuietBackendServerGetsNothingUntilTheTimeIsOver)
{
    const auto server = find("a");
    EXPECT_TRUE(server->setQuietUntil(m_now + milliseconds(800)));
    EXPECT_FALSE(server->setQuietUntil(m_now + milliseconds(300)));
    for (int step = 0; step < 8; ++step, m_now += milliseconds(100)) {
        EXPECT_EQ(choose(), "b");
        EXPECT_FALSE(server->probeDue(m_now));
    }
    ASSERT_EQ(choose(), "a");
    server->callSent(1, callLatency, m_now);
    EXPECT_EQ(choose(), "b") << "a second call before the first one is answered";
    server->callEnded(1, attempt_end::served, callLatency, callLatency, m_now);
    EXPECT_EQ(choose(), "a");
    server->callSent(2, callLatency, m_now);
    EXPECT_EQ(choose(), "a");
}

// Guards against a wrong time after which callers may come back: the earliest one of the backend servers that will want calls again.
TEST_F(ReplicaRegistryTest, tellsWhenAQuietServiceCanBeCalled)
{
    EXPECT_EQ(m_registry.reachableFrom(service, m_now), m_now);
    find("a")->setQuietUntil(m_now + milliseconds(800));
    EXPECT_EQ(m_registry.reachableFrom(service, m_now), m_now);
    find("b")->setQuietUntil(m_now + milliseconds(500));
    EXPECT_EQ(m_registry.reachableFrom(service, m_now), m_now + milliseconds(500));
    find("b")->setLeaving();
    EXPECT_EQ(m_registry.reachableFrom(service, m_now), m_now + milliseconds(800));
    find("a")->setLeaving();
    EXPECT_EQ(m_registry.reachableFrom(service, m_now), std::nullopt);
}

// Load pattern: lookups of 90 ms at single backend servers, all of them idle or nearly so. Guards against answers from another zone that
// only the random part of the estimate prefers, and against waiting in a long queue of the local zone.
TEST_F(ReplicaRegistryTest, longCallsStayInTheZoneWhileItIsNotBusy)
{
    for (int i = 0; i < 200; ++i) {
        EXPECT_EQ(choose(milliseconds(90)), "a");
    }
    find("a")->setReportedLoad({2, 1, 2}, m_now);
    EXPECT_EQ(choose(milliseconds(90)), "b");
}

// Guards against calls to a backend server in an excluded availability zone, and against calls to a draining one while another can
// be called or after the grace period.
TEST_F(ReplicaRegistryTest, avoidsDrainingAndExcludedBackendServers)
{
    auto drainingEntry = makeEntry("a", "near");
    drainingEntry.draining = true;
    m_registry.put(drainingEntry, m_now);
    EXPECT_EQ(choose(), "b");
    m_registry.setExcludedZones({zone_id("far")}, m_now);
    EXPECT_EQ(choose(), "a"); // No other backend server may be called, so the draining one gets calls during the grace period.
    m_now += replica::drainGracePeriod;
    EXPECT_EQ(choose(), "");
}

// Guards against times that add up beyond the bound: a host that reads late that a backend server drains called it for the whole grace
// period on top.
TEST_F(ReplicaRegistryTest, aDrainingBackendServerIsCalledForLessWhenItsEntryIsOld)
{
    m_registry.setExcludedZones({zone_id("far")}, m_now);
    auto drainingEntry = makeEntry("a", "near");
    drainingEntry.draining = true;
    m_registry.put(drainingEntry, m_now, milliseconds(100));
    EXPECT_EQ(choose(), "a");
    m_now += milliseconds(100);
    EXPECT_EQ(choose(), "");
    m_registry.put(makeEntry("a", "near"), m_now);
    EXPECT_EQ(choose(), "a");
    m_registry.replaceAll({drainingEntry}, m_now, milliseconds(0));
    EXPECT_EQ(choose(), "");
}

// Guards against a call that was chosen before a change was read and is written after it, because it has waited up to 300 ms for its
// connection: that time would be added to the time in which changes are read.
TEST_F(ReplicaRegistryTest, callsThatWaitForAConnectionAreNotWrittenAfterAChange)
{
    const auto server = find("a");
    EXPECT_TRUE(m_registry.mayStillBeCalled(*server, m_now));
    m_registry.setExcludedZones({zone_id("near")}, m_now);
    EXPECT_FALSE(m_registry.mayStillBeCalled(*server, m_now));
    m_registry.setExcludedZones({}, m_now);
    EXPECT_TRUE(m_registry.mayStillBeCalled(*server, m_now));
    auto drainingEntry = makeEntry("a", "near");
    drainingEntry.draining = true;
    m_registry.put(drainingEntry, m_now);
    EXPECT_TRUE(m_registry.mayStillBeCalled(*server, m_now));
    EXPECT_FALSE(m_registry.mayStillBeCalled(*server, m_now + replica::drainGracePeriod));
    m_registry.put(makeEntry("a", "near"), m_now);
    EXPECT_TRUE(m_registry.mayStillBeCalled(*server, m_now));
    m_registry.remove(backend_id("a"), m_now);
    EXPECT_FALSE(m_registry.mayStillBeCalled(*server, m_now));
}

// Guards against calls to a draining backend server in a deployment that does not allow them for as long as others do.
TEST_F(ReplicaRegistryTest, aDrainingBackendServerGetsNoCallsWithoutAGracePeriod)
{
    replica_registry_settings settings;
    settings.localZone = zone_id("near");
    settings.drainGracePeriod = milliseconds(0);
    replica_registry registry(settings, random_source(3));
    setLimits(registry, {}, 0);
    replica_registry::selection_criteria criteria;
    criteria.service = &service;
    registry.put(makeEntry("a", "near"), m_now);
    EXPECT_NE(registry.choose(criteria, m_now), nullptr);
    auto drainingEntry = makeEntry("a", "near");
    drainingEntry.draining = true;
    registry.put(drainingEntry, m_now);
    EXPECT_EQ(registry.choose(criteria, m_now), nullptr);
}

// Guards against the loss of backend servers whose entries expired while the source of entries was unreachable.
TEST_F(ReplicaRegistryTest, defersRemovalsAfterAnOutage)
{
    m_registry.deferRemovals(m_now + milliseconds(2000));
    m_registry.replaceAll({makeEntry("b", "far")}, m_now);
    EXPECT_EQ(choose(), "a");
    m_now += milliseconds(1000);
    m_registry.put(makeEntry("a", "near"), m_now); // The entry is back.
    m_now += milliseconds(1500);
    m_registry.applyDeferredRemovals(m_now);
    EXPECT_EQ(choose(), "a");
}

TEST_F(ReplicaRegistryTest, removesBackendServersWithoutEntriesAfterAnOutage)
{
    m_registry.deferRemovals(m_now + milliseconds(2000));
    m_registry.remove(backend_id("a"), m_now);
    EXPECT_EQ(m_registry.applyDeferredRemovals(m_now), m_now + milliseconds(2000));
    m_now += milliseconds(2000);
    EXPECT_EQ(m_registry.applyDeferredRemovals(m_now), time_point::max());
    EXPECT_EQ(choose(), "b");
}

// Guards against requests that are used as probes of an unreachable backend server.
TEST_F(ReplicaRegistryTest, unreachableBackendServersGetNoCallsBeforeAnAnsweredProbe)
{
    const auto lostServer = find("a");
    lostServer->callSent(1, callLatency, m_now);
    lostServer->callEnded(1, attempt_end::unreachable, callLatency, callLatency, m_now);
    m_now += std::chrono::seconds(10);
    EXPECT_EQ(choose(), "b");
    ASSERT_EQ(m_registry.takeProbes(m_now).size(), 1U);
    EXPECT_TRUE(m_registry.takeProbes(m_now).empty()); // One probe at a time.
    lostServer->probeEnded(false, m_now);
    EXPECT_TRUE(m_registry.takeProbes(m_now).empty()); // The backoff has not passed.
    m_now += replica::maxBackoff;
    ASSERT_EQ(m_registry.takeProbes(m_now).size(), 1U);
    lostServer->probeEnded(true, m_now);
    EXPECT_EQ(choose(), "a");
}

// Guards against searches that wait for hanging calls until their deadline when the network drops packets without connection
// resets: the backend server must count as stalled long before.
TEST_F(ReplicaRegistryTest, stalledBackendServersAreNotReachable)
{
    for (const char *id : {"a", "b"}) {
        find(id)->callSent(1, callLatency, m_now);
    }
    EXPECT_TRUE(m_registry.reachable(service, m_now));
    m_now += replica::stallTimeout + milliseconds(1);
    EXPECT_FALSE(m_registry.reachable(service, m_now));
    EXPECT_EQ(m_registry.takeProbes(m_now).size(), 2U);
    find("a")->probeEnded(true, m_now);
    EXPECT_TRUE(m_registry.reachable(service, m_now));
}

TEST_F(ReplicaRegistryTest, avoidsFailingBackendServers)
{
    const auto failing = find("a");
    for (std::uint64_t i = 0; i < 6; ++i) {
        failing->callSent(i, callLatency, m_now);
        failing->callEnded(i, attempt_end::shed, milliseconds(1), callLatency, m_now);
    }
    EXPECT_EQ(choose(), "b");
    m_now += std::chrono::seconds(15); // The failure statistics have decayed, so the backend server is tried again.
    EXPECT_EQ(choose(), "a");
}

TEST_F(ReplicaRegistryTest, measuresSlownessAndResetsItAfterARestart)
{
    const auto slow = find("a");
    for (std::uint64_t i = 0; i < 12; ++i) {
        slow->callSent(i, callLatency, m_now);
        slow->callEnded(i, attempt_end::served, callLatency * 8, callLatency, m_now);
    }
    EXPECT_GT(slow->slowness(m_now), 4);
    auto restarted = makeEntry("a", "near");
    restarted.startedAt = milliseconds(5);
    m_registry.put(restarted, m_now);
    EXPECT_DOUBLE_EQ(slow->slowness(m_now), 1);
}

// Load pattern: a zone has gone dark; each search cancels its calls at the target, long before a call times out. Guards against a backend
// server that does not answer and is called first by each search, and against one that is avoided because its calls lost to hedges.
TEST_F(ReplicaRegistryTest, callsThatAreCancelledWhileOverdueCountAsFailures)
{
    for (const bool overdue : {false, true}) {
        const auto latency = overdue ? milliseconds(130) : milliseconds(12);
        for (std::uint64_t call = 0; call < 3; ++call) {
            find("a")->callSent(call, callLatency, m_now);
            m_now += latency;
            find("a")->callEnded(call, attempt_end::abandoned, latency, callLatency, m_now);
        }
        EXPECT_EQ(choose(), overdue ? "b" : "a");
    }
}

// Guards against more connections to a backend server than this host's share.
TEST_F(ReplicaRegistryTest, keepsToItsShareOfTheConnections)
{
    route_service limits;
    limits.id = service;
    limits.maxConnections = 12;
    m_registry.setRouteTable(*route_table::create(1, {}, {limits}, {}));
    m_registry.setHosts(makeHosts(3), {3, 3});
    for (const char *id : {"a", "b"}) {
        for (std::uint64_t call = 0; call < 4; ++call) {
            EXPECT_FALSE(choose().empty());
            find(id)->callSent(call, callLatency, m_now);
        }
    }
    EXPECT_EQ(choose(), "");
}

// Guards against a burst of calls to a cold backend server.
TEST_F(ReplicaRegistryTest, limitsTheCallsToAColdBackendServer)
{
    route_service limits;
    limits.id = service;
    limits.maxColdRequestsPerSecond = 10;
    m_registry.setRouteTable(*route_table::create(1, {}, {limits}, {}));
    m_registry.setHosts(makeHosts(4), {4, 4}); // (10 * 1.5 + 5) / 4 = 5 calls for each host.
    m_registry.remove(backend_id("b"), m_now);
    find("a")->setCold(milliseconds(3000), m_now);
    int sent = 0;
    while (!choose().empty()) {
        ++sent;
    }
    EXPECT_EQ(sent, 5);
}

// Load pattern: 118 hosts share backend servers with 175 connections and, while cold, 20 calls in a second. Guards against parts that
// add up to more (a floor of 3 calls a host made 354), and against cold backend servers that no host may call because an even part is
// below one call.
TEST_F(ReplicaRegistryTest, manyHostsShareALimitInWholeCalls)
{
    constexpr std::uint32_t hosts = 118;
    std::vector<host_ranking::ranked_host> fleet;
    for (std::uint32_t host = 0; host < hosts; ++host) {
        fleet.push_back({entry_host_id("h" + std::to_string(host)), zone_id(host % 6 == 0 ? "near" : "zone-" + std::to_string(host % 6))});
    }
    route_service limits;
    limits.id = service;
    limits.maxConnections = 175;
    limits.maxColdRequestsPerSecond = 10;
    const auto table = *route_table::create(1, {}, {limits}, {});
    std::uint32_t connections = 0;
    std::uint32_t coldCalls = 0;
    for (const auto &host : fleet) {
        for (const bool cold : {false, true}) {
            replica_registry registry({host.zone, {0.2, 630}, 1.5, 5}, random_source(3));
            registry.setRouteTable(table);
            registry.setHosts(host_ranking(host, fleet), {hosts, hosts});
            registry.put(makeEntry("a", "near"), m_now);
            if (cold) {
                registry.replicas(service).front()->setCold(milliseconds(3000), m_now);
            }
            replica_registry::selection_criteria criteria;
            criteria.service = &service;
            criteria.unqueuedLatency = callLatency;
            std::uint32_t sent = 0;
            while (const auto server = registry.choose(criteria, m_now)) {
                server->callSent(sent++, callLatency, m_now);
            }
            (cold ? coldCalls : connections) += sent;
            if (host.zone == zone_id("near")) {
                EXPECT_GE(sent, cold ? 1U : 3U); // Hosts of the zone gather most searches that call it.
            }
        }
    }
    EXPECT_LE(connections, 175U);
    EXPECT_GT(connections, 118U);
    EXPECT_LE(coldCalls, 20U);
    EXPECT_GE(coldCalls, 18U);
}

// Guards against unlimited calls to a cold backend server of a service that the route table of this host does not name: another host, which
// has a newer table, has its searches gathered here. All backend servers of a new set of shards crashed.
TEST_F(ReplicaRegistryTest, limitsTheCallsToAServiceThatTheRouteTableDoesNotName)
{
    m_registry.setRouteTable(*route_table::create(1, {}, {}, {}));
    EXPECT_EQ(m_registry.limits(service), service_limits::unknown());
    EXPECT_EQ(countColdCalls(), 2); // No more than the slack of 5, of which each of the two hosts has a half.
    m_registry.learnLimits(service, {std::nullopt, 4.0}, 2);
    EXPECT_EQ(countColdCalls(), 5); // (4 * 1.5 + 5) / 2
    m_registry.learnLimits(service, {std::nullopt, 10.0}, 1);
    EXPECT_EQ(countColdCalls(), 5); // The limits of the newer version hold.
    setLimits(m_registry, {}, 3);
    EXPECT_EQ(countColdCalls(), 100); // The own table is newer, and it sets no limit.
}

// Guards against the limits of an older configuration when another host knows that a newer one has stricter ones.
TEST_F(ReplicaRegistryTest, usesTheStrictestLimitsWhileTheRouteTableIsOld)
{
    route_service limits;
    limits.maxConnections = 20;
    limits.maxColdRequestsPerSecond = 10;
    setLimits(m_registry, limits, 4);
    m_registry.learnLimits(service, {30, 4.0}, 5);
    EXPECT_EQ(m_registry.limits(service), (service_limits{20, 4.0}));
    m_registry.learnLimits(service, {2, 1.0}, 3); // Older than the own table.
    EXPECT_EQ(m_registry.limits(service), (service_limits{20, 4.0}));
    setLimits(m_registry, limits, 5);
    EXPECT_EQ(m_registry.limits(service), (service_limits{20, 10.0}));
}

// Guards against calls to a cold backend server by hosts that do not know each other yet: their parts would be too large.
TEST_F(ReplicaRegistryTest, unsettledHostsDoNotCallColdBackendServers)
{
    route_service limits;
    limits.id = service;
    limits.maxColdRequestsPerSecond = 10;
    m_registry.setRouteTable(*route_table::create(1, {}, {limits}, {}));
    m_registry.setHosts(host_ranking({}, {}, 10, false), {10, 10});
    m_registry.remove(backend_id("b"), m_now);
    EXPECT_EQ(choose(), "a");
    find("a")->setCold(milliseconds(3000), m_now);
    EXPECT_EQ(choose(), "");
}

// Guards against full load on the backend servers of an availability zone that is no longer excluded: they may be cold although
// their entries do not say so.
TEST_F(ReplicaRegistryTest, backendServersOfAReturningZoneCountAsCold)
{
    route_service limits;
    limits.id = service;
    limits.maxColdRequestsPerSecond = 10;
    limits.warmUpTime = milliseconds(3000);
    m_registry.setRouteTable(*route_table::create(1, {}, {limits}, {}));
    m_registry.setExcludedZones({zone_id("near")}, m_now);
    m_registry.setExcludedZones({}, m_now);
    EXPECT_TRUE(find("a")->cold(m_now));
    EXPECT_FALSE(find("b")->cold(m_now));
}

// The same for a service that the route table does not name: the longest warm-up time that this host knows counts.
TEST_F(ReplicaRegistryTest, backendServersOfAnUnknownServiceInAReturningZoneCountAsCold)
{
    route_service other;
    other.id = service_id("other");
    other.warmUpTime = milliseconds(3000);
    m_registry.setRouteTable(*route_table::create(1, {}, {other}, {}));
    m_registry.setExcludedZones({zone_id("near")}, m_now);
    m_registry.setExcludedZones({}, m_now);
    EXPECT_TRUE(find("a")->cold(m_now));
}

// Guards against calls to more backend servers than a request allows when several hosts choose backend servers for it.
TEST(ReplicaPreferenceTest, hostsChooseTheSameBackendServers)
{
    std::map<std::uint64_t, std::set<std::string>> called;
    const auto now = time_point(std::chrono::hours(1));
    for (const char *zone : {"z1", "z2", "z3"}) {
        replica_registry registry({zone_id(zone), {0.2, 20}, 1.5, 5}, random_source(zone[1]));
        for (const char *id : {"a1", "b2", "c3"}) {
            registry.put(makeEntry(id, std::string("z") + id[1]), now);
        }
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            const auto allowed = registry.preferredReplicas(service, {zone_id("z2"), seed}, 2);
            replica_registry::selection_criteria criteria;
            criteria.service = &service;
            criteria.unqueuedLatency = callLatency;
            criteria.allowed = &allowed;
            for (int i = 0; i < 4; ++i) {
                called[seed].insert(registry.choose(criteria, now)->entry().id.str());
            }
        }
    }
    for (const auto &[seed, servers] : called) {
        EXPECT_LE(servers.size(), 2U);
        EXPECT_TRUE(servers.contains("b2"));
    }
}

// Guards against searches that are relayed to a host that does not answer.
TEST(RelaySelectorTest, doesNotChooseHostsInBackoff)
{
    const auto now = time_point(std::chrono::hours(1));
    relay_selector selector("h0", random_source(1));
    selector.setHosts({{"h1", zone_id("a")}, {"h2", zone_id("b")}});
    selector.failed("h1", now);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(selector.choose({zone_id("a"), zone_id("b")}, {"part"}, 0, now)->address, "h2");
    }
    EXPECT_FALSE(selector.choose({zone_id("a")}, {"part"}, 0, now));
    EXPECT_TRUE(selector.choose({zone_id("a")}, {"part"}, 0, now + relay_selector::initialBackoff));
    EXPECT_FALSE(selector.choose({zone_id("c")}, {"part"}, 0, now));
}

// Load pattern: a zone with a quarter of the hosts is cut off. Each search gives parts to two or three of its hosts, and each host that
// backs off is replaced by the next one of the same zone, so that 78 searches of 2 s failed at 21 hosts. Guards against searches that try
// all hosts of the zone, and against a zone that is left because of one host or because its hosts answer slowly in turns.
TEST(RelaySelectorTest, leavesAZoneWhoseHostsAreSilent)
{
    const auto now = time_point(std::chrono::hours(1));
    const auto choosable = [&](const std::vector<const char *> &events, const char *zone) {
        relay_selector selector("a0", random_source(1));
        selector.setHosts({{"a0", zone_id("a")},
                           {"a1", zone_id("a")},
                           {"a2", zone_id("a")},
                           {"b0", zone_id("b")},
                           {"b1", zone_id("b")},
                           {"b2", zone_id("b")},
                           {"b3", zone_id("b")}});
        for (const std::string event : events) {
            if (event.front() == '+') {
                selector.answered(event.substr(1));
            } else {
                selector.silent(event, now);
            }
        }
        return selector.choose({zone_id(zone)}, {"part"}, 0, now).has_value();
    };
    EXPECT_FALSE(choosable({"b0", "b1"}, "b"));
    EXPECT_TRUE(choosable({"b0"}, "b"));
    EXPECT_TRUE(choosable({"b0", "b0"}, "b"));
    EXPECT_TRUE(choosable({"b0", "+b1", "b2"}, "b"));
    EXPECT_TRUE(choosable({"a1", "a2"}, "a")); // A host is never cut off from its own zone alone.
}

TEST(RelaySelectorTest, zonesGetEqualShares)
{
    const auto now = time_point(std::chrono::hours(1));
    relay_selector selector("h0", random_source(1));
    selector.setHosts({{"h1", zone_id("a")}, {"h2", zone_id("a")}, {"h3", zone_id("a")}, {"h4", zone_id("b")}});
    int inB = 0;
    for (int i = 0; i < 1000; ++i) {
        inB += selector.choose({zone_id("a"), zone_id("b")}, {"part"}, 0, now)->zone == zone_id("b") ? 1 : 0;
    }
    EXPECT_NEAR(inB, 500, 80);
}

// Guards against connections that are opened for single calls: hosts that choose independently choose the same few hosts for a part,
// and the next ranked host replaces one in backoff.
TEST(RelaySelectorTest, allHostsChooseTheSameFewHostsForAPart)
{
    const auto now = time_point(std::chrono::hours(1));
    std::vector<relay_host> hosts;
    for (int i = 0; i < 20; ++i) {
        hosts.push_back({"h" + std::to_string(i), zone_id("a")});
    }
    std::vector<std::string> parts;
    for (int i = 0; i < 12; ++i) {
        parts.push_back("part-" + std::to_string(i));
    }
    std::set<std::string> chosen;
    std::set<std::string> afterFailure;
    for (std::uint64_t asking = 0; asking < 50; ++asking) {
        relay_selector selector("other", random_source(asking));
        selector.setHosts(hosts);
        for (int i = 0; i < 10; ++i) {
            chosen.insert(selector.choose({zone_id("a")}, parts, 3, now)->address);
        }
        selector.failed(*chosen.begin(), now);
        for (int i = 0; i < 10; ++i) {
            afterFailure.insert(selector.choose({zone_id("a")}, parts, 3, now)->address);
        }
    }
    EXPECT_EQ(chosen.size(), relay_selector::minCandidates);
    EXPECT_EQ(afterFailure.size(), 2U);
    EXPECT_FALSE(afterFailure.contains(*chosen.begin()));
}

// Guards against a frozen host that gets further searches before its first one times out.
TEST(RelaySelectorTest, choosesTheHostWithTheFewestOutstandingSearches)
{
    const auto now = time_point(std::chrono::hours(1));
    relay_selector selector("other", random_source(1));
    selector.setHosts({{"h1", zone_id("a")}, {"h2", zone_id("a")}});
    selector.sent("h1");
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(selector.choose({zone_id("a")}, {"part"}, 0, now)->address, "h2");
    }
}

// Guards against a host that gathers many parts while others gather none: rendezvous ranks alone give some hosts no part.
TEST(RelaySelectorTest, hostsAreCandidatesForAboutTheSameNumberOfParts)
{
    const auto now = time_point(std::chrono::hours(1));
    relay_selector selector("other", random_source(1));
    std::vector<relay_host> hosts;
    for (int i = 0; i < 20; ++i) {
        hosts.push_back({"h" + std::to_string(i), zone_id("a")});
    }
    selector.setHosts(hosts);
    std::vector<std::string> parts;
    for (int i = 0; i < 12; ++i) {
        parts.push_back("part-" + std::to_string(i));
    }
    std::map<std::string, std::set<std::size_t>> partsOfHost;
    for (std::size_t part = 0; part < parts.size(); ++part) {
        for (int i = 0; i < 20; ++i) {
            partsOfHost[selector.choose({zone_id("a")}, parts, part, now)->address].insert(part);
        }
    }
    EXPECT_GE(partsOfHost.size(), 18U);
    for (const auto &[host, gathered] : partsOfHost) {
        EXPECT_LE(gathered.size(), 2U) << host;
    }
}

TEST(RelaySelectorTest, prefersItselfAsACandidate)
{
    const auto now = time_point(std::chrono::hours(1));
    relay_selector selector("h2", random_source(1));
    selector.setHosts({{"h1", zone_id("a")}, {"h2", zone_id("a")}});
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(selector.choose({zone_id("a")}, {"part"}, 0, now)->address, "h2");
    }
    EXPECT_EQ(selector.choose({zone_id("a")}, {"part"}, 0, now, {"h2"})->address, "h1");
}
