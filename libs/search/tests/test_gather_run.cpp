#include <fakes/scripted_backends.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

std::string serverOf(std::size_t shard, char letter)
{
    return "s" + std::to_string(shard) + "-" + letter;
}

void scriptAll(scripted_backends &backends, std::size_t shards, const scripted_backends::behaviour &what)
{
    for (std::size_t shard = 0; shard < shards; ++shard) {
        backends.script(serverOf(shard, 'a'), what);
        backends.script(serverOf(shard, 'b'), what);
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
        const scripted_backends::behaviour what{milliseconds(5), attempt_end::served, makeRecord(shard) + makeRecord(shard + 10) + "rest"};
        backends.script(serverOf(shard, 'a'), what);
        backends.script(serverOf(shard, 'b'), what);
    }
    const auto result = backends.play(backends.search(milliseconds(50), milliseconds(500)));
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.missing, 0U);
    EXPECT_EQ(result.records, makeRecord(13) + makeRecord(12) + makeRecord(11) + makeRecord(10) + makeRecord(3));
    EXPECT_EQ(backends.allCalls(), 4);
}

// Guards against a search that waits for a backend server which stands still. The pattern: one of two pauses for 150 ms.
TEST(GatherRunTest, hedgesAPausedBackendServer)
{
    scripted_backends backends(20, 2);
    scriptAll(backends, 20, {milliseconds(5), attempt_end::served, {}});
    backends.script(serverOf(3, 'a'), {milliseconds(150), attempt_end::served, {}});
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.hedges, 1U);
    EXPECT_LT(backends.lasted(), milliseconds(60));
}

// Guards against hedges as load: when every backend server is slow, the calls beyond the first stay within the budget.
TEST(GatherRunTest, hedgesStayWithinTheBudgetWhenAllAreSlow)
{
    scripted_backends backends(20, 2, {0.2, 10});
    scriptAll(backends, 20, {milliseconds(5), attempt_end::served, {}});
    for (int i = 0; i < 50; ++i) {
        backends.play(backends.search(milliseconds(60), milliseconds(600)));
    }
    scriptAll(backends, 20, {milliseconds(45), attempt_end::served, {}});
    const int before = backends.allCalls();
    int searches = 0;
    for (int i = 0; i < 50; ++i, ++searches) {
        backends.play(backends.search(milliseconds(60), milliseconds(600)));
    }
    const double extra = backends.allCalls() - before - searches * 20;
    // Each of two hosts has half the slack; 20 services.
    EXPECT_LE(extra, 0.2 * searches * 20 + 5 * 20);
}

// Guards against an answer that is held back although it loses nothing by leaving, and against one that is given up early.
TEST(GatherRunTest, answersAtTheTargetWithEnoughShards)
{
    scripted_backends backends(20, 2);
    scriptAll(backends, 20, {milliseconds(5), attempt_end::served, {}});
    backends.script(serverOf(3, 'a'), {milliseconds(400), attempt_end::served, {}});
    backends.script(serverOf(3, 'b'), {milliseconds(400), attempt_end::served, {}});
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(result.missing, 1U);
    EXPECT_EQ(backends.lasted(), milliseconds(60));
}

// After the target, the answer leaves as soon as the least coverage is met.
TEST(GatherRunTest, answersLateAsSoonAsTheLeastCoverageIsMet)
{
    scripted_backends backends(4, 2);
    scriptAll(backends, 4, {milliseconds(5), attempt_end::served, {}});
    for (const char letter : {'a', 'b'}) {
        backends.script(serverOf(0, letter), {milliseconds(100), attempt_end::served, {}});
        backends.script(serverOf(1, letter), {milliseconds(400), attempt_end::served, {}});
    }
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600), 0.75));
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(servedCount(result), 3U);
    EXPECT_EQ(backends.lasted(), milliseconds(100));
}

// Guards against a search that is held to its deadline after it can no longer succeed.
TEST(GatherRunTest, failsAtOnceWhenTooFewShardsCanAnswer)
{
    scripted_backends backends(4, 2);
    scriptAll(backends, 4, {milliseconds(5), attempt_end::served, {}});
    for (const char letter : {'a', 'b'}) {
        backends.script(serverOf(0, letter), {milliseconds(2), attempt_end::failed, {}});
        backends.script(serverOf(1, letter), {milliseconds(2), attempt_end::failed, {}});
    }
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600), 0.75));
    EXPECT_EQ(result.end, gather_end::tooFew);
    EXPECT_LE(backends.lasted(), milliseconds(10));
}

// Guards against sending a search that cannot succeed: nothing may run when the answer says that nothing has.
TEST(GatherRunTest, sendsNothingWhenTooFewShardsAreReachable)
{
    scripted_backends backends(4, 2);
    for (const char letter : {'a', 'b'}) {
        backends.script(serverOf(0, letter), {milliseconds(1), attempt_end::unreachable, {}});
        backends.script(serverOf(1, letter), {milliseconds(1), attempt_end::unreachable, {}});
    }
    backends.play(backends.search(milliseconds(60), milliseconds(600), 0.75));
    const int before = backends.allCalls();
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600), 0.75));
    EXPECT_EQ(result.end, gather_end::notStarted);
    EXPECT_EQ(backends.allCalls(), before);
}

// The pattern: both backend servers of many shards have long queues. The search is refused instead of being late.
TEST(GatherRunTest, refusesWhenQueuesAreLongerThanTheTarget)
{
    scripted_backends backends(4, 2);
    for (std::size_t shard = 0; shard < 4; ++shard) {
        for (const auto &server : backends.board().replicas(service_id("s" + std::to_string(shard)))) {
            server->reported({2, 60, 2}, backends.now());
        }
    }
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::overloaded);
    EXPECT_EQ(backends.allCalls(), 0);
    backends.pass(replica::maxLoadAge + milliseconds(1));
    EXPECT_EQ(backends.play(backends.search(milliseconds(60), milliseconds(600))).end, gather_end::complete);
}

// A shard whose queue is too long is left out while enough others remain, so that it recovers.
TEST(GatherRunTest, doesNotAskAnOverloadedShardThatIsNotNeeded)
{
    scripted_backends backends(20, 2);
    scriptAll(backends, 20, {milliseconds(5), attempt_end::served, {}});
    for (const auto &server : backends.board().replicas(service_id("s7"))) {
        server->reported({2, 100, 2}, backends.now());
    }
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600)));
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(result.skipped, 1U);
    EXPECT_EQ(backends.calls("s7-a") + backends.calls("s7-b"), 0);
}

// Guards against more backend servers of a shard than the route allows, also when calls are shed and repeated.
RC_GTEST_PROP(GatherRunTest, neverAsksMoreBackendServersThanAllowed, ())
{
    scripted_backends backends(5, 3);
    for (std::size_t shard = 0; shard < 5; ++shard) {
        for (const char letter : {'a', 'b', 'c'}) {
            const auto end = *rc::gen::element(
                attempt_end::served, attempt_end::shed, attempt_end::failed, attempt_end::broken, attempt_end::misdirected);
            backends.script(serverOf(shard, letter), {milliseconds(*rc::gen::inRange(1, 200)), end, {}});
        }
    }
    const auto result = backends.play(backends.search(milliseconds(60), milliseconds(600), 0.6));
    for (std::size_t shard = 0; shard < 5; ++shard) {
        int asked = 0;
        for (const char letter : {'a', 'b', 'c'}) {
            asked += backends.calls(serverOf(shard, letter)) > 0 ? 1 : 0;
        }
        RC_ASSERT(asked <= 2);
    }
    RC_ASSERT(servedCount(result) + result.missing == 5);
    RC_ASSERT(!result.succeeded() || servedCount(result) >= 3);
    RC_ASSERT(backends.lasted() <= milliseconds(600));
}

TEST(GatherRunTest, usesWhatTheOtherHostGathered)
{
    scripted_backends backends(4, 2);
    scriptAll(backends, 4, {milliseconds(5), attempt_end::served, makeRecord(1)});
    auto input = backends.search(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{2, 3}, zone_id("zb")}};
    bool answered = false;
    const auto result = backends.play(input, [&](gather_run &run, time_point now) {
        if (run.relayOpen(0) && !answered) {
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
    EXPECT_EQ(result.shards[2].proof, "p2");
    EXPECT_EQ(backends.calls("s2-a") + backends.calls("s2-b"), 0);
}

// Guards against searches that are lost with the host that gathers a part of them.
TEST(GatherRunTest, asksDirectlyWhenTheOtherHostCannotBeReached)
{
    scripted_backends backends(4, 2);
    scriptAll(backends, 4, {milliseconds(5), attempt_end::served, {}});
    auto input = backends.search(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{0, 1, 2, 3}, zone_id("zb")}};
    const auto result = backends.play(input, [&](gather_run &run, time_point now) { run.relayFailed(0, true, now); });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.retries, 0U);
}

// The other host is silent: the shards are asked directly before the target passes, as extra calls.
TEST(GatherRunTest, asksDirectlyWhenTheOtherHostIsSilent)
{
    scripted_backends backends(4, 2);
    scriptAll(backends, 4, {milliseconds(5), attempt_end::served, {}});
    auto input = backends.search(milliseconds(60), milliseconds(600), 0.5);
    input.relays = {relay_part{{2, 3}, zone_id("zb")}};
    const auto result = backends.play(input);
    EXPECT_TRUE(result.succeeded());
    EXPECT_EQ(result.retries, 2U);
    EXPECT_LE(backends.lasted(), milliseconds(66));
}

// Guards against two answers of one shard in a result: a late answer of the other host is ignored after the fallback.
TEST(GatherRunTest, ignoresTheOtherHostAfterTheFallback)
{
    scripted_backends backends(2, 2);
    scriptAll(backends, 2, {milliseconds(5), attempt_end::served, {}});
    auto input = backends.search(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{0, 1}, zone_id("zb")}};
    const auto result = backends.play(input, [&](gather_run &run, time_point now) {
        run.relayFailed(0, false, now);
        run.relayAnswered(0, {gather_end::complete, {{attempt_end::served, "x", 0}, {attempt_end::served, "y", 0}}, {}, 0, 0}, now);
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_TRUE(result.shards[0].proof.starts_with("proof-s0"));
}

// Guards against a search that is sent although the other host's shards are overloaded: their hints count.
TEST(GatherRunTest, refusesByTheHintsOfTheOtherHost)
{
    scripted_backends backends(4, 2);
    auto input = backends.search(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{1, 2, 3}, zone_id("zb")}};
    for (const char *service : {"s1", "s2", "s3"}) {
        backends.board().setLoadHint(service_id(service), 50, backends.now());
    }
    EXPECT_EQ(backends.play(input).end, gather_end::overloaded);
}

// The pattern: one of two hosts that gather is lost. Its shards are asked directly; those of the other count as they are.
TEST(GatherRunTest, losesOnlyThePartOfALostHost)
{
    scripted_backends backends(6, 2);
    scriptAll(backends, 6, {milliseconds(5), attempt_end::served, makeRecord(1)});
    auto input = backends.search(milliseconds(60), milliseconds(600));
    input.relays = {relay_part{{2, 3}, zone_id("zb")}, relay_part{{4, 5}, zone_id("za")}};
    bool first = true;
    const auto result = backends.play(input, [&](gather_run &run, time_point now) {
        if (std::exchange(first, false)) {
            run.relayAnswered(
                1, {gather_end::complete, {{attempt_end::served, "p4", 0}, {attempt_end::served, "p5", 0}}, makeRecord(7), 0, 0}, now);
            run.relayFailed(0, true, now);
        }
    });
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.shards[5].proof, "p5");
    EXPECT_TRUE(result.shards[2].proof.starts_with("proof-s2"));
    EXPECT_EQ(backends.calls("s4-a") + backends.calls("s4-b"), 0);
    EXPECT_EQ(result.records.substr(0, recordBytes), makeRecord(7));
}

// Guards against a part that ends early for another host, and loses shards that would have answered: some of its shards fail,
// the others are slow but in time. With a least coverage of its own, the part ended as soon as that could not be met.
TEST(GatherRunTest, aPartWaitsForItsShardsWhateverFails)
{
    scripted_backends backends(10, 2);
    scriptAll(backends, 10, {milliseconds(30), attempt_end::served, makeRecord(1)});
    for (std::size_t shard = 0; shard < 4; ++shard) {
        backends.script(serverOf(shard, 'a'), {milliseconds(2), attempt_end::failed, {}});
        backends.script(serverOf(shard, 'b'), {milliseconds(2), attempt_end::failed, {}});
    }
    auto input = backends.search(milliseconds(60), milliseconds(60), 0);
    input.keepPartial = true;
    const auto result = backends.play(input);
    EXPECT_EQ(servedCount(result), 6U);
    EXPECT_EQ(result.end, gather_end::partial);
    EXPECT_EQ(result.records.size(), 5 * recordBytes);
}

// Guards against more backend servers for one request than its route allows, asked by two hosts with different entries. The
// pattern: one host has lost the source of entries while backend servers are replaced; it gathers a part of a search, its
// answer is late, and the host that asked goes on itself. Both together reached three backend servers of a shard.
RC_GTEST_PROP(GatherRunTest, twoHostsWithDifferentEntriesAskNoMoreBackendServersThanAllowed, ())
{
    scripted_backends asking(4, 3);
    scripted_backends gathering(4, 3);
    const auto changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes; ++i) {
        const auto shard = *rc::gen::inRange(0, 4);
        replica_entry entry;
        entry.id = backend_id(serverOf(static_cast<std::size_t>(shard), static_cast<char>('d' + i)));
        entry.service = service_id("s" + std::to_string(shard));
        entry.zone = zone_id(*rc::gen::element<std::string>("za", "zb", "zc"));
        entry.address = "127.0.0.1:1";
        entry.slots = 2;
        auto &changed = *rc::gen::arbitrary<bool>() ? asking : gathering;
        changed.board().remove(backend_id(serverOf(static_cast<std::size_t>(shard), *rc::gen::element('a', 'b', 'c'))), changed.now());
        changed.board().put(entry, changed.now());
    }
    const bool fails = *rc::gen::arbitrary<bool>();
    const bool answers = *rc::gen::arbitrary<bool>();
    for (auto *host : {&asking, &gathering}) {
        for (std::size_t shard = 0; shard < 4; ++shard) {
            for (char letter = 'a'; letter <= 'i'; ++letter) {
                host->script(serverOf(shard, letter),
                             {milliseconds(fails ? 2 : 500), fails ? attempt_end::failed : attempt_end::served, {}});
            }
        }
    }
    auto input = asking.search(milliseconds(100), milliseconds(600));
    input.relays = {relay_part{{0, 1, 2, 3}, zone_id("zb")}};
    input.preferenceSeed = *rc::gen::arbitrary<std::uint64_t>();
    bool relayed = false;
    asking.play(input, [&](gather_run &run, time_point now) {
        if (std::exchange(relayed, true)) {
            return;
        }
        auto part = gathering.search(milliseconds(90), milliseconds(90), 0);
        part.keepPartial = true;
        part.preferredZone = zone_id("zb");
        part.preferenceSeed = input.preferenceSeed;
        part.allowedServers = run.allowedServers(0);
        auto result = gathering.play(part);
        if (answers) {
            run.relayAnswered(0, {result.end, std::move(result.shards), std::move(result.records), 0, 0}, now);
        } else {
            run.relayFailed(0, false, now);
        }
    });
    for (std::size_t shard = 0; shard < 4; ++shard) {
        int reached = 0;
        for (char letter = 'a'; letter <= 'i'; ++letter) {
            const auto server = serverOf(shard, letter);
            reached += asking.calls(server) + gathering.calls(server) > 0 ? 1 : 0;
        }
        RC_ASSERT(reached <= 2);
    }
}

// Guards against shards that are lost because only the asking host knows their replaced backend servers. The pattern: the host
// that gathers has lost the source of entries; of one shard it knows one of the allowed ones, of another one none.
TEST(GatherRunTest, gathersWithTheBackendServersItKnows)
{
    scripted_backends asking(2, 2);
    scripted_backends gathering(2, 2);
    scriptAll(gathering, 2, {milliseconds(5), attempt_end::served, makeRecord(1)});
    for (const char *replaced : {"s0-a", "s1-a", "s1-b"}) {
        auto entry = asking.board().replicas(service_id(std::string(replaced, 2))).front()->entry();
        asking.board().remove(backend_id(replaced), asking.now());
        entry.id = backend_id(replaced + std::string("-new"));
        asking.board().put(entry, asking.now());
    }
    auto input = asking.search(milliseconds(100), milliseconds(600));
    input.relays = {relay_part{{0, 1}, zone_id("zb")}};
    gather_run run(input, asking.board(), asking.profile());
    auto part = gathering.search(milliseconds(90), milliseconds(90), 0);
    part.preferredZone = zone_id("zb");
    part.allowedServers = run.allowedServers(0);
    EXPECT_EQ(gathering.play(part).end, gather_end::complete);
    EXPECT_EQ(gathering.calls("s0-a"), 0);
    EXPECT_EQ(gathering.calls("s0-b"), 1);
    EXPECT_EQ(gathering.calls("s1-a") + gathering.calls("s1-b"), 1);
}
