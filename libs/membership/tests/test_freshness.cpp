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

// Guards against pauses that go unnoticed and against alarms from a tick that is only somewhat late.
TEST(PauseDetector, ReportsTicksMoreThanASecondLate)
{
    pause_detector detector;
    EXPECT_FALSE(detector.tick(start).has_value());
    EXPECT_FALSE(detector.tick(start + 100ms).has_value());
    EXPECT_FALSE(detector.tick(start + 1200ms).has_value());
    EXPECT_EQ(detector.tick(start + 2301ms), 1001ms);
    EXPECT_FALSE(detector.tick(start + 2401ms).has_value());
}

// Guards against work on beliefs that nobody has confirmed within the validity.
TEST(Freshness, WorkStopsWithoutConfirmation)
{
    freshness state;
    EXPECT_FALSE(state.mayWork(start));
    EXPECT_TRUE(state.becameStale(start));
    EXPECT_FALSE(state.becameStale(start));
    state.asked(start);
    EXPECT_TRUE(state.confirm(start, start + 5ms));
    EXPECT_TRUE(state.mayWork(start + 2999ms));
    EXPECT_FALSE(state.mayWork(start + 3s));
    EXPECT_TRUE(state.becameStale(start + 3s));
    EXPECT_FALSE(state.mayWork(start + 3s));
}

// Guards against a paused host that takes answers to questions from before the pause as confirmation.
TEST(Freshness, OldAnswersConfirmNothing)
{
    freshness state;
    state.becameStale(start);
    state.confirm(start, start);
    EXPECT_TRUE(state.mayWork(start + 1s));
    const time_point woken = start + 11s;
    EXPECT_FALSE(state.mayWork(woken));
    EXPECT_FALSE(state.confirm(start + 1s, woken));
    EXPECT_TRUE(state.becameStale(woken));
    EXPECT_FALSE(state.confirm(woken - 1s, woken + 1ms));
    EXPECT_FALSE(state.mayWork(woken + 1ms));
    EXPECT_TRUE(state.confirm(woken + 1ms, woken + 2ms));
    EXPECT_TRUE(state.mayWork(woken + 2ms));
}

// Guards against a host that waits for ever when nobody answers, and against one that goes on without asking.
TEST(Freshness, IsolatedAfterAskingInVain)
{
    freshness state;
    ASSERT_TRUE(state.becameStale(start));
    EXPECT_FALSE(state.becameIsolated(start + 5s));
    state.asked(start + 5s);
    EXPECT_FALSE(state.becameIsolated(start + 5999ms));
    EXPECT_TRUE(state.becameIsolated(start + 6s));
    EXPECT_FALSE(state.becameIsolated(start + 7s));
    EXPECT_TRUE(state.mayWork(start + 60s));
    EXPECT_EQ(state.state(), freshness_state::isolated);
    state.markStale();
    EXPECT_FALSE(state.mayWork(start + 61s));
    EXPECT_TRUE(state.becameStale(start + 61s));
    state.asked(start + 61s);
    EXPECT_TRUE(state.confirm(start + 61s, start + 61100ms));
    EXPECT_EQ(state.state(), freshness_state::fresh);
}

// Guards against a mark by a request thread that a confirmation hides before the leases were ended.
TEST(Freshness, MarkIsReportedBeforeItIsLifted)
{
    freshness state;
    state.becameStale(start);
    state.confirm(start, start);
    state.markStale();
    EXPECT_FALSE(state.confirm(start, start + 1ms));
    EXPECT_TRUE(state.becameStale(start + 2ms));
    EXPECT_TRUE(state.confirm(start + 2ms, start + 3ms));
}

// Guards against any order of events after which work is allowed without a confirmation in the last three seconds, a mark since
// included, unless the host is isolated.
RC_GTEST_PROP(Freshness, WorkNeedsARecentConfirmation, ())
{
    freshness state;
    time_point now = start;
    time_point asked = start;
    std::optional<time_point> confirmed;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
        switch (step) {
        case 0:
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            break;
        case 1:
            asked = now;
            state.asked(now);
            break;
        case 2:
            state.confirm(asked, now);
            confirmed = asked;
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
        if (state.mayWork(now) && state.state() != freshness_state::isolated) {
            RC_ASSERT(confirmed.has_value());
            RC_ASSERT(now - *confirmed < 3s);
        }
    }
}

// Guards against data races between request threads and the control thread; meant for the thread sanitizer.
TEST(Freshness, RequestThreadsMarkAndControlThreadConfirms)
{
    freshness state;
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int thread = 0; thread < 3; ++thread) {
        threads.emplace_back([&] {
            for (time_point now = start; !stop; now += 1ms) {
                state.mayWork(now);
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
    EXPECT_TRUE(state.mayWork(now));
}
