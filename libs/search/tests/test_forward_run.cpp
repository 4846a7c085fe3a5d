#include <search/forward_run.h>

#include <gtest/gtest.h>

#include <set>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

const service_id service("s");

class forward_fixture : public testing::Test
{
protected:
    forward_fixture()
        : m_registry({zone_id("z"), {0.2, 20}, 1.5, 5}, random_source(3))
    {
        for (const char *id : {"a", "b", "c"}) {
            replica_entry entry;
            entry.id = backend_id(id);
            entry.service = service;
            entry.zone = zone_id("z");
            entry.slots = 3;
            m_registry.put(entry, m_now);
        }
    }

    forward_run makeRun(retry_safety retrySafety, std::uint32_t maxServers = 2)
    {
        return forward_run({service, retrySafety, maxServers, m_now + milliseconds(2000)}, m_registry, m_profile);
    }

    replica_registry m_registry;
    latency_profile m_profile{milliseconds(100)};
    time_point m_now = time_point(std::chrono::hours(1));
};

using ForwardRunTest = forward_fixture;

} // namespace

// Guards against an at-most-once request that runs twice: after a broken connection, a timeout or a cancellation the request may
// have run, so it must not be sent to another backend server.
TEST_F(ForwardRunTest, doesNotRetryAnAtMostOnceRequestThatMayHaveRun)
{
    for (const auto end : {attempt_end::broken, attempt_end::timedOut, attempt_end::abandoned}) {
        auto run = makeRun(retry_safety::atMostOnce);
        run.start(m_now);
        ASSERT_EQ(run.takeCalls().size(), 1U);
        run.callEnded(0, end, m_now + milliseconds(10));
        EXPECT_TRUE(run.takeCalls().empty());
        ASSERT_TRUE(run.finished());
        EXPECT_EQ(run.end(), forward_end::failed);
    }
}

// Guards against a retry after an answer that reports a failure: the request may have run, so the answer goes to the caller.
TEST_F(ForwardRunTest, returnsTheFailureAnswerOfAnAtMostOnceRequest)
{
    auto run = makeRun(retry_safety::atMostOnce);
    run.start(m_now);
    run.takeCalls();
    run.callEnded(0, attempt_end::failed, m_now);
    EXPECT_EQ(run.end(), forward_end::answered);
    EXPECT_TRUE(run.takeCalls().empty());
}

// Guards against a run that ends with `notRun` although an earlier call may have run.
TEST_F(ForwardRunTest, endsWithNotRunOnlyWhenNoCallCanHaveRun)
{
    auto shedOnly = makeRun(retry_safety::atMostOnce);
    shedOnly.start(m_now);
    std::uint64_t attempt = 0;
    while (!shedOnly.finished()) {
        ASSERT_EQ(shedOnly.takeCalls().size(), 1U);
        shedOnly.callEnded(attempt++, attempt_end::shed, m_now);
    }
    EXPECT_EQ(shedOnly.end(), forward_end::notRun);

    auto brokenFirst = makeRun(retry_safety::idempotent);
    brokenFirst.start(m_now);
    brokenFirst.takeCalls();
    brokenFirst.callEnded(0, attempt_end::broken, m_now);
    for (attempt = 1; !brokenFirst.finished(); ++attempt) {
        brokenFirst.takeCalls();
        brokenFirst.callEnded(attempt, attempt_end::shed, m_now);
    }
    EXPECT_EQ(brokenFirst.end(), forward_end::failed);
}

TEST_F(ForwardRunTest, retriesOnAnotherBackendServerAfterACallThatHasNotRun)
{
    auto run = makeRun(retry_safety::atMostOnce);
    run.start(m_now);
    const auto first = run.takeCalls().at(0).server;
    run.callEnded(0, attempt_end::unreachable, m_now);
    const auto second = run.takeCalls().at(0).server;
    EXPECT_NE(first, second);
    run.callEnded(1, attempt_end::served, m_now);
    EXPECT_EQ(run.end(), forward_end::answered);
    EXPECT_EQ(run.answeringAttempt(), 1U);
}

TEST_F(ForwardRunTest, callsNoMoreBackendServersThanMaxServers)
{
    auto run = makeRun(retry_safety::idempotent, 2);
    run.start(m_now);
    std::set<const replica *> called;
    for (std::uint64_t attempt = 0; !run.finished(); ++attempt) {
        for (const auto &call : run.takeCalls()) {
            called.insert(call.server.get());
        }
        run.callEnded(attempt, attempt_end::broken, m_now);
    }
    EXPECT_LE(called.size(), 2U);
}

TEST_F(ForwardRunTest, hedgesASlowIdempotentRequestOnce)
{
    auto run = makeRun(retry_safety::idempotent);
    run.start(m_now);
    run.takeCalls();
    m_now = run.nextWakeup();
    run.wakeup(m_now);
    EXPECT_EQ(run.takeCalls().size(), 1U);
    EXPECT_EQ(run.nextWakeup(), time_point(std::chrono::hours(1)) + milliseconds(2000));
    run.callEnded(1, attempt_end::served, m_now);
    EXPECT_EQ(run.answeringAttempt(), 1U);
}

TEST_F(ForwardRunTest, neverHedgesAnAtMostOnceRequest)
{
    auto run = makeRun(retry_safety::atMostOnce);
    run.start(m_now);
    run.takeCalls();
    m_now = run.nextWakeup();
    run.wakeup(m_now);
    EXPECT_TRUE(run.takeCalls().empty());
    EXPECT_EQ(run.end(), forward_end::late);
}

TEST_F(ForwardRunTest, endsWithNotRunWithoutABackendServer)
{
    m_registry.replaceAll({}, m_now);
    auto run = makeRun(retry_safety::atMostOnce);
    run.start(m_now);
    EXPECT_EQ(run.end(), forward_end::notRun);
}
