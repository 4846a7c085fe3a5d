#include <fakes/scripted_backends.h>

#include <gtest/gtest.h>

#include <vector>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t shardCount = 20;
constexpr milliseconds target(100);
constexpr milliseconds deadline(600);

/// Ends calls as served.
void answer(gather_run &run, const std::vector<send_call> &calls, milliseconds latency, time_point now)
{
    for (const auto &call : calls) {
        call.server->callEnded(call.attempt, attempt_end::served, latency, call.expectedLatency, now);
        run.callEnded(call.attempt, {attempt_end::served, "signature", {}, latency}, now);
    }
}

/// @return A search of which another host gathers all four shards.
gather_input gatheredElsewhere(const scripted_backends &backends)
{
    auto input = backends.makeInput(target, deadline);
    input.relays.push_back({{0, 1, 2, 3}, zone_id("za")});
    return input;
}

} // namespace

// Load pattern: a burst at a host with little processor time, which gets none for 60 ms while all answers arrive. Guards against hedges
// that a host sends because of its own delay: reading the answers to them delays it further.
TEST(LateHostTest, sendsNoHedgesBeforeItHasReadTheAnswers)
{
    scripted_backends backends(shardCount, 2);
    const auto start = backends.now();
    gather_run run(backends.makeInput(target, deadline), backends.registry(), backends.profile());
    run.start(start);
    const auto calls = run.takeCalls();
    ASSERT_EQ(calls.size(), shardCount);
    const auto wakesAt = start + milliseconds(60);
    run.wakeup(wakesAt);
    EXPECT_TRUE(run.takeCalls().empty());
    answer(run, calls, milliseconds(60), wakesAt + milliseconds(1));
    ASSERT_TRUE(run.finished());
    const auto result = run.takeResult();
    EXPECT_EQ(result.end, gather_end::complete);
    EXPECT_EQ(result.hedges, 0U);
}

// Guards against a paused backend server that is not hedged because the host was late once.
TEST(LateHostTest, hedgesSoonAfterwards)
{
    scripted_backends backends(shardCount, 2);
    const auto start = backends.now();
    gather_run run(backends.makeInput(target, deadline), backends.registry(), backends.profile());
    run.start(start);
    const auto calls = run.takeCalls();
    const auto wakesAt = start + milliseconds(60);
    run.wakeup(wakesAt);
    answer(run, {calls.begin() + 1, calls.end()}, milliseconds(60), wakesAt + milliseconds(1));
    EXPECT_LE(run.nextWakeup(), wakesAt + milliseconds(5));
    run.wakeup(run.nextWakeup());
    EXPECT_EQ(run.takeCalls().size(), 1U);
}

// Guards against other hosts that are taken for silent, and their backend servers called a second time, because this host has not read
// their results yet.
TEST(LateHostTest, doesNotTakeOtherHostsForSilentBeforeItHasReadTheirResults)
{
    scripted_backends backends(4, 2);
    const auto start = backends.now();
    gather_run run(gatheredElsewhere(backends), backends.registry(), backends.profile());
    run.start(start);
    const auto wakesAt = start + target + gather_run::maxRelayDelay + milliseconds(20);
    run.wakeup(wakesAt);
    EXPECT_TRUE(run.relayPending(0));
    EXPECT_TRUE(run.takeCalls().empty());
    relay_result gathered;
    gathered.end = gather_end::complete;
    gathered.shards.assign(4, {attempt_end::served, "signature"});
    run.relayAnswered(0, std::move(gathered), wakesAt + milliseconds(1));
    ASSERT_TRUE(run.finished());
    EXPECT_EQ(run.takeResult().end, gather_end::complete);
}

// Guards against a host that waits for silent hosts as long as it is late itself.
TEST(LateHostTest, givesSilentHostsUpInTheEnd)
{
    scripted_backends backends(4, 2);
    const auto start = backends.now();
    gather_run run(gatheredElsewhere(backends), backends.registry(), backends.profile());
    run.start(start);
    run.wakeup(start + target + 2 * gather_run::maxRelayDelay);
    EXPECT_FALSE(run.relayPending(0));
    EXPECT_EQ(run.takeCalls().size(), 4U);
}
