#include "fakes/fake_owner.h"

#include <limits/backend_limiter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const time_point begin{std::chrono::hours(1)};
const time_point farAway = begin + std::chrono::hours(1);

limiter_settings twoSlots()
{
    limiter_settings settings;
    settings.slots = 2;
    settings.coldSlots = 1;
    settings.connections = 25;
    settings.connectionCost = 6ms;
    settings.rampTime = 400ms;
    return settings;
}

limiter_settings randomSettings(random_source &random)
{
    limiter_settings settings;
    settings.slots = static_cast<std::uint32_t>(2 + random.below(4));
    settings.coldSlots = static_cast<std::uint32_t>(1 + random.below(settings.slots - 1));
    settings.connections = settings.slots + static_cast<std::uint32_t>(random.below(8));
    settings.connectionCost = std::chrono::milliseconds(random.below(7));
    settings.rampTime = std::chrono::milliseconds(100 + random.below(400));
    return settings;
}

backend_report makeReport(backend_state state, const std::string &instance = "a", std::uint32_t inUse = 1)
{
    backend_report report;
    report.state = state;
    report.instance = instance;
    report.slots = 2;
    report.slotsInUse = inUse;
    return report;
}

std::vector<limiter_action> actionsOf(backend_limiter &limiter)
{
    std::vector<limiter_action> actions;
    limiter.takeActions(actions);
    return actions;
}

// Sends one call and answers it.
void serve(backend_limiter &limiter,
           call_number call,
           const backend_report &report,
           time_point now,
           call_result result = call_result::served)
{
    ASSERT_EQ(limiter.admit(call, now + 1s, 1, now).result, admit_result::started);
    const auto actions = actionsOf(limiter);
    if (actions.at(0).newConnection) {
        limiter.connectionOpened(call, now);
    }
    limiter.answered(call, result, &report, 4ms, now);
}

backend_limiter makeLimiter(const limiter_settings &settings, time_point leaseEnd = farAway)
{
    return *backend_limiter::create(settings, leaseEnd, begin);
}

// A limiter that has reached its full limit.
backend_limiter makeWarm(time_point now)
{
    auto limiter = makeLimiter(twoSlots());
    serve(limiter, 9001, makeReport(backend_state::warm), now - 200ms);
    serve(limiter, 9002, makeReport(backend_state::warm), now - 50ms);
    EXPECT_EQ(limiter.limit(now), 2U);
    return limiter;
}

} // namespace

// Guards against more calls, including abandoned ones, than the backend server bears, when it turns cold at random.
RC_GTEST_PROP(BackendLimiterProperty, NeverMoreThanItBears, (std::uint32_t seed))
{
    random_source random(seed);
    const auto settings = randomSettings(random);
    fake_owner owner(random.next(), settings, owner_defect::none);
    const auto violation = owner.run(1000);
    if (violation) {
        RC_FAIL(*violation);
    }
    RC_ASSERT(owner.started() > 10U);
}

// Guards against a property that cannot fail: with one mechanism out of use the same check has to find a violation.
TEST(BackendLimiterProperty, FindsEachDefect)
{
    for (const auto defect : {owner_defect::releasesAbandoned, owner_defect::hidesState, owner_defect::ignoresResets}) {
        int found = 0;
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            random_source random(seed);
            const auto settings = randomSettings(random);
            fake_owner owner(random.next(), settings, defect);
            found += owner.run(400).has_value() ? 1 : 0;
        }
        EXPECT_GT(found, 0) << "defect " << static_cast<int>(defect);
        RecordProperty("defect_" + std::to_string(static_cast<int>(defect)), found);
    }
}

// Guards against a ramp that is too fast, or that goes on after a cold answer.
TEST(BackendLimiter, RampDoublesOnlyWithWarmAnswers)
{
    auto settings = twoSlots();
    settings.slots = 8;
    auto limiter = makeLimiter(settings);
    EXPECT_EQ(limiter.limit(begin), 1U);
    serve(limiter, 1, makeReport(backend_state::warm), begin);
    EXPECT_EQ(limiter.limit(begin), 1U);
    serve(limiter, 2, makeReport(backend_state::warm), begin + 99ms);
    EXPECT_EQ(limiter.limit(begin + 99ms), 1U);
    serve(limiter, 3, makeReport(backend_state::warm), begin + 100ms);
    EXPECT_EQ(limiter.limit(begin + 100ms), 2U);
    serve(limiter, 4, makeReport(backend_state::warm), begin + 200ms);
    EXPECT_EQ(limiter.limit(begin + 200ms), 4U);
    serve(limiter, 5, makeReport(backend_state::cold), begin + 300ms);
    EXPECT_EQ(limiter.limit(begin + 300ms), 1U);
    EXPECT_EQ(limiter.state(), backend_state::cold);
}

// Guards against a restarted backend server that is taken for warm.
TEST(BackendLimiter, NewInstanceAndResetMeanCold)
{
    auto limiter = makeWarm(begin + 1s);
    serve(limiter, 1, makeReport(backend_state::warm, "b"), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    EXPECT_EQ(limiter.state(), backend_state::cold);

    limiter = makeWarm(begin + 1s);
    ASSERT_EQ(limiter.admit(1, begin + 2s, 1, begin + 1s).result, admit_result::started);
    limiter.connectionClosed(1, begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    EXPECT_EQ(limiter.occupied(), 0U);

    limiter = makeWarm(begin + 1s);
    limiter.probeFailed(begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
}

// Guards against queued calls that wait for a backend server that refuses connections.
TEST(BackendLimiter, RefusedConnectionDropsTheQueue)
{
    auto limiter = makeLimiter(twoSlots());
    ASSERT_EQ(limiter.admit(1, begin + 1s, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 1s, 1, begin).result, admit_result::queued);
    actionsOf(limiter);
    limiter.connectionFailed(1, begin + 1ms);
    const auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].kind, limiter_action_kind::drop);
    EXPECT_EQ(actions[0].call, 2U);
    EXPECT_EQ(actions[0].code, error_code::unreachable);
    EXPECT_EQ(limiter.openConnections(), 0U);
}

// Guards against full speed after a silence, and against a probe that raises the limit.
TEST(BackendLimiter, UnconfirmedUntilAWarmAnswer)
{
    auto limiter = makeWarm(begin + 1s);
    const auto later = begin + 3100ms;
    EXPECT_TRUE(limiter.unconfirmed(later));
    EXPECT_TRUE(limiter.probeDue(later));
    EXPECT_EQ(limiter.limit(later), 1U);
    limiter.probed(makeReport(backend_state::warm), later);
    EXPECT_EQ(limiter.limit(later), 1U);
    EXPECT_FALSE(limiter.probeDue(later));
    serve(limiter, 1, makeReport(backend_state::warm), later);
    EXPECT_EQ(limiter.limit(later), 2U);
    limiter.probed(makeReport(backend_state::cold), later);
    EXPECT_EQ(limiter.limit(later), 1U);
}

// Guards against new work for a draining or leaving backend server, and against one that stays out for good.
TEST(BackendLimiter, DrainingAndLeavingGetNothing)
{
    auto limiter = makeWarm(begin + 1s);
    ASSERT_EQ(limiter.admit(1, begin + 2s, 1, begin + 1s).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 2s, 1, begin + 1s).result, admit_result::started);
    ASSERT_EQ(limiter.admit(3, begin + 2s, 1, begin + 1s).result, admit_result::queued);
    actionsOf(limiter);
    limiter.probed(makeReport(backend_state::draining), begin + 1s);
    const auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].code, error_code::draining);
    EXPECT_EQ(limiter.admit(4, begin + 2s, 1, begin + 1s).code, error_code::draining);
    limiter.probed(makeReport(backend_state::warm), begin + 2s);
    EXPECT_EQ(limiter.limit(begin + 2s), 0U) << "a probe must not end draining at once";
    limiter.probed(makeReport(backend_state::warm), begin + 6s);
    EXPECT_EQ(limiter.limit(begin + 6s), 1U);

    limiter.setLeaving(true, begin + 6s);
    EXPECT_EQ(limiter.admit(5, begin + 7s, 1, begin + 6s).code, error_code::draining);
    limiter.probed(makeReport(backend_state::warm, "b"), begin + 6s);
    EXPECT_EQ(limiter.limit(begin + 6s), 0U) << "the host list takes precedence over other sources";
    limiter.setLeaving(false, begin + 7s);
    EXPECT_EQ(limiter.limit(begin + 7s), 1U);
}

// Guards against ignoring load shedding, and against a limit that stays low after it.
TEST(BackendLimiter, ShedLowersTheLimitForASecond)
{
    auto limiter = makeWarm(begin + 1s);
    serve(limiter, 1, makeReport(backend_state::warm), begin + 1s, call_result::shed);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    EXPECT_EQ(limiter.limit(begin + 1999ms), 1U);
    EXPECT_EQ(limiter.limit(begin + 2s), 2U);
}

// Guards against calls that wait for a backend server that gets nothing for longer than they can wait.
TEST(BackendLimiter, ColdShedDropsCallsThatCannotWait)
{
    auto limiter = makeLimiter(twoSlots());
    ASSERT_EQ(limiter.admit(1, begin + 3s, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 500ms, 1, begin).result, admit_result::queued);
    ASSERT_EQ(limiter.admit(3, begin + 3s, 1, begin).result, admit_result::queued);
    actionsOf(limiter);
    const auto report = makeReport(backend_state::cold);
    limiter.answered(1, call_result::shed, &report, 0ms, begin);
    auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 2U);
    EXPECT_EQ(actions[0].code, error_code::overloaded);
    EXPECT_EQ(limiter.limit(begin), 0U);
    EXPECT_EQ(limiter.admit(4, begin + 500ms, 1, begin).code, error_code::overloaded);
    limiter.wakeup(begin + 1s);
    actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 3U);
}

// Guards against ignoring another sender, and against one odd answer that lowers the limit.
TEST(BackendLimiter, ForeignLoadNeedsTwoAnswers)
{
    auto limiter = makeWarm(begin + 1s);
    serve(limiter, 1, makeReport(backend_state::warm, "a", 2), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 2U);
    serve(limiter, 2, makeReport(backend_state::warm, "a", 2), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    serve(limiter, 3, makeReport(backend_state::warm, "a", 1), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 2U);
}

// Guards against a slot that is reused while the backend server may still work on a call, and one that is lost for good.
TEST(BackendLimiter, AbandonedCallKeepsItsSlotUntilTheGraceEnds)
{
    auto limiter = makeLimiter(twoSlots());
    ASSERT_EQ(limiter.admit(1, begin + 50ms, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 1s, 1, begin).result, admit_result::queued);
    actionsOf(limiter);
    EXPECT_FALSE(limiter.abandon(1, begin + 10ms));
    limiter.wakeup(begin + 299ms);
    EXPECT_TRUE(actionsOf(limiter).empty());
    EXPECT_EQ(limiter.occupied(), 1U);
    EXPECT_EQ(limiter.nextWakeup(), begin + 300ms);
    limiter.wakeup(begin + 300ms);
    const auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 2U);
    EXPECT_EQ(actions[0].kind, limiter_action_kind::start);
}

// Guards against a queue in order of arrival, and against sending calls that cannot be answered in time.
TEST(BackendLimiter, EarliestDeadlineFirstAndDropsLateCalls)
{
    auto limiter = makeLimiter(twoSlots());
    serve(limiter, 1, makeReport(backend_state::cold), begin); // The median is now 4 ms.
    ASSERT_EQ(limiter.admit(2, begin + 900ms, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(3, begin + 800ms, 1, begin).result, admit_result::queued);
    ASSERT_EQ(limiter.admit(4, begin + 700ms, 1, begin).result, admit_result::queued);
    ASSERT_EQ(limiter.admit(5, begin + 20ms, 1, begin).result, admit_result::queued);
    EXPECT_EQ(limiter.admit(6, begin + 3ms, 1, begin).code, error_code::deadlineExceeded);
    actionsOf(limiter);
    ASSERT_TRUE(limiter.nextWakeup().has_value());
    EXPECT_LE(*limiter.nextWakeup(), begin + 17ms);
    limiter.wakeup(begin + 17ms);
    auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 5U);
    EXPECT_EQ(actions[0].code, error_code::deadlineExceeded);
    const auto report = makeReport(backend_state::cold);
    limiter.answered(2, call_result::served, &report, 4ms, begin + 20ms);
    actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 4U);
}

// Guards against a queue so long that every call in it starts too late to be useful.
TEST(BackendLimiter, RefusesEarlyWhenTheWaitIsTooLong)
{
    auto limiter = makeLimiter(twoSlots());
    serve(limiter, 1, makeReport(backend_state::cold), begin);
    int queued = 0;
    for (call_number call = 2; call < 100; ++call) {
        const auto decision = limiter.admit(call, begin + 80ms, 1, begin);
        queued += decision.result == admit_result::queued ? 1 : 0;
        if (decision.result == admit_result::refused) {
            EXPECT_EQ(decision.code, error_code::overloaded);
        }
    }
    EXPECT_EQ(queued, 10) << "half of 80 ms at 4 ms a call";
    actionsOf(limiter);
    EXPECT_EQ(limiter.admit(200, begin + 81ms, 0, begin).result, admit_result::queued);
    const auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].code, error_code::overloaded);
}

// Guards against several new connections at a time to a cold backend server and against exceeding the connection limit.
TEST(BackendLimiter, OneNewConnectionAtATimeWhileCold)
{
    auto settings = twoSlots();
    settings.slots = 3;
    settings.coldSlots = 3;
    settings.connections = 3;
    auto limiter = makeLimiter(settings);
    ASSERT_EQ(limiter.admit(1, begin + 1s, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 1s, 1, begin).result, admit_result::queued);
    limiter.connectionOpened(1, begin + 1ms);
    EXPECT_EQ(actionsOf(limiter).size(), 1U);
    EXPECT_EQ(limiter.nextWakeup(), begin + 7ms) << "the next connection waits for the cost of the one before";
    limiter.wakeup(begin + 7ms);
    const auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(actions[0].newConnection);
}

// Guards against an order on a reused connection, and against exceeding the connections for it.
TEST(BackendLimiter, FreshConnectionReplacesAnIdleOne)
{
    auto settings = twoSlots();
    settings.connections = 2;
    auto limiter = makeLimiter(settings);
    serve(limiter, 1, makeReport(backend_state::warm), begin);
    serve(limiter, 2, makeReport(backend_state::warm), begin + 100ms);
    ASSERT_EQ(limiter.openConnections(), 1U);
    ASSERT_EQ(limiter.admit(3, begin + 1s, 1, begin + 200ms).result, admit_result::started);
    ASSERT_EQ(limiter.admit(4, begin + 1s, 1, begin + 200ms).result, admit_result::started);
    actionsOf(limiter);
    limiter.connectionOpened(4, begin + 200ms);
    const auto report = makeReport(backend_state::warm);
    limiter.answered(3, call_result::served, &report, 4ms, begin + 204ms);
    ASSERT_EQ(limiter.admit(5, begin + 1s, 1, begin + 210ms, true).result, admit_result::started);
    const auto actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(actions[0].newConnection);
    EXPECT_TRUE(actions[0].closeIdle);
    EXPECT_EQ(limiter.openConnections(), 2U);
}

// Guards against calls that outlive the lease, which would meet the calls of the next owner.
TEST(BackendLimiter, SendsNothingThatOutlivesTheLease)
{
    auto limiter = makeLimiter(twoSlots(), begin + 1s);
    ASSERT_EQ(limiter.admit(1, begin + 5s, 1, begin).result, admit_result::started);
    auto actions = actionsOf(limiter);
    EXPECT_EQ(actions.at(0).deadline, begin + 750ms);
    limiter.connectionOpened(1, begin);
    const auto report = makeReport(backend_state::warm);
    limiter.answered(1, call_result::served, &report, 4ms, begin + 10ms);
    EXPECT_EQ(limiter.admit(2, begin + 5s, 1, begin + 748ms).result, admit_result::queued);
    EXPECT_TRUE(actionsOf(limiter).empty());
    limiter.setLeaseEnd(begin + 4s, begin + 800ms);
    actions = actionsOf(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].deadline, begin + 2800ms) << "at most 2 s";
    EXPECT_EQ(limiter.admit(3, begin + 5s, 1, begin + 4s).code, error_code::notOwner);
}

// Guards against shares that together exceed what the backend server bears.
TEST(BackendLimiter, SharesAreRoundedDown)
{
    auto limiter = makeWarm(begin + 1s);
    limiter.setShare(2, begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    limiter.setShare(3, begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 0U);
    EXPECT_EQ(limiter.admit(1, begin + 2s, 1, begin + 1s).code, error_code::overloaded);
}

// Guards against slots spent on calls that are too late to be useful: at twice the load that a backend server bears, at
// least 90% of what it bears must be answered in time, and right after the overload everything again.
TEST(BackendLimiter, StaysUsefulUnderOverload)
{
    auto settings = twoSlots();
    settings.coldSlots = 2;
    auto limiter = makeLimiter(settings, begin + std::chrono::hours(10));
    random_source random(11);
    std::map<call_number, std::pair<time_point, time_point>> working; // End of the work and deadline of the caller.
    std::map<call_number, time_point> deadlines;
    auto report = makeReport(backend_state::warm);
    auto now = begin;
    call_number call = 0;
    std::size_t useful = 0;
    std::size_t refusedAfter = 0;
    std::size_t usefulAfter = 0;
    std::size_t offeredAfter = 0;
    // Service times are exponential with a mean of 4 ms, so two slots bear 500 calls a second.
    const auto exponential = [&random](double meanMicros) {
        return std::chrono::microseconds(static_cast<std::int64_t>(-std::log(1 - random.unit()) * meanMicros));
    };
    const auto overloadEnd = begin + 20s;
    const auto end = begin + 30s;
    auto arrival = begin;
    while (now < end) {
        auto next = arrival;
        for (const auto &[number, work] : working) {
            next = std::min(next, work.first);
        }
        next = std::min(next, limiter.nextWakeup().value_or(next));
        now = std::max(now, next);
        const auto done = std::find_if(working.begin(), working.end(), [now](const auto &entry) { return entry.second.first <= now; });
        if (done != working.end()) {
            const auto [number, work] = *done;
            report.slotsInUse = static_cast<std::uint32_t>(working.size());
            working.erase(done);
            const bool inTime = now <= work.second;
            useful += inTime && now < overloadEnd ? 1 : 0;
            usefulAfter += inTime && now >= overloadEnd + 1s ? 1 : 0;
            limiter.answered(number, call_result::served, &report, 4ms, now);
        } else if (now >= arrival) {
            const bool overload = now < overloadEnd;
            arrival = now + exponential(overload ? 1000 : 4000);
            offeredAfter += now >= overloadEnd + 1s ? 1 : 0;
            deadlines[++call] = now + 60ms;
            const auto decision = limiter.admit(call, now + 60ms, 1, now);
            refusedAfter += now >= overloadEnd + 1s && decision.result == admit_result::refused ? 1 : 0;
        } else {
            limiter.wakeup(now);
        }
        for (const auto &action : actionsOf(limiter)) {
            if (action.kind == limiter_action_kind::start) {
                working[action.call] = {now + exponential(4000), deadlines[action.call]};
                if (action.newConnection) {
                    limiter.connectionOpened(action.call, now);
                }
            }
        }
    }
    const double share = static_cast<double>(useful) / (20 * 500);
    RecordProperty("useful_ppm", static_cast<int>(share * 1e6));
    EXPECT_GE(share, 0.9);
    EXPECT_GE(static_cast<double>(usefulAfter) / static_cast<double>(offeredAfter), 0.99);
    EXPECT_LE(refusedAfter, offeredAfter / 100);
}

// Guards against settings that would block or overload a backend server.
TEST(BackendLimiter, RejectsImpossibleSettings)
{
    auto settings = twoSlots();
    settings.coldSlots = 3;
    EXPECT_FALSE(backend_limiter::create(settings, farAway, begin).has_value());
    settings = twoSlots();
    settings.connections = 1;
    EXPECT_FALSE(backend_limiter::create(settings, farAway, begin).has_value());
    settings = twoSlots();
    settings.slots = 0;
    EXPECT_FALSE(backend_limiter::create(settings, farAway, begin).has_value());
}
