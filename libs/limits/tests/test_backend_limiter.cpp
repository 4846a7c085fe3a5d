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
const time_point distantLeaseEnd = begin + std::chrono::hours(1);

limiter_settings twoSlotSettings()
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

std::vector<limiter_action> fetchActions(backend_limiter &limiter)
{
    std::vector<limiter_action> actions;
    limiter.takeActions(actions);
    return actions;
}

// Sends one call and answers it at the same time.
void sendAndAnswer(backend_limiter &limiter,
                   call_number call,
                   const backend_report &report,
                   time_point now,
                   call_result result = call_result::served)
{
    ASSERT_EQ(limiter.admit(call, now + 1s, 1, now).result, admit_result::started);
    const auto actions = fetchActions(limiter);
    if (actions.at(0).newConnection) {
        limiter.connectionOpened(call, now);
    }
    limiter.answered(call, result, &report, 4ms, now);
}

backend_limiter makeLimiter(const limiter_settings &settings, time_point leaseEnd = distantLeaseEnd)
{
    return *backend_limiter::create(settings, leaseEnd, begin);
}

// Returns a limiter whose ramp has reached the full limit at the given time.
backend_limiter makeWarmLimiter(time_point now)
{
    auto limiter = makeLimiter(twoSlotSettings());
    sendAndAnswer(limiter, 9001, makeReport(backend_state::warm), now - 200ms);
    sendAndAnswer(limiter, 9002, makeReport(backend_state::warm), now - 50ms);
    EXPECT_EQ(limiter.limit(now), 2U);
    return limiter;
}

} // namespace

// Guards against more calls in progress, including abandoned ones, than the backend server has slots or, once its cold state was
// reported, than its current capacity. The backend server becomes cold at random times.
RC_GTEST_PROP(BackendLimiterProperty, NeverExceedsTheCapacity, (std::uint32_t seed))
{
    random_source random(seed);
    const auto settings = randomSettings(random);
    fake_owner owner(random.next(), settings, owner_defect::none);
    const auto violation = owner.run(1000);
    if (violation) {
        RC_FAIL(*violation);
    }
    RC_ASSERT(owner.startedCalls() > 10U);
}

// Guards against a property that cannot fail: with one mechanism disabled, the same check must find a violation.
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

// Guards against a ramp that is too fast or continues after a cold answer.
TEST(BackendLimiter, RampDoublesOnlyWithWarmAnswers)
{
    auto settings = twoSlotSettings();
    settings.slots = 8;
    auto limiter = makeLimiter(settings);
    EXPECT_EQ(limiter.limit(begin), 1U);
    sendAndAnswer(limiter, 1, makeReport(backend_state::warm), begin);
    EXPECT_EQ(limiter.limit(begin), 1U);
    sendAndAnswer(limiter, 2, makeReport(backend_state::warm), begin + 99ms);
    EXPECT_EQ(limiter.limit(begin + 99ms), 1U);
    sendAndAnswer(limiter, 3, makeReport(backend_state::warm), begin + 100ms);
    EXPECT_EQ(limiter.limit(begin + 100ms), 2U);
    sendAndAnswer(limiter, 4, makeReport(backend_state::warm), begin + 200ms);
    EXPECT_EQ(limiter.limit(begin + 200ms), 4U);
    sendAndAnswer(limiter, 5, makeReport(backend_state::cold), begin + 300ms);
    EXPECT_EQ(limiter.limit(begin + 300ms), 1U);
    EXPECT_EQ(limiter.state(), backend_state::cold);
}

// Guards against treating a restarted backend server as warm.
TEST(BackendLimiter, NewInstanceResetAndFailedProbeMeanCold)
{
    auto limiter = makeWarmLimiter(begin + 1s);
    sendAndAnswer(limiter, 1, makeReport(backend_state::warm, "b"), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    EXPECT_EQ(limiter.state(), backend_state::cold);

    limiter = makeWarmLimiter(begin + 1s);
    ASSERT_EQ(limiter.admit(1, begin + 2s, 1, begin + 1s).result, admit_result::started);
    limiter.connectionClosed(1, begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    EXPECT_EQ(limiter.occupied(), 0U);

    limiter = makeWarmLimiter(begin + 1s);
    limiter.probeFailed(begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
}

// Guards against calls that stay queued while the backend server refuses connections.
TEST(BackendLimiter, RefusedConnectionDropsTheQueue)
{
    auto limiter = makeLimiter(twoSlotSettings());
    ASSERT_EQ(limiter.admit(1, begin + 1s, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 1s, 1, begin).result, admit_result::queued);
    fetchActions(limiter);
    limiter.connectionFailed(1, begin + 1ms);
    const auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].kind, limiter_action_kind::drop);
    EXPECT_EQ(actions[0].call, 2U);
    EXPECT_EQ(actions[0].code, error_code::unreachable);
    EXPECT_EQ(limiter.openConnections(), 0U);
}

// Guards against keeping the full limit after 2 s without answers, and against a probe that raises the limit.
TEST(BackendLimiter, UnconfirmedUntilAWarmAnswer)
{
    auto limiter = makeWarmLimiter(begin + 1s);
    const auto afterSilence = begin + 3100ms;
    EXPECT_TRUE(limiter.unconfirmed(afterSilence));
    EXPECT_TRUE(limiter.probeDue(afterSilence));
    EXPECT_EQ(limiter.limit(afterSilence), 1U);
    limiter.probeAnswered(makeReport(backend_state::warm), afterSilence);
    EXPECT_EQ(limiter.limit(afterSilence), 1U);
    EXPECT_FALSE(limiter.probeDue(afterSilence));
    sendAndAnswer(limiter, 1, makeReport(backend_state::warm), afterSilence);
    EXPECT_EQ(limiter.limit(afterSilence), 2U);
    limiter.probeAnswered(makeReport(backend_state::cold), afterSilence);
    EXPECT_EQ(limiter.limit(afterSilence), 1U);
}

// Guards against new calls to a draining or leaving backend server, and against a limit of 0 that remains when the state ends.
TEST(BackendLimiter, DrainingAndLeavingGetNoCalls)
{
    auto limiter = makeWarmLimiter(begin + 1s);
    ASSERT_EQ(limiter.admit(1, begin + 2s, 1, begin + 1s).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 2s, 1, begin + 1s).result, admit_result::started);
    ASSERT_EQ(limiter.admit(3, begin + 2s, 1, begin + 1s).result, admit_result::queued);
    fetchActions(limiter);
    limiter.probeAnswered(makeReport(backend_state::draining), begin + 1s);
    const auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].code, error_code::draining);
    EXPECT_EQ(limiter.admit(4, begin + 2s, 1, begin + 1s).code, error_code::draining);
    limiter.probeAnswered(makeReport(backend_state::warm), begin + 2s);
    EXPECT_EQ(limiter.limit(begin + 2s), 0U) << "a probe must not end draining at once";
    limiter.probeAnswered(makeReport(backend_state::warm), begin + 6s);
    EXPECT_EQ(limiter.limit(begin + 6s), 1U);

    limiter.setLeaving(true, begin + 6s);
    EXPECT_EQ(limiter.admit(5, begin + 7s, 1, begin + 6s).code, error_code::draining);
    limiter.probeAnswered(makeReport(backend_state::warm, "b"), begin + 6s);
    EXPECT_EQ(limiter.limit(begin + 6s), 0U) << "the host list takes precedence over other sources";
    limiter.setLeaving(false, begin + 7s);
    EXPECT_EQ(limiter.limit(begin + 7s), 1U);
}

// Guards against ignoring load shedding, and against a limit that stays low for longer than 1 s.
TEST(BackendLimiter, LoadSheddingLowersTheLimitForASecond)
{
    auto limiter = makeWarmLimiter(begin + 1s);
    sendAndAnswer(limiter, 1, makeReport(backend_state::warm), begin + 1s, call_result::shed);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    EXPECT_EQ(limiter.limit(begin + 1999ms), 1U);
    EXPECT_EQ(limiter.limit(begin + 2s), 2U);
}

// Guards against queuing calls that cannot meet their deadline: a cold backend server with one cold slot gets no calls for 1 s
// after load shedding.
TEST(BackendLimiter, ColdLoadSheddingDropsCallsThatCannotWait)
{
    auto limiter = makeLimiter(twoSlotSettings());
    ASSERT_EQ(limiter.admit(1, begin + 3s, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 500ms, 1, begin).result, admit_result::queued);
    ASSERT_EQ(limiter.admit(3, begin + 3s, 1, begin).result, admit_result::queued);
    fetchActions(limiter);
    const auto report = makeReport(backend_state::cold);
    limiter.answered(1, call_result::shed, &report, 0ms, begin);
    auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 2U);
    EXPECT_EQ(actions[0].code, error_code::overloaded);
    EXPECT_EQ(limiter.limit(begin), 0U);
    EXPECT_EQ(limiter.admit(4, begin + 500ms, 1, begin).code, error_code::overloaded);
    limiter.wakeup(begin + 1s);
    actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 3U);
}

// Guards against ignoring the load of other senders, and against lowering the limit because of a single answer.
TEST(BackendLimiter, LoadOfOtherSendersNeedsTwoAnswers)
{
    auto limiter = makeWarmLimiter(begin + 1s);
    sendAndAnswer(limiter, 1, makeReport(backend_state::warm, "a", 2), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 2U);
    sendAndAnswer(limiter, 2, makeReport(backend_state::warm, "a", 2), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    sendAndAnswer(limiter, 3, makeReport(backend_state::warm, "a", 1), begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 2U);
}

// Guards against reusing a slot while the backend server may still work on its call, and against never freeing the slot.
TEST(BackendLimiter, AbandonedCallKeepsItsSlotUntilTheGraceEnds)
{
    auto limiter = makeLimiter(twoSlotSettings());
    ASSERT_EQ(limiter.admit(1, begin + 50ms, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 1s, 1, begin).result, admit_result::queued);
    fetchActions(limiter);
    EXPECT_FALSE(limiter.abandon(1, begin + 10ms));
    limiter.wakeup(begin + 299ms);
    EXPECT_TRUE(fetchActions(limiter).empty());
    EXPECT_EQ(limiter.occupied(), 1U);
    EXPECT_EQ(limiter.nextWakeup(), begin + 300ms);
    limiter.wakeup(begin + 300ms);
    const auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 2U);
    EXPECT_EQ(actions[0].kind, limiter_action_kind::start);
}

// Guards against serving the queue in order of arrival, and against sending calls that cannot be answered in time.
TEST(BackendLimiter, EarliestDeadlineFirstAndDropsLateCalls)
{
    auto limiter = makeLimiter(twoSlotSettings());
    sendAndAnswer(limiter, 1, makeReport(backend_state::cold), begin); // Sets the median service time to 4 ms.
    ASSERT_EQ(limiter.admit(2, begin + 900ms, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(3, begin + 800ms, 1, begin).result, admit_result::queued);
    ASSERT_EQ(limiter.admit(4, begin + 700ms, 1, begin).result, admit_result::queued);
    ASSERT_EQ(limiter.admit(5, begin + 20ms, 1, begin).result, admit_result::queued);
    EXPECT_EQ(limiter.admit(6, begin + 3ms, 1, begin).code, error_code::deadlineExceeded);
    fetchActions(limiter);
    ASSERT_TRUE(limiter.nextWakeup().has_value());
    EXPECT_LE(*limiter.nextWakeup(), begin + 17ms);
    limiter.wakeup(begin + 17ms);
    auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 5U);
    EXPECT_EQ(actions[0].code, error_code::deadlineExceeded);
    const auto report = makeReport(backend_state::cold);
    limiter.answered(2, call_result::served, &report, 4ms, begin + 20ms);
    actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].call, 4U);
}

// Guards against a queue so long that every call in it starts too late to meet its deadline, and against refusing a call of
// a higher priority instead of dropping a queued one.
TEST(BackendLimiter, RefusesEarlyWhenTheWaitIsTooLong)
{
    auto limiter = makeLimiter(twoSlotSettings());
    sendAndAnswer(limiter, 1, makeReport(backend_state::cold), begin);
    int queued = 0;
    for (call_number call = 2; call < 100; ++call) {
        const auto decision = limiter.admit(call, begin + 80ms, 1, begin);
        queued += decision.result == admit_result::queued ? 1 : 0;
        if (decision.result == admit_result::refused) {
            EXPECT_EQ(decision.code, error_code::overloaded);
        }
    }
    EXPECT_EQ(queued, 10) << "calls of 4 ms that fit into half of 80 ms";
    fetchActions(limiter);
    EXPECT_EQ(limiter.admit(200, begin + 81ms, 0, begin).result, admit_result::queued);
    const auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].code, error_code::overloaded);
}

// Guards against opening several connections at a time to a cold backend server, and against opening the next one sooner than
// connectionCost after the previous one.
TEST(BackendLimiter, OneNewConnectionAtATimeWhileCold)
{
    auto settings = twoSlotSettings();
    settings.slots = 3;
    settings.coldSlots = 3;
    settings.connections = 3;
    auto limiter = makeLimiter(settings);
    ASSERT_EQ(limiter.admit(1, begin + 1s, 1, begin).result, admit_result::started);
    ASSERT_EQ(limiter.admit(2, begin + 1s, 1, begin).result, admit_result::queued);
    limiter.connectionOpened(1, begin + 1ms);
    EXPECT_EQ(fetchActions(limiter).size(), 1U);
    EXPECT_EQ(limiter.nextWakeup(), begin + 7ms) << "connectionCost after the previous connection";
    limiter.wakeup(begin + 7ms);
    const auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(actions[0].newConnection);
}

// Guards against sending an order on a reused connection, and against exceeding the connection limit when a
// new connection is opened for an order.
TEST(BackendLimiter, FreshConnectionReplacesAnIdleOne)
{
    auto settings = twoSlotSettings();
    settings.connections = 2;
    auto limiter = makeLimiter(settings);
    sendAndAnswer(limiter, 1, makeReport(backend_state::warm), begin);
    sendAndAnswer(limiter, 2, makeReport(backend_state::warm), begin + 100ms);
    ASSERT_EQ(limiter.openConnections(), 1U);
    ASSERT_EQ(limiter.admit(3, begin + 1s, 1, begin + 200ms).result, admit_result::started);
    ASSERT_EQ(limiter.admit(4, begin + 1s, 1, begin + 200ms).result, admit_result::started);
    fetchActions(limiter);
    limiter.connectionOpened(4, begin + 200ms);
    const auto report = makeReport(backend_state::warm);
    limiter.answered(3, call_result::served, &report, 4ms, begin + 204ms);
    ASSERT_EQ(limiter.admit(5, begin + 1s, 1, begin + 210ms, true).result, admit_result::started);
    const auto actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(actions[0].newConnection);
    EXPECT_TRUE(actions[0].closeIdle);
    EXPECT_EQ(limiter.openConnections(), 2U);
}

// Guards against calls that outlive the lease and would run at the same time as the calls of the next owner.
TEST(BackendLimiter, SendsNothingThatOutlivesTheLease)
{
    auto limiter = makeLimiter(twoSlotSettings(), begin + 1s);
    ASSERT_EQ(limiter.admit(1, begin + 5s, 1, begin).result, admit_result::started);
    auto actions = fetchActions(limiter);
    EXPECT_EQ(actions.at(0).deadline, begin + 750ms);
    limiter.connectionOpened(1, begin);
    const auto report = makeReport(backend_state::warm);
    limiter.answered(1, call_result::served, &report, 4ms, begin + 10ms);
    EXPECT_EQ(limiter.admit(2, begin + 5s, 1, begin + 748ms).result, admit_result::queued);
    EXPECT_TRUE(fetchActions(limiter).empty());
    limiter.setLeaseEnd(begin + 4s, begin + 800ms);
    actions = fetchActions(limiter);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].deadline, begin + 2800ms) << "at most 2 s after the start of the call";
    EXPECT_EQ(limiter.admit(3, begin + 5s, 1, begin + 4s).code, error_code::notOwner);
}

// Guards against per-host limits that together exceed the backend server's limit.
TEST(BackendLimiter, HostSharesAreRoundedDown)
{
    auto limiter = makeWarmLimiter(begin + 1s);
    limiter.setSharingHosts(2, begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 1U);
    limiter.setSharingHosts(3, begin + 1s);
    EXPECT_EQ(limiter.limit(begin + 1s), 0U);
    EXPECT_EQ(limiter.admit(1, begin + 2s, 1, begin + 1s).code, error_code::overloaded);
}

// Guards against wasting slots on calls that miss their deadline. At twice the load that the backend server can
// serve, at least 90% of its capacity must be answered in time. From 1 s after the overload, at half of
// the load that it can serve, at least 99% of all calls must be answered in time and at most 1% refused.
TEST(BackendLimiter, KeepsGoodputUnderOverload)
{
    auto settings = twoSlotSettings();
    settings.coldSlots = 2;
    auto limiter = makeLimiter(settings, begin + std::chrono::hours(10));
    random_source random(11);
    std::map<call_number, std::pair<time_point, time_point>> inProgress; // Time of the answer and the caller's deadline.
    std::map<call_number, time_point> deadlines;
    auto report = makeReport(backend_state::warm);
    auto now = begin;
    call_number call = 0;
    std::size_t answeredInTime = 0;
    std::size_t refusedAfterOverload = 0;
    std::size_t answeredInTimeAfterOverload = 0;
    std::size_t offeredAfterOverload = 0;
    // Service times are exponential with a mean of 4 ms, so the capacity of two slots is 500 calls a second.
    const auto exponential = [&random](double meanMicros) {
        return std::chrono::microseconds(static_cast<std::int64_t>(-std::log(1 - random.nextDouble()) * meanMicros));
    };
    const auto overloadEnd = begin + 20s;
    const auto end = begin + 30s;
    auto arrival = begin;
    while (now < end) {
        auto next = arrival;
        for (const auto &[number, callTimes] : inProgress) {
            next = std::min(next, callTimes.first);
        }
        next = std::min(next, limiter.nextWakeup().value_or(next));
        now = std::max(now, next);
        const auto done =
            std::find_if(inProgress.begin(), inProgress.end(), [now](const auto &entry) { return entry.second.first <= now; });
        if (done != inProgress.end()) {
            const auto [number, callTimes] = *done;
            report.slotsInUse = static_cast<std::uint32_t>(inProgress.size());
            inProgress.erase(done);
            const bool inTime = now <= callTimes.second;
            answeredInTime += inTime && now < overloadEnd ? 1 : 0;
            answeredInTimeAfterOverload += inTime && now >= overloadEnd + 1s ? 1 : 0;
            limiter.answered(number, call_result::served, &report, 4ms, now);
        } else if (now >= arrival) {
            const bool overload = now < overloadEnd;
            arrival = now + exponential(overload ? 1000 : 4000);
            offeredAfterOverload += now >= overloadEnd + 1s ? 1 : 0;
            deadlines[++call] = now + 60ms;
            const auto decision = limiter.admit(call, now + 60ms, 1, now);
            refusedAfterOverload += now >= overloadEnd + 1s && decision.result == admit_result::refused ? 1 : 0;
        } else {
            limiter.wakeup(now);
        }
        for (const auto &action : fetchActions(limiter)) {
            if (action.kind == limiter_action_kind::start) {
                inProgress[action.call] = {now + exponential(4000), deadlines[action.call]};
                if (action.newConnection) {
                    limiter.connectionOpened(action.call, now);
                }
            }
        }
    }
    const double goodputRatio = static_cast<double>(answeredInTime) / (20 * 500);
    RecordProperty("useful_ppm", static_cast<int>(goodputRatio * 1e6));
    EXPECT_GE(goodputRatio, 0.9);
    EXPECT_GE(static_cast<double>(answeredInTimeAfterOverload) / static_cast<double>(offeredAfterOverload), 0.99);
    EXPECT_LE(refusedAfterOverload, offeredAfterOverload / 100);
}

// Guards against accepting settings that would block or overload a backend server.
TEST(BackendLimiter, RejectsInvalidSettings)
{
    auto settings = twoSlotSettings();
    settings.coldSlots = 3;
    EXPECT_FALSE(backend_limiter::create(settings, distantLeaseEnd, begin).has_value());
    settings = twoSlotSettings();
    settings.connections = 1;
    EXPECT_FALSE(backend_limiter::create(settings, distantLeaseEnd, begin).has_value());
    settings = twoSlotSettings();
    settings.slots = 0;
    EXPECT_FALSE(backend_limiter::create(settings, distantLeaseEnd, begin).has_value());
}
