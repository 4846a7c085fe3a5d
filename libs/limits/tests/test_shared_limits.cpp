#include <limits/cold_rate_limit.h>
#include <limits/extra_call_budget.h>
#include <limits/limit_share.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

const time_point startTime = time_point(std::chrono::hours(1));

} // namespace

// Guards against hosts that together make more extra calls in a time window than share * requests + slack.
// In runs of small size, rapidcheck draws small values: requests and failures come in bursts and mostly at the first hosts.
RC_GTEST_PROP(ExtraCallBudgetTest, hostsTogetherStayWithinShareAndSlack, ())
{
    const extra_call_limits limits{0.2, 58};
    const auto hosts = *rc::gen::inRange<std::uint32_t>(1, 12);
    std::vector<extra_call_budget> budgets(hosts, extra_call_budget(limits, {hosts, hosts}));
    struct call_record {
        int atMs;
        bool extra;
    };
    std::vector<call_record> history;
    int now = 0;
    for (int i = 0; i < 3000; ++i) {
        now += *rc::gen::inRange(0, 30);
        auto &budget = budgets[static_cast<std::size_t>(*rc::gen::inRange<std::uint32_t>(0, hosts))];
        if (*rc::gen::inRange(0, 3) > 0) {
            budget.recordFirstCall();
            history.push_back({now, false});
        } else if (budget.tryAcquireRetry()) {
            history.push_back({now, true});
        }
    }
    constexpr int window = 10'000;
    for (std::size_t begin = 0; begin < history.size(); ++begin) {
        int extra = 0;
        int first = 0;
        for (std::size_t i = begin; i < history.size() && history[i].atMs < history[begin].atMs + window; ++i) {
            ++(history[i].extra ? extra : first);
        }
        RC_ASSERT(static_cast<double>(extra) <= limits.share * static_cast<double>(first) + limits.slack);
    }
}

// Guards against hosts that together exceed the bound because each of them gets tokens again when it restarts, in quiet traffic that leaves
// no margin: all four use what they have, and five restarts follow within the window.
TEST(ExtraCallBudgetTest, restartsWithinAWindowStayWithinTheSlack)
{
    const extra_call_limits limits{0.2, 52};
    constexpr std::uint32_t hosts = 4;
    constexpr std::uint32_t hostsAfterRestart = 26; // As host_counter assumes: two tokens for a restarted host.
    int extra = 0;
    const auto useUp = [&](extra_call_budget &budget) {
        while (budget.tryAcquireRetry()) {
            ++extra;
        }
    };
    for (std::uint32_t host = 0; host < hosts; ++host) {
        extra_call_budget budget(limits, {hosts, hosts});
        useUp(budget);
    }
    for (int restart = 0; restart < 5; ++restart) {
        extra_call_budget budget(limits, {hosts, hostsAfterRestart});
        useUp(budget);
    }
    EXPECT_LE(extra, limits.slack);
    EXPECT_GE(extra, limits.slack * 0.7);
}

// Load pattern: backend servers fail while hosts are restarted. Guards against hosts that together exceed the bound, and against hosts that
// have no tokens after a restart although their requests have earned some: a host may save up its whole part.
RC_GTEST_PROP(ExtraCallBudgetTest, restartedHostsUseWhatTheirRequestsEarn, ())
{
    const extra_call_limits limits{0.2, 52};
    constexpr std::uint32_t hosts = 4;
    constexpr std::uint32_t hostsAfterRestart = 26; // As host_counter assumes for 10 s: two tokens for a restarted host.
    constexpr int windowMs = 10'000;
    std::vector<extra_call_budget> budgets(hosts, extra_call_budget(limits, {hosts, hosts}));
    std::vector<int> startedAtMs(hosts, -windowMs);
    std::deque<int> restartsMs;
    std::vector<std::pair<int, bool>> history; // Time and whether the call is an extra one.
    int now = 0;
    for (int i = 0; i < 3000; ++i) {
        now += *rc::gen::inRange(0, 30);
        const auto host = static_cast<std::size_t>(*rc::gen::inRange<std::uint32_t>(0, hosts));
        if (now - startedAtMs[host] >= windowMs) {
            budgets[host].setDivision({hosts, hosts});
        }
        while (!restartsMs.empty() && now - restartsMs.front() >= windowMs) {
            restartsMs.pop_front();
        }
        const int event = *rc::gen::inRange(0, 100);
        if (event == 0 && restartsMs.size() < 5) {
            budgets[host] = extra_call_budget(limits, {hosts, hostsAfterRestart});
            startedAtMs[host] = now;
            restartsMs.push_back(now);
        } else if (event < 60) {
            budgets[host].recordFirstCall();
            history.emplace_back(now, false);
        } else if (budgets[host].tryAcquireRetry()) {
            history.emplace_back(now, true);
        }
    }
    for (std::size_t begin = 0; begin < history.size(); ++begin) {
        int extra = 0;
        int first = 0;
        for (std::size_t i = begin; i < history.size() && history[i].first < history[begin].first + windowMs; ++i) {
            ++(history[i].second ? extra : first);
        }
        RC_ASSERT(static_cast<double>(extra) <= limits.share * static_cast<double>(first) + limits.slack);
    }
    extra_call_budget restarted(limits, {hosts, hostsAfterRestart});
    for (int request = 0; request < 100; ++request) {
        restarted.recordFirstCall();
    }
    RC_ASSERT(restarted.tokens() >= 10);
}

// Guards against hedges that use up the tokens for retries of failed calls.
TEST(ExtraCallBudgetTest, hedgesLeaveTokensForRetries)
{
    extra_call_budget budget({0.2, 20}, {2, 2});
    while (budget.tryAcquireHedge()) {
    }
    EXPECT_TRUE(budget.tryAcquireRetry());
    EXPECT_FALSE(budget.canHedge());
}

// Guards against hosts that keep their larger shares of the slack after more hosts have joined.
TEST(ExtraCallBudgetTest, moreHostsShrinkTheCapacityAtOnce)
{
    extra_call_budget budget({0.2, 25}, {2, 2});
    budget.setDivision({10, 10});
    int taken = 0;
    while (budget.tryAcquireRetry()) {
        ++taken;
    }
    EXPECT_EQ(taken, 2);
}

// Guards against hosts that together send more calls within a second to a cold backend server than its limit.
RC_GTEST_PROP(ColdRateLimitTest, hostsTogetherStayWithinTheRate, ())
{
    const auto hosts = *rc::gen::inRange<std::uint32_t>(1, 40);
    const double perWindow = 17;
    std::vector<cold_rate_limit> limits(hosts);
    std::deque<time_point> sent;
    auto now = startTime;
    for (int i = 0; i < 2000; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 20));
        const auto host = *rc::gen::inRange<std::uint32_t>(0, hosts);
        if (limits[host].tryAcquire(perWindow, {hosts, host}, now)) {
            sent.push_back(now);
        }
        while (!sent.empty() && now - sent.front() >= std::chrono::seconds(1)) {
            sent.pop_front();
        }
        RC_ASSERT(static_cast<double>(sent.size()) <= perWindow);
    }
}

// Guards against calls that count against the limit for longer than the window, or for less than half of it.
TEST(ColdRateLimitTest, allowsCallsAgainAfterTheWindow)
{
    cold_rate_limit limit;
    EXPECT_TRUE(limit.tryAcquire(2, {2, 0}, startTime));
    EXPECT_FALSE(limit.tryAcquire(2, {2, 0}, startTime + milliseconds(500)));
    EXPECT_TRUE(limit.tryAcquire(2, {2, 0}, startTime + cold_rate_limit::window));
}

// Guards against parts of a limit that add up to more than the limit, or that leave most of it unused, in fleets of any size.
TEST(LimitShareTest, partsOfAllHostsAddUpToTheLimit)
{
    for (const std::uint32_t hosts : {1U, 2U, 5U, 29U, 118U, 139U, 300U, 3900U}) {
        for (const double limit : {0.0, 0.9, 1.0, 20.0, 57.0, 175.0, 417.5, 5000.0}) {
            for (const std::uint32_t usefulCalls : {1U, 3U}) {
                double sum = 0;
                for (std::uint32_t rank = 0; rank < hosts; ++rank) {
                    sum += limit_share{hosts, rank}.divide(limit, usefulCalls);
                }
                EXPECT_LE(sum, limit) << hosts << " hosts";
                EXPECT_GE(sum, std::min(limit / 2, limit - usefulCalls)) << hosts << " hosts, limit " << limit;
            }
        }
    }
}

// Guards against hosts that restart and get their part of the slack a second time within the users' window.
TEST(ExtraCallBudgetTest, aHigherCapacityIsGrantedOnce)
{
    extra_call_budget budget({0.2, 20}, {10, 10});
    EXPECT_TRUE(budget.tryAcquireRetry());
    budget.setDivision({4, 4});
    budget.setDivision({10, 10});
    budget.setDivision({4, 4});
    int taken = 0;
    while (budget.tryAcquireRetry()) {
        ++taken;
    }
    EXPECT_LE(taken, 4);
}
