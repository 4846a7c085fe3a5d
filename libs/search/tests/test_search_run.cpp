#include "fakes/fake_fanout.h"

#include <search/search_run.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <utility>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const time_point begin{std::chrono::hours(1)};

search_layout makeLayout(std::uint32_t number, std::size_t shards, std::size_t replicas, const std::string &prefix)
{
    search_layout layout{number, {}};
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const auto name = prefix + std::to_string(shard);
        search_shard definition{shard_id(name), {}};
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            const auto zone = "z" + std::to_string(replica);
            definition.replicas.push_back({backend_id(name + "-" + std::to_string(replica)),
                                           zone_id(zone),
                                           group_id("s/" + zone + "/" + std::to_string(shard / 8)),
                                           false});
        }
        layout.shards.push_back(std::move(definition));
    }
    return layout;
}

std::shared_ptr<const search_topology> makeTopology(std::vector<search_layout> layouts)
{
    auto topology = search_topology::create(service_id("parts"), std::move(layouts));
    EXPECT_TRUE(topology.has_value());
    return std::make_shared<const search_topology>(std::move(*topology));
}

void setHeldEverywhere(fake_fanout &fanout,
                       service_stats *stats,
                       const search_layout &layout,
                       const std::vector<snapshot_ref> &heldSnapshots)
{
    backend_report report;
    report.state = backend_state::warm;
    report.slots = 2;
    report.heldSnapshots = heldSnapshots;
    for (const auto &shard : layout.shards) {
        for (const auto &replica : shard.replicas) {
            fanout.setHeldSnapshots(replica.backend, heldSnapshots);
            if (stats != nullptr) {
                stats->recordReport(replica.backend, report, begin);
            }
        }
    }
}

search_input makeInput(std::chrono::milliseconds timeLimit, double minCoverage = 1.0)
{
    search_input input;
    input.request = request_id("r1");
    input.policy.minCoverage = minCoverage;
    input.deadline = begin + timeLimit;
    return input;
}

// Returns a full answer to an attempt.
shard_answer fullAnswer(const send_attempt &attempt)
{
    shard_answer answer;
    answer.attempt = attempt.attempt;
    answer.backend = attempt.replica->backend;
    answer.shard = *attempt.shard;
    answer.snapshot = attempt.snapshot;
    answer.status = shard_status::answered;
    answer.hits = fake_fanout::hitsOf(attempt.snapshot, *attempt.shard);
    return answer;
}

std::vector<send_attempt> takeSends(search_run &run)
{
    std::vector<search_action> actions;
    run.takeActions(actions);
    std::vector<send_attempt> sends;
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<send_attempt>(&action)) {
            sends.push_back(*send);
        }
    }
    return sends;
}

std::optional<search_result> takeResult(search_run &run)
{
    std::vector<search_action> actions;
    run.takeActions(actions);
    for (auto &action : actions) {
        if (auto *finish = std::get_if<finish_search>(&action)) {
            return finish->result;
        }
    }
    return std::nullopt;
}

// Checks a result against the answers that the fakes delivered. Returns the first rule that it violates, or nothing.
std::optional<std::string> findViolation(const fake_fanout::outcome &observed, const search_input &input, const search_topology &topology)
{
    const auto &result = observed.result;
    if (observed.finishes != 1U) {
        return "the run did not finish exactly once";
    }
    if (!(observed.finishedAt <= std::max(begin, input.deadline - search_run::answerMargin))) {
        return "the result was returned too late";
    }
    const auto layout = std::find_if(topology.layouts().begin(), topology.layouts().end(), [&result](const auto &entry) {
        return entry.number == result.snapshot.layout;
    });
    if (!(layout != topology.layouts().end())) {
        return "the layout of the result is not configured";
    }
    if (result.shardsTotal != layout->shards.size()) {
        return "the number of shards is wrong";
    }
    if (result.shardsAnswered + result.missing.size() != result.shardsTotal) {
        return "answered and missing shards do not add up to all shards";
    }
    if (result.shardsAnswered != observed.fullShards.size()) {
        return "the number of answered shards is wrong";
    }
    std::vector<hit> expectedHits;
    std::set<shard_id> missing;
    for (const auto &entry : result.missing) {
        if (!(missing.insert(entry.shard).second)) {
            return "a missing shard is listed twice";
        }
        if (observed.fullShards.contains(entry.shard)) {
            return "an answered shard is listed as missing";
        }
        const auto partial = observed.partialHits.find(entry.shard);
        if ((entry.reason == missing_reason::partial) != (partial != observed.partialHits.end())) {
            return "the reason partial does not match the delivered partial answers";
        }
        if (partial != observed.partialHits.end()) {
            expectedHits.insert(expectedHits.end(), partial->second.begin(), partial->second.end());
        }
    }
    for (const auto &shard : observed.fullShards) {
        const auto hits = fake_fanout::hitsOf(result.snapshot, shard);
        expectedHits.insert(expectedHits.end(), hits.begin(), hits.end());
    }
    std::sort(expectedHits.begin(), expectedHits.end(), [](const hit &left, const hit &right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    });
    expectedHits.resize(std::min<std::size_t>(expectedHits.size(), input.limit));
    if (result.hits.size() != expectedHits.size()) {
        return "the number of hits is wrong";
    }
    for (std::size_t index = 0; index < expectedHits.size(); ++index) {
        if (result.hits[index].id != expectedHits[index].id) {
            return "a hit is wrong or out of order";
        }
    }
    // A query is restarted at most once, so the retry limit of a query can apply twice.
    if (!(result.retries <= 2 * std::max<std::size_t>(std::min(result.shardsTotal, 3U), result.shardsTotal / 10))) {
        return "there were too many retries";
    }
    return std::nullopt;
}

// Runs three queries against backend servers with random behaviour. Returns the first violation.
std::optional<std::string> runRandomQueries(std::uint64_t seed, fanout_defect defect)
{
    random_source random(seed);
    const auto shards = 1 + random.below(40);
    const auto replicas = 1 + random.below(3);
    const auto topology = makeTopology({makeLayout(1, shards, replicas, "a")});
    fanout_behaviour behaviour;
    behaviour.slow = random.nextDouble() * 0.3;
    behaviour.unanswered = random.nextDouble() * 0.2;
    behaviour.refused = random.nextDouble() * 0.3;
    behaviour.failed = random.nextDouble() * 0.2;
    behaviour.partial = random.nextDouble() * 0.3;
    behaviour.duplicated = random.nextDouble();
    behaviour.mismatched = random.nextDouble();
    fake_fanout fanout(random.next(), behaviour, defect);
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, random.below(4) == 0 ? nullptr : &stats, topology->layouts()[0], {{7, 1}, {8, 1}});
    const auto timeLimit = std::chrono::milliseconds(1 + random.below(300));
    auto input = makeInput(timeLimit, random.nextDouble());
    input.limit = static_cast<std::uint32_t>(random.below(20));
    for (int round = 0; round < 3; ++round) {
        search_run run(input, stats, random);
        const auto observed = fanout.run(run, input.request, begin);
        if (auto found = findViolation(observed, input, *topology)) {
            return found;
        }
    }
    for (const auto &backend : topology->backends()) {
        if (stats.findRecord(backend)->outstanding != 0) {
            return "an attempt is still counted as outstanding";
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against a wrong coverage, against hits of a mismatched answer, and against a result after the deadline. Answers are partial,
// late, duplicated, mismatched, refused, failed or missing at random.
RC_GTEST_PROP(SearchRunProperty, ResultIsCorrectAndOnTime, (std::uint32_t seed))
{
    if (const auto found = runRandomQueries(seed, fanout_defect::none)) {
        RC_FAIL(*found);
    }
}

// Guards against a property that cannot fail: the same check must find a violation when a defect is present.
TEST(SearchRunProperty, FindsEachDefect)
{
    for (const auto defect : {fanout_defect::mismatchesRelabelled, fanout_defect::partialCountsAsFull, fanout_defect::delaysWakeups}) {
        int found = 0;
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            found += runRandomQueries(seed, defect).has_value() ? 1 : 0;
        }
        EXPECT_GT(found, 0) << "defect " << static_cast<int>(defect);
        RecordProperty("defect_" + std::to_string(static_cast<int>(defect)), found);
    }
}

// Guards against hits of two snapshots or layouts in one result, and against more retries than a query with one restart may send,
// when the backend servers switch to a new layout during the query.
RC_GTEST_PROP(SearchRunProperty, ResultUsesOneSnapshotDuringLayoutSplit, (std::uint32_t seed))
{
    random_source random(seed);
    const auto shards = 1 + random.below(20);
    auto oldLayout = makeLayout(1, shards, 2, "a");
    auto newLayout = makeLayout(2, 2 * shards, 2, "a");
    const auto topology = makeTopology({oldLayout, newLayout});
    fanout_behaviour behaviour;
    behaviour.mismatched = 0.2;
    behaviour.duplicated = 0.2;
    fake_fanout fanout(random.next(), behaviour);
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, oldLayout, {{7, 1}});
    // Each backend server switches from the old to the new layout at a random time shortly after the start.
    for (const auto &shard : newLayout.shards) {
        for (const auto &replica : shard.replicas) {
            fanout.setHeldSnapshots(replica.backend, {{8, 2}}, begin + std::chrono::microseconds(random.below(6000)));
        }
    }
    const auto input = makeInput(200ms, 0.5 + random.nextDouble() / 2);
    for (int round = 0; round < 3; ++round) {
        search_run run(input, stats, random);
        const auto observed = fanout.run(run, input.request, begin + round * 10ms);
        if (const auto found = findViolation(observed, input, *topology)) {
            RC_FAIL(*found);
        }
    }
}

// Guards against a query that never pins a snapshot because it starts on a host that knows none.
TEST(SearchRun, DiscoversSnapshotsOnNewHost)
{
    const auto topology = makeTopology({makeLayout(1, 5, 2, "a")});
    fanout_behaviour behaviour;
    behaviour.slow = 0;
    behaviour.unanswered = 0;
    fake_fanout fanout(1, behaviour);
    setHeldEverywhere(fanout, nullptr, topology->layouts()[0], {{7, 1}, {8, 1}});
    // The replica that is asked first for this shard never answers, so the other replica must be asked.
    fanout.setUnresponsive(backend_id("a3-0"));
    service_stats stats(topology, zone_id("z0"), begin);
    random_source random(1);
    const auto input = makeInput(500ms);
    search_run run(input, stats, random);
    const auto observed = fanout.run(run, input.request, begin);
    EXPECT_EQ(observed.result.snapshot, (snapshot_ref{8, 1}));
    EXPECT_EQ(observed.result.shardsAnswered, 5U);
    EXPECT_FALSE(observed.result.restarted);
}

// Guards against an empty result without a reason when no backend server holds a snapshot.
TEST(SearchRun, ReportsMissingShardsWhenNoSnapshotIsHeld)
{
    const auto topology = makeTopology({makeLayout(1, 3, 2, "a")});
    fanout_behaviour behaviour;
    behaviour.unanswered = 0;
    fake_fanout fanout(1, behaviour);
    service_stats stats(topology, zone_id("z0"), begin);
    random_source random(1);
    const auto input = makeInput(500ms);
    search_run run(input, stats, random);
    const auto observed = fanout.run(run, input.request, begin);
    EXPECT_EQ(observed.result.shardsAnswered, 0U);
    ASSERT_EQ(observed.result.missing.size(), 3U);
    EXPECT_EQ(observed.result.missing[0].reason, missing_reason::snapshotNotHeld);
}

// Guards against pinning a snapshot that too few shards hold, and against keeping an old one when a newer one is available.
TEST(SearchRun, PinsTheNewestSnapshotHeldByEnoughShards)
{
    const auto topology = makeTopology({makeLayout(1, 4, 1, "a")});
    service_stats stats(topology, zone_id("z0"), begin);
    backend_report report;
    report.state = backend_state::warm;
    report.heldSnapshots = {{7, 1}};
    for (const auto &backend : topology->backends()) {
        stats.recordReport(backend, report, begin);
    }
    report.heldSnapshots = {{7, 1}, {8, 1}};
    stats.recordReport(backend_id("a0-0"), report, begin);
    stats.recordReport(backend_id("a1-0"), report, begin);
    stats.recordReport(backend_id("a2-0"), report, begin);
    EXPECT_EQ(stats.chooseSnapshot(1.0, {}, begin), (snapshot_ref{7, 1}));
    EXPECT_EQ(stats.chooseSnapshot(0.75, {}, begin), (snapshot_ref{8, 1}));
    EXPECT_EQ(stats.chooseSnapshot(1.0, snapshot_ref{7, 1}, begin), (snapshot_ref{8, 1}));
    stats.recordReport(backend_id("a3-0"), report, begin);
    EXPECT_EQ(stats.chooseSnapshot(1.0, {}, begin), (snapshot_ref{8, 1}));
    EXPECT_EQ(stats.chooseSnapshot(1.0, snapshot_ref{8, 1}, begin), std::nullopt);
}

// Guards against attempts to replicas that are excluded because their availability zone is out of service or they are leaving,
// also by a query that is already running, and against attempts to a draining backend server.
TEST(SearchRun, ExcludedAndDrainingReplicasGetNoAttempts)
{
    auto layout = makeLayout(1, 20, 2, "a");
    const auto topology = makeTopology({layout});
    fanout_behaviour behaviour;
    behaviour.unanswered = 0;
    behaviour.slow = 0;
    fake_fanout fanout(1, behaviour);
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(1);
    const auto input = makeInput(500ms);
    search_run running(input, stats, random);
    running.start(begin);
    const auto first = takeSends(running);
    ASSERT_EQ(first.size(), 20U);
    EXPECT_TRUE(std::all_of(first.begin(), first.end(), [](const auto &send) { return send.replica->zone == zone_id("z0"); }));

    for (auto &shard : layout.shards) {
        shard.replicas[1].excluded = true;
    }
    stats.setTopology(makeTopology({layout}), begin);
    running.handleAttemptFailure(first[0].attempt, error_code::unreachable, begin + 1ms);
    running.wakeup(begin + 40ms);
    for (const auto &send : takeSends(running)) {
        EXPECT_EQ(send.replica->zone, zone_id("z0")) << "a running query used a replica that was excluded in the meantime";
    }

    backend_report draining;
    draining.state = backend_state::draining;
    draining.heldSnapshots = {{7, 1}};
    stats.recordReport(backend_id("a5-0"), draining, begin + 40ms);
    search_run run(makeInput(500ms), stats, random);
    run.start(begin + 41ms);
    const auto sends = takeSends(run);
    EXPECT_EQ(sends.size(), 19U);
    for (const auto &send : sends) {
        EXPECT_NE(send.replica->backend, backend_id("a5-0"));
        run.handleAnswer(request_id("r1"), fullAnswer(send), begin + 42ms);
    }
    const auto result = takeResult(run);
    ASSERT_TRUE(result.has_value());
    ASSERT_EQ(result->missing.size(), 1U);
    EXPECT_EQ(result->missing[0].reason, missing_reason::noReplica);
}

namespace
{

// Statistics of many queries over 460 shards with two replicas each. The latency has a heavy tail: the median is 4 ms, 1 in
// 100 attempts takes 150 ms, and 1 in 1,000 is never answered.
struct tail_statistics {
    std::chrono::microseconds p99{0};
    std::chrono::microseconds oracleP99{0}; // Of a root that always selects the faster replica.
    double extraLoad = 0; // Hedges and retries as a share of the first attempts.
    double coverage = 0;
};

tail_statistics measureTail(double minCoverage)
{
    constexpr std::size_t rounds = 300;
    const auto layout = makeLayout(1, 460, 2, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    auto input = makeInput(1000ms, minCoverage);
    std::vector<std::chrono::microseconds> times;
    std::vector<std::chrono::microseconds> oracle;
    tail_statistics statistics;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto now = begin + round * 5ms;
        input.deadline = now + 1000ms;
        search_run run(input, stats, random);
        const auto observed = fanout.run(run, input.request, now);
        times.push_back(std::chrono::duration_cast<std::chrono::microseconds>(observed.finishedAt - now));
        statistics.coverage += observed.result.coverage() / rounds;
        std::chrono::microseconds slowest{0};
        for (std::size_t shard = 0; shard < layout.shards.size(); ++shard) {
            const auto faster = std::min(fanout.sampleLatency(), fanout.sampleLatency());
            slowest = std::max(slowest, std::min<std::chrono::microseconds>(faster, 995ms));
        }
        oracle.push_back(slowest);
    }
    std::sort(times.begin(), times.end());
    std::sort(oracle.begin(), oracle.end());
    statistics.p99 = times[rounds * 99 / 100];
    statistics.oracleP99 = oracle[rounds * 99 / 100];
    const auto &counts = stats.counts();
    statistics.extraLoad = static_cast<double>(counts.hedges + counts.retries) / static_cast<double>(counts.firstAttempts);
    return statistics;
}

} // namespace

// Guards against exceeding the hedge budget, against slow attempts that are not hedged, and against early results that lose
// coverage.
TEST(SearchRun, HedgesSlowAttemptsWithinTheBudget)
{
    const auto early = measureTail(0.995);
    EXPECT_LE(early.extraLoad, 0.05);
    EXPECT_GE(early.coverage, 0.999);
    EXPECT_LE(early.p99, 79ms);
    const auto full = measureTail(1.0);
    EXPECT_LE(full.extraLoad, 0.05);
    EXPECT_GE(full.coverage, 0.999);
    EXPECT_LE(full.p99, full.oracleP99 * 13 / 10);
    for (const auto &[name, statistics] : {std::pair("early", early), std::pair("full", full)}) {
        RecordProperty(std::string(name) + "_p99_us", static_cast<int>(statistics.p99.count()));
        RecordProperty(std::string(name) + "_oracle_p99_us", static_cast<int>(statistics.oracleP99.count()));
        RecordProperty(std::string(name) + "_extra_ppm", static_cast<int>(statistics.extraLoad * 1e6));
        RecordProperty(std::string(name) + "_coverage_ppm", static_cast<int>(statistics.coverage * 1e6));
    }
}

// Guards against ejecting the last replica or more than half of the replicas, and against attempts other than probes to an
// ejected replica.
TEST(SearchRun, EjectsUnresponsiveReplicasButNotTheLast)
{
    const auto layout = makeLayout(1, 2, 2, "a");
    const auto topology = makeTopology({layout});
    fanout_behaviour behaviour;
    behaviour.unanswered = 0;
    behaviour.slow = 0;
    fake_fanout fanout(5, behaviour);
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    fanout.setUnresponsive(backend_id("a0-0"));
    random_source random(3);
    auto input = makeInput(100ms);
    std::size_t attemptsToUnresponsive = 0;
    std::size_t missingAfterEjection = 0;
    for (int round = 0; round < 400; ++round) {
        const auto now = begin + round * 5ms;
        input.deadline = now + 100ms;
        search_run run(input, stats, random);
        const auto observed = fanout.run(run, input.request, now);
        for (const auto &send : observed.sent) {
            attemptsToUnresponsive += round >= 200 && send.replica->backend == backend_id("a0-0") ? 1 : 0;
        }
        missingAfterEjection += round >= 200 ? observed.result.missing.size() : 0;
    }
    EXPECT_GT(stats.counts().ejections, 0U);
    EXPECT_LE(attemptsToUnresponsive, 10U) << "an ejected replica gets only probes";
    EXPECT_EQ(missingAfterEjection, 0U);

    // When both replicas are unresponsive, one of them must still get attempts.
    fanout.setUnresponsive(backend_id("a0-1"));
    for (int round = 400; round < 440; ++round) {
        const auto now = begin + round * 5ms;
        input.deadline = now + 100ms;
        search_run run(input, stats, random);
        const auto observed = fanout.run(run, input.request, now);
        const auto attemptsToShard =
            std::count_if(observed.sent.begin(), observed.sent.end(), [](const auto &send) { return send.shard->str() == "a0"; });
        EXPECT_GE(attemptsToShard, 1);
    }
}

// Guards against missing shards when the backend servers of a zone become unreachable without notice and return later. A small
// service must miss no shard. A large service, whose retries are limited, must return full results again after two queries.
TEST(SearchRun, RecoversFromAbruptZoneOutage)
{
    for (const std::size_t shards : {1U, 2U, 460U}) {
        const auto layout = makeLayout(1, shards, 2, "a");
        const auto topology = makeTopology({layout});
        fanout_behaviour behaviour;
        behaviour.unanswered = 0;
        behaviour.slow = 0;
        fake_fanout fanout(5, behaviour);
        service_stats stats(topology, zone_id("z0"), begin);
        setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
        random_source random(3);
        auto input = makeInput(100ms);
        const auto query = [&](time_point now) {
            input.deadline = now + 100ms;
            search_run run(input, stats, random);
            return fanout.run(run, input.request, now);
        };
        const auto setZoneReachable = [&](bool reachable) {
            for (const auto &shard : layout.shards) {
                fanout.setReachable(shard.replicas[0].backend, reachable);
            }
        };
        std::size_t missing = 0;
        for (int round = 0; round < 300; ++round) {
            if (round == 30) {
                setZoneReachable(false);
            } else if (round == 150) {
                setZoneReachable(true);
            }
            const bool detectingOutage = shards > 2 && (round == 30 || round == 31);
            missing += detectingOutage ? 0 : query(begin + round * 40ms).result.missing.size();
            if (detectingOutage) {
                query(begin + round * 40ms);
            }
        }
        EXPECT_EQ(missing, 0U) << shards << " shards";
        // Probes are at most 4 s apart, so this host's zone must serve again by now.
        std::size_t localZoneAttempts = 0;
        std::size_t allAttempts = 0;
        for (int round = 0; round < 20; ++round) {
            for (const auto &send : query(begin + 30s + round * 10ms).sent) {
                localZoneAttempts += send.replica->zone == zone_id("z0") ? 1 : 0;
                ++allAttempts;
            }
        }
        EXPECT_GE(localZoneAttempts, allAttempts * 9 / 10) << shards << " shards";
    }
}

// Guards against a retry after `overloaded` from the last replica, which would increase the load on it.
TEST(SearchRun, NoRetryAfterOverloadedFromTheLastReplica)
{
    const auto layout = makeLayout(1, 1, 1, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    search_run run(makeInput(100ms), stats, random);
    run.start(begin);
    const auto sends = takeSends(run);
    ASSERT_EQ(sends.size(), 1U);
    auto answer = fullAnswer(sends[0]);
    answer.status = shard_status::refused;
    answer.code = error_code::overloaded;
    run.handleAnswer(request_id("r1"), std::move(answer), begin + 1ms);
    const auto result = takeResult(run);
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->retries, 0U);
    EXPECT_EQ(result->missing[0].reason, missing_reason::overloaded);
    EXPECT_TRUE(result->overloaded);
}

// Guards against a missing shard when its group has no owner for a short time.
TEST(SearchRun, RetriesSameReplicaAfterOwnerChange)
{
    const auto layout = makeLayout(1, 1, 1, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    search_run run(makeInput(500ms), stats, random);
    run.start(begin);
    run.handleAttemptFailure(takeSends(run).at(0).attempt, error_code::notOwner, begin + 1ms);
    const auto wakeup = run.nextWakeup();
    ASSERT_TRUE(wakeup.has_value());
    EXPECT_LE(*wakeup, begin + 20ms);
    run.wakeup(*wakeup);
    const auto resent = takeSends(run);
    ASSERT_EQ(resent.size(), 1U);
    EXPECT_EQ(resent[0].kind, attempt_kind::retry);
    run.handleAnswer(request_id("r1"), fullAnswer(resent[0]), begin + 30ms);
    EXPECT_EQ(takeResult(run)->shardsAnswered, 1U);
}

// Guards against an elapsedFactor that has no effect on the extra wait.
TEST(SearchRun, ExtraWaitIsBoundedByTheElapsedTime)
{
    const auto layout = makeLayout(1, 10, 1, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    auto input = makeInput(500ms, 0.8);
    input.policy.maxExtraWait = 15ms;
    input.policy.elapsedFactor = 0.5;
    search_run run(input, stats, random);
    run.start(begin);
    const auto sends = takeSends(run);
    for (std::size_t index = 0; index < 8; ++index) {
        run.handleAnswer(request_id("r1"), fullAnswer(sends[index]), begin + 10ms);
    }
    run.wakeup(begin + 14ms);
    EXPECT_FALSE(run.finished());
    run.wakeup(begin + 15ms);
    EXPECT_TRUE(run.finished());
}

// Guards against an immediate empty result when minCoverage is 0, which is met without any answer.
TEST(SearchRun, ZeroMinCoverageStillWaitsForShards)
{
    const auto layout = makeLayout(1, 10, 1, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    auto input = makeInput(500ms, 0);
    input.policy.maxExtraWait = 15ms;
    input.policy.elapsedFactor = 1;
    search_run run(input, stats, random);
    run.start(begin);
    EXPECT_EQ(takeSends(run).size(), 10U);
    run.wakeup(begin + 14ms);
    EXPECT_FALSE(run.finished());
    run.wakeup(begin + 15ms);
    EXPECT_TRUE(run.finished());
}

// Guards against pinning a new snapshot that fewer shards hold than pinCoverage, when minCoverage is 0.
TEST(SearchRun, PinUsesPinCoverage)
{
    const auto layout = makeLayout(1, 10, 1, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    backend_report report;
    report.state = backend_state::warm;
    report.slots = 2;
    report.instance = "i";
    report.heldSnapshots = {{7, 1}, {8, 1}};
    for (std::size_t shard = 0; shard < 9; ++shard) {
        stats.recordReport(layout.shards[shard].replicas[0].backend, report, begin);
    }
    random_source random(3);
    auto input = makeInput(500ms, 0);
    input.policy.pinCoverage = 0.95;
    search_run run(input, stats, random);
    run.start(begin);
    EXPECT_EQ(run.pinned(), (snapshot_ref{7, 1}));
}

// Guards against missing shards after the lease of a whole group moves to another owner: the refusals of the former owner must
// not use up the retry budget, because no call has reached a backend server.
TEST(SearchRun, RefusalsOfAFormerOwnerDoNotUseTheRetryBudget)
{
    const auto layout = makeLayout(1, 10, 2, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    search_run run(makeInput(500ms, 1), stats, random);
    run.start(begin);
    const auto sends = takeSends(run);
    ASSERT_EQ(sends.size(), 10U);
    for (std::size_t index = 0; index < 8; ++index) {
        run.handleAttemptFailure(sends[index].attempt, error_code::notOwner, begin + 1ms);
    }
    run.wakeup(begin + 10ms);
    std::size_t retries = 0;
    for (const auto &send : takeSends(run)) {
        retries += send.kind == attempt_kind::retry ? 1 : 0;
    }
    EXPECT_EQ(retries, 8U);
}

// Guards against an early result below the coverage of the policy, and against waiting longer than the policy allows.
TEST(SearchRun, ReturnsEarlyAccordingToPolicy)
{
    const auto layout = makeLayout(1, 10, 1, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    auto input = makeInput(500ms, 0.8);
    input.policy.maxExtraWait = 15ms;
    search_run run(input, stats, random);
    run.start(begin);
    const auto sends = takeSends(run);
    for (std::size_t index = 0; index < 7; ++index) {
        run.handleAnswer(request_id("r1"), fullAnswer(sends[index]), begin + 3ms);
    }
    run.wakeup(begin + 100ms);
    EXPECT_FALSE(run.finished());
    run.handleAnswer(request_id("r1"), fullAnswer(sends[7]), begin + 110ms);
    EXPECT_FALSE(run.finished());
    run.wakeup(begin + 124ms);
    EXPECT_FALSE(run.finished());
    run.wakeup(begin + 125ms);
    ASSERT_TRUE(run.finished());
    const auto result = takeResult(run);
    EXPECT_TRUE(result->returnedEarly);
    EXPECT_EQ(result->shardsAnswered, 8U);
    EXPECT_EQ(result->missing.at(0).reason, missing_reason::late);
}

// Guards against a query that is not restarted when a newer snapshot would meet the policy, and against a second restart.
TEST(SearchRun, RestartsOnceWithNewerSnapshot)
{
    const auto layout = makeLayout(1, 3, 1, "a");
    const auto topology = makeTopology({layout});
    fake_fanout fanout(5, {});
    service_stats stats(topology, zone_id("z0"), begin);
    setHeldEverywhere(fanout, &stats, layout, {{7, 1}});
    random_source random(3);
    search_run run(makeInput(500ms), stats, random);
    run.start(begin);
    const auto refuse = [&run](const std::vector<send_attempt> &sends, std::uint64_t held, time_point now) {
        for (const auto &send : sends) {
            auto answer = fullAnswer(send);
            answer.status = shard_status::refused;
            answer.code = error_code::snapshotNotHeld;
            answer.hasReport = true;
            answer.report.heldSnapshots = {{held, 1}};
            run.handleAnswer(request_id("r1"), std::move(answer), now);
        }
    };
    const auto old = takeSends(run);
    refuse(old, 8, begin + 2ms);
    EXPECT_EQ(run.pinned(), (snapshot_ref{8, 1}));
    const auto restarted = takeSends(run);
    ASSERT_EQ(restarted.size(), 3U);
    // A late answer for the old snapshot must be ignored.
    run.handleAnswer(request_id("r1"), fullAnswer(old[0]), begin + 3ms);
    refuse(restarted, 9, begin + 4ms);
    ASSERT_TRUE(run.finished());
    const auto result = takeResult(run);
    EXPECT_TRUE(result->restarted);
    EXPECT_EQ(result->shardsAnswered, 0U);
    EXPECT_TRUE(result->hits.empty());
}

// Guards against topologies without layouts, without shards, or with a layout or shard listed twice: the coverage of a search
// would be undefined or wrong.
TEST(SearchTopology, RejectsInvalidLayouts)
{
    EXPECT_FALSE(search_topology::create(service_id("s"), {}).has_value());
    EXPECT_FALSE(search_topology::create(service_id("s"), {search_layout{1, {}}}).has_value());
    const auto layout = makeLayout(1, 2, 1, "a");
    EXPECT_FALSE(search_topology::create(service_id("s"), {layout, layout}).has_value());
    auto twice = layout;
    twice.shards.push_back(twice.shards[0]);
    EXPECT_FALSE(search_topology::create(service_id("s"), {twice}).has_value());
}
