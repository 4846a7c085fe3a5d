#include <fakes/scripted_backends.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

std::string serverId(std::size_t shard, char letter)
{
    return "s" + std::to_string(shard) + "-" + letter;
}

void setAllBehaviours(scripted_backends &backends, std::size_t shards, const scripted_backends::behaviour &behaviour)
{
    for (std::size_t shard = 0; shard < shards; ++shard) {
        backends.setBehaviour(serverId(shard, 'a'), behaviour);
        backends.setBehaviour(serverId(shard, 'b'), behaviour);
    }
}

std::size_t servedCount(const gather_result &result)
{
    return static_cast<std::size_t>(std::count_if(
        result.shards.begin(), result.shards.end(), [](const gathered_shard &shard) { return shard.end == attempt_end::served; }));
}

} // namespace

TEST(GatherRunTest, mergesTheGreatestRecordsOfAllShards)
{
    scripted_backends backends(4, 2);
    for (unsigned shard = 0; shard < 4; ++shard) {
        const scripted_backends::behaviour behaviour{
            milliseconds(5), attempt_end::served, makeRecord(shard) + makeRecord(shard + 10) + "rest"};
        backends.setBehaviour(serverId(shard, 'a'), behaviour);
        backends.setBehaviour(serverId(shard, 'b'), behaviour);
    }
    const auto result = backends.runSearch(backends.makeInput(milliseconds(50), milliseconds(500)));
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.missing, 0U);
    EXPECT_EQ(result.records, makeRecord(13) + makeRecord(12) + makeRecord(11) + makeRecord(10) + makeRecord(3));
    EXPECT_EQ(backends.totalCalls(), 4);
}

// Guards against a search that waits for a paused backend server: one of the two backend servers of a shard pauses for 150 ms.
TEST(GatherRunTest, hedgesAPausedBackendServer)
{
    scripted_backends backends(20, 2);
    setAllBehaviours(backends, 20, {milliseconds(5), attempt_end::served, {}});
    backends.setBehaviour(serverId(3, 'a'), {milliseconds(150), attempt_end::served, {}});
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.hedges, 1U);
    EXPECT_LT(backends.lastDuration(), milliseconds(60));
}

// Guards against hedges that overload the backend servers: when all of them are slow, the extra calls stay within the budget.
TEST(GatherRunTest, hedgesStayWithinTheBudgetWhenAllBackendServersAreSlow)
{
    scripted_backends backends(20, 2, {0.2, 10});
    setAllBehaviours(backends, 20, {milliseconds(5), attempt_end::served, {}});
    for (int i = 0; i < 50; ++i) {
        backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600)));
    }
    setAllBehaviours(backends, 20, {milliseconds(45), attempt_end::served, {}});
    const int before = backends.totalCalls();
    int searches = 0;
    for (int i = 0; i < 50; ++i, ++searches) {
        backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600)));
    }
    const double extra = backends.totalCalls() - before - searches * 20;
    // Two hosts share the slack of 10, so this host has 5 for each of the 20 services.
    EXPECT_LE(extra, 0.2 * searches * 20 + 5 * 20);
}

// Guards against a search that waits beyond the target although the minimum coverage is reached, and against a search that
// answers before the target while shards are missing.
TEST(GatherRunTest, answersAtTheTargetWithEnoughShards)
{
    scripted_backends backends(20, 2);
    setAllBehaviours(backends, 20, {milliseconds(5), attempt_end::served, {}});
    backends.setBehaviour(serverId(3, 'a'), {milliseconds(400), attempt_end::served, {}});
    backends.setBehaviour(serverId(3, 'b'), {milliseconds(400), attempt_end::served, {}});
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(result.missing, 1U);
    EXPECT_EQ(backends.lastDuration(), milliseconds(60));
}

// Guards against a search that fails at the target, or waits for all shards after the target, although the minimum coverage is
// reached before the deadline.
TEST(GatherRunTest, answersAfterTheTargetAsSoonAsTheMinimumCoverageIsReached)
{
    scripted_backends backends(4, 2);
    setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, {}});
    for (const char letter : {'a', 'b'}) {
        backends.setBehaviour(serverId(0, letter), {milliseconds(100), attempt_end::served, {}});
        backends.setBehaviour(serverId(1, letter), {milliseconds(400), attempt_end::served, {}});
    }
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600), 0.75));
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(servedCount(result), 3U);
    EXPECT_EQ(backends.lastDuration(), milliseconds(100));
}

// Guards against a search that runs until its deadline although it can no longer succeed.
TEST(GatherRunTest, failsAtOnceWhenTooFewShardsCanAnswer)
{
    scripted_backends backends(4, 2);
    setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, {}});
    for (const char letter : {'a', 'b'}) {
        backends.setBehaviour(serverId(0, letter), {milliseconds(2), attempt_end::failed, {}});
        backends.setBehaviour(serverId(1, letter), {milliseconds(2), attempt_end::failed, {}});
    }
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600), 0.75));
    EXPECT_EQ(result.end, gather_end::tooFew);
    EXPECT_LE(backends.lastDuration(), milliseconds(10));
}

// Guards against calls for a search that cannot succeed: the answer says that nothing has run, so nothing may be sent.
TEST(GatherRunTest, sendsNothingWhenTooFewShardsAreReachable)
{
    scripted_backends backends(4, 2);
    for (const char letter : {'a', 'b'}) {
        backends.setBehaviour(serverId(0, letter), {milliseconds(1), attempt_end::unreachable, {}});
        backends.setBehaviour(serverId(1, letter), {milliseconds(1), attempt_end::unreachable, {}});
    }
    backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600), 0.75));
    const int before = backends.totalCalls();
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600), 0.75));
    EXPECT_EQ(result.end, gather_end::notStarted);
    EXPECT_EQ(backends.totalCalls(), before);
}

// Guards against a search that is sent although both backend servers of every shard have queues too long for the target.
TEST(GatherRunTest, refusesWhenQueuesAreLongerThanTheTarget)
{
    scripted_backends backends(4, 2);
    for (std::size_t shard = 0; shard < 4; ++shard) {
        for (const auto &server : backends.registry().replicas(service_id("s" + std::to_string(shard)))) {
            server->setReportedLoad({2, 60, 2}, backends.now());
        }
    }
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::overloaded);
    EXPECT_EQ(backends.totalCalls(), 0);
    backends.advanceTime(replica::maxLoadAge + milliseconds(1));
    EXPECT_EQ(backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600))).end, gather_end::complete);
}

// Guards against calls to a shard with too long queues while enough other shards remain; without calls its queues become shorter.
TEST(GatherRunTest, skipsAnOverloadedShardThatIsNotNeeded)
{
    scripted_backends backends(20, 2);
    setAllBehaviours(backends, 20, {milliseconds(5), attempt_end::served, {}});
    for (const auto &server : backends.registry().replicas(service_id("s7"))) {
        server->setReportedLoad({2, 100, 2}, backends.now());
    }
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(result.skipped, 1U);
    EXPECT_EQ(backends.calls("s7-a") + backends.calls("s7-b"), 0);
}

// Guards against calls to more backend servers of a shard than the route allows, also when calls are shed and retried.
RC_GTEST_PROP(GatherRunTest, neverCallsMoreBackendServersThanAllowed, ())
{
    scripted_backends backends(5, 3);
    for (std::size_t shard = 0; shard < 5; ++shard) {
        for (const char letter : {'a', 'b', 'c'}) {
            const auto end = *rc::gen::element(
                attempt_end::served, attempt_end::shed, attempt_end::failed, attempt_end::broken, attempt_end::misdirected);
            backends.setBehaviour(serverId(shard, letter), {milliseconds(*rc::gen::inRange(1, 200)), end, {}});
        }
    }
    const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600), 0.6));
    for (std::size_t shard = 0; shard < 5; ++shard) {
        int called = 0;
        for (const char letter : {'a', 'b', 'c'}) {
            called += backends.calls(serverId(shard, letter)) > 0 ? 1 : 0;
        }
        RC_ASSERT(called <= 2);
    }
    RC_ASSERT(servedCount(result) + result.missing == 5);
    RC_ASSERT(!result.succeeded() || servedCount(result) >= 3);
    RC_ASSERT(backends.lastDuration() <= milliseconds(600));
}

TEST(GatherRunTest, usesTheResultOfTheGatheringHost)
{
    scripted_backends backends(4, 2);
    setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, makeRecord(1)});
    auto input = backends.makeInput(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{2, 3}, zone_id("zb")}};
    bool answered = false;
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        if (run.relayPending(0) && !answered) {
            answered = true;
            run.relayAnswered(0,
                              {gather_end::complete,
                               {{attempt_end::served, "p2", 0}, {attempt_end::served, "p3", 0}},
                               makeRecord(9) + makeRecord(8),
                               0,
                               0},
                              now);
        }
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.records, makeRecord(9) + makeRecord(8) + makeRecord(1) + makeRecord(1));
    EXPECT_EQ(result.shards[2].signature, "p2");
    EXPECT_EQ(backends.calls("s2-a") + backends.calls("s2-b"), 0);
}

// Guards against searches that fail together with the host that gathers a part of them.
TEST(GatherRunTest, callsBackendServersWhenTheGatheringHostIsUnreachable)
{
    scripted_backends backends(4, 2);
    setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, {}});
    auto input = backends.makeInput(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{0, 1, 2, 3}, zone_id("zb")}};
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) { run.relayFailed(0, true, now); });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.retries, 0U);
}

// Guards against waiting until the deadline for a gathering host that does not answer: shortly after the target, this host calls backend
// servers for the shards of that host, and counts the calls as retries. Also guards against such calls when the minimum coverage is
// reached without them: they would be cancelled at the target.
TEST(GatherRunTest, callsBackendServersWhenTheGatheringHostDoesNotAnswer)
{
    for (const double minCoverage : {0.5, 1.0}) {
        scripted_backends backends(4, 2);
        setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, {}});
        auto input = backends.makeInput(milliseconds(60), milliseconds(600), minCoverage);
        input.relays = {relay_part{{2, 3}, zone_id("zb")}};
        const auto result = backends.runSearch(input);
        EXPECT_EQ(result.end, minCoverage < 1 ? gather_end::partial : gather_end::complete);
        EXPECT_EQ(result.retries, minCoverage < 1 ? 0U : 2U);
        EXPECT_LE(backends.lastDuration(),
                  milliseconds(60) + (minCoverage < 1 ? milliseconds(0) : gather_run::maxRelayDelay + milliseconds(6)));
    }
}

// Load pattern: gathering hosts with a quarter of a CPU core answer all at once, shortly before the target, so that answers arrive some
// milliseconds after it. Of 1,251 parts that were given up in 6 s, 1,083 had been answered; their backend servers were then called a
// second time, and searches failed when the budget was used up. Guards against giving up a part that is a little late.
TEST(GatherRunTest, waitsForAPartThatIsALittleLate)
{
    scripted_backends backends(6, 2, {0, 0}); // Without a budget for retries.
    setAllBehaviours(backends, 6, {milliseconds(5), attempt_end::served, makeRecord(1)});
    auto input = backends.makeInput(milliseconds(60), milliseconds(600), 0.95);
    input.relays = {relay_part{{0, 1, 2, 3}, zone_id("zb")}};
    const auto start = backends.now();
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        if (now >= start + milliseconds(60)) {
            const gathered_shard served{attempt_end::served, "p"};
            run.relayAnswered(0, {gather_end::complete, {served, served, served, served}, makeRecord(7)}, now);
        }
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.retries, 0U);
    for (int shard = 0; shard < 4; ++shard) {
        EXPECT_EQ(backends.calls("s" + std::to_string(shard) + "-a") + backends.calls("s" + std::to_string(shard) + "-b"), 0);
    }
}

// Guards against two answers for one shard in a result: once this host calls the backend servers itself, a late result of the
// gathering host is ignored.
TEST(GatherRunTest, ignoresALateResultOfTheGatheringHost)
{
    scripted_backends backends(2, 2);
    setAllBehaviours(backends, 2, {milliseconds(5), attempt_end::served, {}});
    auto input = backends.makeInput(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{0, 1}, zone_id("zb")}};
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        run.relayFailed(0, false, now);
        run.relayAnswered(0, {gather_end::complete, {{attempt_end::served, "x", 0}, {attempt_end::served, "y", 0}}, {}, 0, 0}, now);
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_TRUE(result.shards[0].signature.starts_with("signature-s0"));
}

// Load pattern: 303 hosts share backend servers that take 175 connections. Guards against hosts without a share of them that refuse all
// searches: 72% of the requests were refused although other hosts gather most shards, and none is called for the rest.
TEST(GatherRunTest, hostsWithoutAShareOfTheConnectionsServeSearches)
{
    scripted_backends backends(4, 2);
    setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, makeRecord(1)});
    std::vector<route_service> services;
    for (const char *name : {"s0", "s1", "s2", "s3"}) {
        services.emplace_back();
        services.back().id = service_id(name);
        services.back().maxConnections = 175;
    }
    backends.registry().setRouteTable(*route_table::create(1, {}, services, {}));
    backends.registry().setHosts(host_ranking({}, {}, 303), {303, 303}); // This host has the last rank.
    auto input = backends.makeInput(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{0, 1, 2}, zone_id("zb")}};
    bool first = true;
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        if (std::exchange(first, false)) {
            const gathered_shard served{attempt_end::served, "p"};
            run.relayAnswered(0, {gather_end::complete, {served, served, served}, makeRecord(2)}, now);
        }
    });
    EXPECT_EQ(result.end, gather_end::complete);
}

// Guards against a search that is sent although the load hints show that the relayed shards are overloaded.
TEST(GatherRunTest, refusesByTheLoadHintsOfTheGatheringHost)
{
    scripted_backends backends(4, 2);
    auto input = backends.makeInput(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{1, 2, 3}, zone_id("zb")}};
    for (const char *service : {"s1", "s2", "s3"}) {
        backends.registry().setLoadHint(service_id(service), 50, backends.now());
    }
    EXPECT_EQ(backends.runSearch(input).end, gather_end::overloaded);
}

// Two hosts gather one part each; one answers and the other one fails. Guards against calls for the shards of the host that
// answered, and against missing shards of the host that failed.
TEST(GatherRunTest, callsBackendServersOnlyForThePartOfAFailedHost)
{
    scripted_backends backends(6, 2);
    setAllBehaviours(backends, 6, {milliseconds(5), attempt_end::served, makeRecord(1)});
    auto input = backends.makeInput(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{2, 3}, zone_id("zb")}, relay_part{{4, 5}, zone_id("za")}};
    bool first = true;
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        if (std::exchange(first, false)) {
            run.relayAnswered(
                1, {gather_end::complete, {{attempt_end::served, "p4", 0}, {attempt_end::served, "p5", 0}}, makeRecord(7), 0, 0}, now);
            run.relayFailed(0, true, now);
        }
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.shards[5].signature, "p5");
    EXPECT_TRUE(result.shards[2].signature.starts_with("signature-s2"));
    EXPECT_EQ(backends.calls("s4-a") + backends.calls("s4-b"), 0);
    EXPECT_EQ(result.records.substr(0, recordBytes), makeRecord(7));
}

// Guards against a relayed part that finishes too early and loses shards that would have answered: some of its shards fail, the
// others are slow but in time. With a minimum coverage above 0 the part would finish as soon as that could no longer be reached.
TEST(GatherRunTest, relayedPartWaitsForItsShardsDespiteFailures)
{
    scripted_backends backends(10, 2);
    setAllBehaviours(backends, 10, {milliseconds(30), attempt_end::served, makeRecord(1)});
    for (std::size_t shard = 0; shard < 4; ++shard) {
        backends.setBehaviour(serverId(shard, 'a'), {milliseconds(2), attempt_end::failed, {}});
        backends.setBehaviour(serverId(shard, 'b'), {milliseconds(2), attempt_end::failed, {}});
    }
    auto input = backends.makeInput(milliseconds(60), milliseconds(60), 0);
    input.keepPartial = true;
    const auto result = backends.runSearch(input);
    EXPECT_EQ(servedCount(result), 6U);
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(result.records.size(), 5 * recordBytes);
}

// Guards against two hosts with different entries that together call more backend servers for a request than its route allows.
// One host has lost contact with the source of entries while backend servers are replaced. It gathers a part of a search, its result is
// late, and the asking host calls backend servers itself. The fault was that both together called three backend servers of a shard.
RC_GTEST_PROP(GatherRunTest, twoHostsWithDifferentEntriesCallNoMoreBackendServersThanAllowed, ())
{
    scripted_backends asking(4, 3);
    scripted_backends gathering(4, 3);
    const auto replacements = *rc::gen::inRange(0, 6);
    for (int i = 0; i < replacements; ++i) {
        const auto shard = *rc::gen::inRange(0, 4);
        replica_entry entry;
        entry.id = backend_id(serverId(static_cast<std::size_t>(shard), static_cast<char>('d' + i)));
        entry.service = service_id("s" + std::to_string(shard));
        entry.zone = zone_id(*rc::gen::element<std::string>("za", "zb", "zc"));
        entry.address = "127.0.0.1:1";
        entry.slots = 2;
        auto &changed = *rc::gen::arbitrary<bool>() ? asking : gathering;
        changed.registry().remove(backend_id(serverId(static_cast<std::size_t>(shard), *rc::gen::element('a', 'b', 'c'))), changed.now());
        changed.registry().put(entry, changed.now());
    }
    const bool callsFail = *rc::gen::arbitrary<bool>();
    const bool relayAnswers = *rc::gen::arbitrary<bool>();
    for (auto *host : {&asking, &gathering}) {
        for (std::size_t shard = 0; shard < 4; ++shard) {
            for (char letter = 'a'; letter <= 'i'; ++letter) {
                host->setBehaviour(serverId(shard, letter),
                                   {milliseconds(callsFail ? 2 : 500), callsFail ? attempt_end::failed : attempt_end::served, {}});
            }
        }
    }
    auto input = asking.makeInput(milliseconds(100), milliseconds(600));
    input.relays = {relay_part{{0, 1, 2, 3}, zone_id("zb")}};
    input.preferenceSeed = *rc::gen::arbitrary<std::uint64_t>();
    bool relayed = false;
    asking.runSearch(input, [&](gather_run &run, time_point now) {
        if (std::exchange(relayed, true)) {
            return;
        }
        auto part = gathering.makeInput(milliseconds(90), milliseconds(90), 0);
        part.keepPartial = true;
        part.preferredZone = zone_id("zb");
        part.preferenceSeed = input.preferenceSeed;
        part.knownServers = run.knownServers(0);
        auto result = gathering.runSearch(part);
        if (relayAnswers) {
            run.relayAnswered(0, {result.end, std::move(result.shards), std::move(result.records), 0, 0}, now);
        } else {
            run.relayFailed(0, false, now);
        }
    });
    for (std::size_t shard = 0; shard < 4; ++shard) {
        int calledCount = 0;
        for (char letter = 'a'; letter <= 'i'; ++letter) {
            const auto server = serverId(shard, letter);
            calledCount += asking.calls(server) + gathering.calls(server) > 0 ? 1 : 0;
        }
        RC_ASSERT(calledCount <= 2);
    }
}

// Guards against missing shards when only the asking host has the entries of replaced backend servers. The gathering host has
// lost contact with the source of entries: it has an entry of one known backend server of the first shard, and of none of the second.
TEST(GatherRunTest, gathersFromTheBackendServersThatItHasEntriesOf)
{
    scripted_backends asking(2, 2);
    scripted_backends gathering(2, 2);
    setAllBehaviours(gathering, 2, {milliseconds(5), attempt_end::served, makeRecord(1)});
    for (const char *replaced : {"s0-a", "s1-a", "s1-b"}) {
        auto entry = asking.registry().replicas(service_id(std::string(replaced, 2))).front()->entry();
        asking.registry().remove(backend_id(replaced), asking.now());
        entry.id = backend_id(replaced + std::string("-new"));
        asking.registry().put(entry, asking.now());
    }
    auto input = asking.makeInput(milliseconds(100), milliseconds(600));
    input.relays = {relay_part{{0, 1}, zone_id("zb")}};
    gather_run run(input, asking.registry(), asking.profile());
    auto part = gathering.makeInput(milliseconds(90), milliseconds(90), 0);
    part.preferredZone = zone_id("zb");
    part.knownServers = run.knownServers(0);
    EXPECT_EQ(gathering.runSearch(part).end, gather_end::complete);
    EXPECT_EQ(gathering.calls("s0-a"), 0);
    EXPECT_EQ(gathering.calls("s0-b"), 1);
    EXPECT_EQ(gathering.calls("s1-a") + gathering.calls("s1-b"), 1);
}

// Guards against a gathering host that calls cold backend servers without their limit, because it has lost contact with the source of
// entries and only the asking host has seen that they are cold; and against a cold time that grows when hosts tell it to each other.
TEST(GatherRunTest, keepsTheLimitOfBackendServersThatTheAskingHostKnowsToBeCold)
{
    scripted_backends asking(1, 1);
    scripted_backends gathering(1, 1);
    route_service limits;
    limits.id = service_id("s0");
    limits.maxColdRequestsPerSecond = 2;
    for (auto *backends : {&asking, &gathering}) {
        backends->registry().setRouteTable(*route_table::create(1, {}, {limits}, {}));
    }
    asking.registry().replicas(limits.id).front()->setCold(milliseconds(3000), asking.now());
    auto input = asking.makeInput(milliseconds(100), milliseconds(600));
    input.relays = {relay_part{{0}, zone_id("zb")}};
    for (int search = 0; search < 20; ++search) {
        gather_run run(input, asking.registry(), asking.profile());
        auto part = gathering.makeInput(milliseconds(30), milliseconds(30), 0);
        part.preferredZone = zone_id("zb");
        part.knownServers = run.knownServers(0);
        part.knownColdTimes = run.knownColdTimes(0, asking.now());
        gathering.runSearch(part);
    }
    EXPECT_LE(gathering.totalCalls(), 4); // (2 * 1.5 + 5) / 2
    EXPECT_TRUE(gathering.registry().replicas(limits.id).front()->cold(gathering.now()));
    EXPECT_EQ(gathering.registry().replicas(limits.id).front()->seenColdTime(gathering.now()), milliseconds(0));
}

// Load pattern: a zone has gone dark, 15% of the other backend servers are ten times slower, and each shard has three. The gathering host
// knows their state, because it calls them for all hosts; the asking host does not. Guards against a shard that is lost although one of
// its backend servers is well: the asking host named two of the three by hash, and 5 to 10% of the shards were lost.
TEST(GatherRunTest, theGatheringHostCallsTheBackendServerThatIsWell)
{
    scripted_backends asking(6, 3);
    scripted_backends gathering(6, 3);
    for (std::size_t shard = 0; shard < 6; ++shard) {
        const auto well = static_cast<char>('a' + shard % 3);
        for (char letter = 'a'; letter <= 'c'; ++letter) {
            auto server = gathering.registry().replicas(service_id("s" + std::to_string(shard)))[static_cast<std::size_t>(letter - 'a')];
            if (letter != well) {
                server->callSent(1000, milliseconds(5), gathering.now());
                server->callEnded(1000, attempt_end::unreachable, {}, milliseconds(5), gathering.now());
                gathering.setBehaviour(serverId(shard, letter), {milliseconds(5), attempt_end::unreachable, {}});
            } else {
                gathering.setBehaviour(serverId(shard, letter), {milliseconds(5), attempt_end::served, makeRecord(1)});
            }
        }
    }
    auto input = asking.makeInput(milliseconds(100), milliseconds(600));
    input.relays = {relay_part{{0, 1, 2, 3, 4, 5}, zone_id("zb")}};
    gather_run run(input, asking.registry(), asking.profile());
    auto part = gathering.makeInput(milliseconds(90), milliseconds(90), 0);
    part.keepPartial = true;
    part.preferredZone = zone_id("zb");
    part.knownServers = run.knownServers(0);
    const auto result = gathering.runSearch(part);
    EXPECT_EQ(servedCount(result), 6U);
    EXPECT_EQ(gathering.totalCalls(), 6);
}

// Load pattern: on a day with trouble, one of 90 shards is a few milliseconds late at its gathering host. Guards against a search that
// gives up long before its deadline, and against repeated work: the call that is outstanding at the gathering host goes on.
TEST(GatherRunTest, resumesAShardThatIsLateAtTheGatheringHost)
{
    scripted_backends backends(4, 2);
    auto input = backends.makeInput(milliseconds(60), milliseconds(600), 1);
    input.relays = {relay_part{{0, 1}, zone_id("zb")}, relay_part{{2, 3}, zone_id("zb")}};
    int step = 0;
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        if (step == 0) {
            ++step;
            run.relayAnswered(0, {gather_end::partial, {{attempt_end::served, "p0"}, {attempt_end::timedOut, {}}}, makeRecord(1)}, now);
            EXPECT_TRUE(run.takeResumes().empty()); // The other part may still be enough.
            EXPECT_FALSE(run.finished());
            run.relayAnswered(1, {gather_end::complete, {{attempt_end::served, "p2"}, {attempt_end::served, "p3"}}, makeRecord(2)}, now);
        } else if (step == 1) {
            ++step;
            const auto resumes = run.takeResumes();
            ASSERT_EQ(resumes.size(), 1U);
            EXPECT_EQ(resumes.front().part, 0U);
            EXPECT_EQ(resumes.front().neededShards, 1U);
            run.relayResumed(
                0, relay_result{gather_end::complete, {{attempt_end::abandoned, {}}, {attempt_end::served, "p1"}}, makeRecord(3)}, now);
        }
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.shards[0].signature, "p0");
    EXPECT_EQ(result.shards[1].signature, "p1");
    EXPECT_EQ(result.records, makeRecord(3) + makeRecord(2) + makeRecord(1));
    EXPECT_EQ(backends.totalCalls(), 0);
}

// Guards against a search that gives up when a shard has also failed after its part was resumed, although another backend server of the
// shard could serve it, and against a shard that failed at its gathering host while another part was pending.
TEST(GatherRunTest, callsBackendServersForShardsThatTheGatheringHostCannotServe)
{
    for (const auto end : {attempt_end::timedOut, attempt_end::shed}) {
        scripted_backends backends(4, 3);
        setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, makeRecord(9)});
        auto input = backends.makeInput(milliseconds(60), milliseconds(600), 1);
        input.maxServers = 3;
        input.relays = {relay_part{{0, 1}, zone_id("zb")}, relay_part{{2, 3}, zone_id("zb")}};
        bool first = true;
        const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
            if (std::exchange(first, false)) {
                run.relayAnswered(0, {gather_end::partial, {{attempt_end::served, "p0"}, {end, {}}}, makeRecord(1)}, now);
                run.relayAnswered(1, {gather_end::complete, {{attempt_end::served, "p2"}, {attempt_end::served, "p3"}}, {}}, now);
            }
            for (const auto &resume : run.takeResumes()) {
                EXPECT_EQ(end, attempt_end::timedOut); // There is nothing to resume after a refusal.
                run.relayResumed(resume.part, std::nullopt, now);
            }
        });
        EXPECT_EQ(result.end, gather_end::complete);
        EXPECT_EQ(result.retries, 1U);
        EXPECT_EQ(backends.totalCalls(), 1);
    }
}

// Guards against extra work for a search that has its minimum coverage: nothing is resumed or called again.
TEST(GatherRunTest, doesNotResumeWhenTheMinimumCoverageIsReached)
{
    scripted_backends backends(4, 2);
    auto input = backends.makeInput(milliseconds(60), milliseconds(600), 0.75);
    input.relays = {relay_part{{0, 1, 2, 3}, zone_id("zb")}};
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        const gathered_shard served{attempt_end::served, "p"};
        run.relayAnswered(0, {gather_end::partial, {served, served, served, {attempt_end::timedOut, {}}}, {}}, now);
        EXPECT_TRUE(run.takeResumes().empty());
    });
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(backends.totalCalls(), 0);
}

// Guards against a record that two results of one part contain, against an answer lost between them, and against a gathering host that
// answers late: it sends what it has at its target, and on request what has come in since.
TEST(GatherRunTest, aResumableRunDeliversEachShardOnce)
{
    scripted_backends backends(4, 1);
    auto input = backends.makeInput(milliseconds(50), milliseconds(100), 0);
    input.keepPartial = true;
    input.resumable = true;
    gather_run run(input, backends.registry(), backends.profile());
    const auto start = backends.now();
    const auto answer = [&](std::uint64_t attempt, unsigned record, milliseconds after) {
        run.callEnded(attempt, {attempt_end::served, "p" + std::to_string(record), makeRecord(record), after}, start + after);
    };
    run.start(start);
    ASSERT_EQ(run.takeCalls().size(), 4U);
    answer(0, 1, milliseconds(20));
    run.wakeup(start + milliseconds(50));
    ASSERT_TRUE(run.finished());
    auto result = run.takeResult();
    EXPECT_EQ(result.records, makeRecord(1));
    EXPECT_EQ(result.shards[1].end, attempt_end::timedOut);

    answer(1, 2, milliseconds(55)); // Between the two results.
    run.callEnded(2, {attempt_end::broken, {}, {}, milliseconds(56)}, start + milliseconds(56));
    EXPECT_TRUE(run.takeCalls().empty()); // Nobody waits for a retry.
    run.resume(2, start + milliseconds(60));
    EXPECT_FALSE(run.finished());
    answer(3, 3, milliseconds(70));
    ASSERT_TRUE(run.finished());
    result = run.takeResult();
    EXPECT_EQ(result.records, makeRecord(3) + makeRecord(2));
    EXPECT_EQ(result.shards[0].end, attempt_end::abandoned);
    EXPECT_TRUE(result.shards[0].signature.empty());
    EXPECT_EQ(result.shards[1].signature, "p2");
    EXPECT_EQ(result.shards[2].end, attempt_end::broken);
    EXPECT_EQ(result.shards[3].signature, "p3");
}

// Load pattern: a gathering host was slow for 5 s and has measured latencies of its own slowness; it then refuses every part, and each
// search that asks it fails. Guards against a search that gives up because one host refuses a part, and against calls to backend
// servers whose queues are too long.
TEST(GatherRunTest, callsBackendServersWhenASlowHostRefusesAPart)
{
    for (const double loadFactor : {1.0, 100.0}) {
        scripted_backends backends(4, 2);
        setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, makeRecord(1)});
        auto input = backends.makeInput(milliseconds(60), milliseconds(600), 1);
        input.relays = {relay_part{{0, 1}, zone_id("zb")}};
        bool first = true;
        const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
            if (std::exchange(first, false)) {
                const gathered_shard refused{attempt_end::timedOut, {}, loadFactor};
                EXPECT_EQ(run.relayAnswered(0, {gather_end::overloaded, {refused, refused}, {}}, now), loadFactor > 1);
            }
        });
        EXPECT_EQ(result.end, loadFactor > 1 ? gather_end::tooFew : gather_end::complete);
        EXPECT_EQ(backends.calls("s0-a") + backends.calls("s0-b"), loadFactor > 1 ? 0 : 1);
    }
}

// Guards against a host that refuses a kind of search for good: without calls it gets no samples that lower its estimate.
TEST(LatencyProfileTest, dropsAHighEstimateWithoutRecentSamples)
{
    const auto start = time_point(std::chrono::hours(1));
    latency_profile profile(milliseconds(10));
    for (int i = 0; i < 3000; ++i) {
        profile.record(milliseconds(200), start);
    }
    EXPECT_GT(profile.unqueuedLatency(start + latency_profile::maxSampleAge), milliseconds(150));
    const auto later = start + latency_profile::maxSampleAge + milliseconds(1);
    EXPECT_EQ(profile.unqueuedLatency(later), milliseconds(10));
    for (int i = 0; i < 64; ++i) {
        profile.record(milliseconds(20), later);
    }
    EXPECT_LT(profile.unqueuedLatency(later), milliseconds(30));
}

// Guards against a shard that is in the result twice: a resumed part may only bring the shards that were asked for.
TEST(GatherRunTest, ignoresAResumedPartWithOtherShards)
{
    scripted_backends backends(2, 3);
    setAllBehaviours(backends, 2, {milliseconds(5), attempt_end::served, makeRecord(9)});
    backends.setBehaviour("s1-c", {milliseconds(5), attempt_end::served, makeRecord(9)});
    auto input = backends.makeInput(milliseconds(60), milliseconds(600), 1);
    input.maxServers = 3;
    input.relays = {relay_part{{0, 1}, zone_id("zb")}};
    bool first = true;
    const auto result = backends.runSearch(input, [&](gather_run &run, time_point now) {
        if (std::exchange(first, false)) {
            run.relayAnswered(0, {gather_end::partial, {{attempt_end::served, "p0"}, {attempt_end::timedOut, {}}}, makeRecord(1)}, now);
        }
        for (const auto &resume : run.takeResumes()) {
            const gathered_shard again{attempt_end::served, "again"};
            run.relayResumed(resume.part, relay_result{gather_end::complete, {again, again}, makeRecord(1) + makeRecord(2)}, now);
        }
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.shards[0].signature, "p0");
    EXPECT_EQ(result.records, makeRecord(9) + makeRecord(1));
}

// Load pattern: an overload in which all backend servers of some shards refuse calls and ask for quiet. Guards against searches that feed
// it with retries, hedges or first calls, that hold their callers, or that do not tell when they can be served; and against searches of
// other shards that are refused with them.
TEST(GatherRunTest, anOverloadThatAsksForQuietDoesNotFeedItself)
{
    scripted_backends backends(4, 2);
    setAllBehaviours(backends, 4, {milliseconds(5), attempt_end::served, {}});
    for (std::size_t shard = 0; shard < 2; ++shard) {
        for (const char letter : {'a', 'b'}) {
            backends.server(serverId(shard, letter))->setQuietUntil(backends.now() + milliseconds(shard == 0 ? 700 : 900));
        }
    }
    const int before = backends.totalCalls();
    for (int search = 0; search < 200; ++search) {
        const auto result = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600), 0.75));
        EXPECT_EQ(result.end, gather_end::notStarted);
        EXPECT_EQ(result.reachableIn, milliseconds(700));
        EXPECT_EQ(result.retries + result.hedges, 0U);
    }
    EXPECT_EQ(backends.totalCalls(), before);
    const auto other = backends.runSearch(backends.makeInput(milliseconds(60), milliseconds(600), 0.5));
    EXPECT_EQ(other.end, gather_end::partial);
    EXPECT_EQ(other.missing, 2U);
    EXPECT_EQ(backends.totalCalls(), before + 2);
}
