#include <search/replica.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

constexpr std::chrono::microseconds usualLatency(10'000);
const time_point start(std::chrono::hours(1));

replica makeReplica()
{
    replica_entry entry;
    entry.id = backend_id("s-a");
    entry.service = service_id("s");
    entry.slots = 2;
    return {entry, start};
}

} // namespace

// Guards against outstanding calls that disappear: requests number their attempts from 0, so concurrent ones have calls with the same
// number, and the end of one must not remove the others from the load and the limit on connections.
TEST(ReplicaTest, concurrentRequestsWithEqualAttemptNumbersAreCountedEach)
{
    auto server = makeReplica();
    for (int request = 0; request < 3; ++request) {
        server.callSent(0, usualLatency, start + milliseconds(10 * request));
    }
    EXPECT_EQ(server.outstandingCalls(), 3U);
    // The second one ends; the first one may have been silent for long and still counts as the oldest.
    server.callEnded(0, attempt_end::served, milliseconds(20), usualLatency, start + milliseconds(30));
    EXPECT_EQ(server.outstandingCalls(), 2U);
    EXPECT_TRUE(server.paused(start + milliseconds(45))) << "the oldest call was removed in place of the one that ended";
}

// Guards against a reported work time that is counted twice, once as reported and once as slowness of the calls that it made slow, and
// against an old figure that still decides.
TEST(ReplicaTest, aReportedWorkTimeIsCountedOnceAndLosesItsWeight)
{
    auto server = makeReplica();
    auto now = start;
    for (std::uint64_t call = 0; call < 20; ++call) {
        const auto expected = server.latencyAtNormalSpeed(usualLatency, now);
        server.callSent(call, expected, now);
        now += usualLatency * 5 / 2;
        server.setReportedLoad({1, 0, 2, 250}, now);
        server.callEnded(call, attempt_end::served, usualLatency * 5 / 2, expected, now);
    }
    EXPECT_NEAR(static_cast<double>(server.expectedTime(usualLatency, now).count()), 25'000, 500);
    // One spell, long over: the prior of three usual figures outweighs it.
    EXPECT_LT(server.expectedTime(usualLatency, now + milliseconds(700)), usualLatency * 3 / 2);
}
