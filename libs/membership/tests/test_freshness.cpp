#include <membership/freshness.h>
#include <membership/pause_detector.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <thread>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{
const time_point start{1000s};
} // namespace

// Guards against pauses that are not detected and against reports of ticks that are late by at most the tolerance of one second.
TEST(PauseDetector, ReportsTicksMoreThanASecondLate)
{
    pause_detector detector;
    EXPECT_FALSE(detector.tick(start).has_value());
    EXPECT_FALSE(detector.tick(start + 100ms).has_value());
    EXPECT_FALSE(detector.tick(start + 1200ms).has_value());
    EXPECT_EQ(detector.tick(start + 2301ms), 1001ms);
    EXPECT_FALSE(detector.tick(start + 2401ms).has_value());
}

// Guards against new work with a configuration that has not been confirmed within its validity of three seconds.
TEST(Freshness, WorkStopsWithoutConfirmation)
{
    freshness state;
    EXPECT_FALSE(state.mayStartWork(start));
    EXPECT_TRUE(state.becameStale(start));
    EXPECT_FALSE(state.becameStale(start));
    state.recordRevalidationSent(start);
    EXPECT_TRUE(state.confirm(start, start + 5ms));
    EXPECT_TRUE(state.mayStartWork(start + 2999ms));
    EXPECT_FALSE(state.mayStartWork(start + 3s));
    EXPECT_TRUE(state.becameStale(start + 3s));
    EXPECT_FALSE(state.mayStartWork(start + 3s));
}

// Guards against a host that resumes after a pause and accepts answers to requests from before the pause as confirmation.
TEST(Freshness, AnswersToRequestsBeforePauseConfirmNothing)
{
    freshness state;
    state.becameStale(start);
    state.confirm(start, start);
    EXPECT_TRUE(state.mayStartWork(start + 1s));
    const time_point resumedAt = start + 11s;
    EXPECT_FALSE(state.mayStartWork(resumedAt));
    EXPECT_FALSE(state.confirm(start + 1s, resumedAt));
    EXPECT_TRUE(state.becameStale(resumedAt));
    EXPECT_FALSE(state.confirm(resumedAt - 1s, resumedAt + 1ms));
    EXPECT_FALSE(state.mayStartWork(resumedAt + 1ms));
    EXPECT_TRUE(state.confirm(resumedAt + 1ms, resumedAt + 2ms));
    EXPECT_TRUE(state.mayStartWork(resumedAt + 2ms));
}

// Guards against a host that stays stale forever when no revalidation request is answered, and against a host that becomes
// isolated without having sent such requests.
TEST(Freshness, IsolatedAfterUnansweredRevalidation)
{
    freshness state;
    ASSERT_TRUE(state.becameStale(start));
    EXPECT_FALSE(state.becameIsolated(start + 5s));
    state.recordRevalidationSent(start + 5s);
    EXPECT_FALSE(state.becameIsolated(start + 5999ms));
    EXPECT_TRUE(state.becameIsolated(start + 6s));
    EXPECT_FALSE(state.becameIsolated(start + 7s));
    EXPECT_TRUE(state.mayStartWork(start + 60s));
    EXPECT_EQ(state.state(), freshness_state::isolated);
    state.markStale();
    EXPECT_FALSE(state.mayStartWork(start + 61s));
    EXPECT_TRUE(state.becameStale(start + 61s));
    state.recordRevalidationSent(start + 61s);
    EXPECT_TRUE(state.confirm(start + 61s, start + 61100ms));
    EXPECT_EQ(state.state(), freshness_state::fresh);
}

// Guards against a confirmation that makes the state fresh again before the control thread has learned that a request thread
// marked it stale, and has ended the leases.
TEST(Freshness, ConfirmationWaitsUntilStaleMarkIsReported)
{
    freshness state;
    state.becameStale(start);
    state.confirm(start, start);
    state.markStale();
    EXPECT_FALSE(state.confirm(start, start + 1ms));
    EXPECT_TRUE(state.becameStale(start + 2ms));
    EXPECT_TRUE(state.confirm(start + 2ms, start + 3ms));
}

// Guards against any sequence of events after which a host that is not isolated allows work although it has no confirmation from
// the last three seconds, or was marked stale after its last confirmation.
RC_GTEST_PROP(Freshness, WorkNeedsARecentConfirmation, ())
{
    freshness state;
    time_point now = start;
    time_point requestedAt = start;
    std::optional<time_point> confirmed;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
        switch (step) {
        case 0:
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            break;
        case 1:
            requestedAt = now;
            state.recordRevalidationSent(now);
            break;
        case 2:
            state.confirm(requestedAt, now);
            confirmed = requestedAt;
            break;
        case 3:
            state.markStale();
            confirmed.reset();
            break;
        case 4:
            state.becameStale(now);
            break;
        default:
            state.becameIsolated(now);
            break;
        }
        if (state.mayStartWork(now) && state.state() != freshness_state::isolated) {
            RC_ASSERT(confirmed.has_value());
            RC_ASSERT(now - *confirmed < 3s);
        }
    }
}

// Guards against data races between request threads and the control thread, which the thread sanitizer detects, and against a
// host that cannot become fresh again after request threads have marked the state stale.
TEST(Freshness, RequestThreadsMarkAndControlThreadConfirms)
{
    freshness state;
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int thread = 0; thread < 3; ++thread) {
        threads.emplace_back([&] {
            for (time_point now = start; !stop; now += 1ms) {
                state.mayStartWork(now);
            }
        });
    }
    int reports = 0;
    time_point now = start;
    while (reports < 100) {
        now += 1ms;
        reports += state.becameStale(now) ? 1 : 0;
        state.confirm(now, now);
        state.markStale();
    }
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    state.becameStale(now);
    EXPECT_TRUE(state.confirm(now, now));
    EXPECT_TRUE(state.mayStartWork(now));
}
