#include "fakes/fake_fleet.h"

#include <orders/order_guard.h>
#include <orders/order_run.h>
#include <orders/ticket.h>
#include <orders/ticket_store.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <thread>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const time_point begin{std::chrono::hours(1)};
const incarnation_id incarnation1("0123456789abcdef0123456789abcdef");

std::unique_ptr<ticket_store> makeStore(ticket_store_settings settings = {})
{
    return std::move(*ticket_store::create(entry_host_id("host-1.zone"), incarnation1, settings));
}

order_request makeRequest(const std::string &body = "two tons")
{
    order_request request;
    request.service = service_id("desk");
    request.customer = customer_id("p");
    request.body = body;
    request.remaining = 100ms;
    return request;
}

order_answer makeAnswer(const ticket &issuedTicket, std::uint64_t attempt, order_outcome outcome, error_code code = error_code::internal)
{
    order_answer answer;
    answer.ticket = issuedTicket.text();
    answer.attempt = attempt;
    answer.outcome = outcome;
    answer.code = code;
    answer.body = outcome == order_outcome::ran ? "number 7" : "";
    return answer;
}

const ticket ticket1{entry_host_id("host-1.zone"), incarnation1, 1};

// Returns the pending action of a run, or nothing unless there is exactly one and it has this type.
template<typename Action>
std::optional<Action> takeSingleAction(order_run &run)
{
    std::vector<order_action> actions;
    run.takeActions(actions);
    if (actions.size() != 1 || !std::holds_alternative<Action>(actions[0])) {
        return std::nullopt;
    }
    return std::get<Action>(actions[0]);
}

} // namespace

// Guards against an order that runs twice, runs although it was reported as not run, or did not run although it was reported
// as run. Hosts and connections fail at any step, and messages are duplicated and delayed.
RC_GTEST_PROP(OrdersProperty, AtMostOnceWithCorrectOutcomes, (std::uint32_t seed))
{
    fake_fleet fleet(seed, order_defect::none);
    const auto violation = fleet.run(12);
    if (violation) {
        RC_FAIL(*violation);
    }
}

// Guards against a property that cannot fail: with one mechanism disabled, the same check must find a violation. Also guards
// against a simulation in which no order is run or refused, which would satisfy the property trivially.
TEST(OrdersProperty, FindsEachDefect)
{
    for (const auto defect : {order_defect::ignoresIncarnation,
                              order_defect::runsWhereReceived,
                              order_defect::forgetsOutcomes,
                              order_defect::treatsBrokenAsNotSent,
                              order_defect::noGuard,
                              order_defect::forgetsRefusals,
                              order_defect::reportsLostAsNotRun}) {
        int found = 0;
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            found += fake_fleet(seed, defect).run(12).has_value() ? 1 : 0;
        }
        EXPECT_GT(found, 0) << "defect " << static_cast<int>(defect);
        RecordProperty("defect_" + std::to_string(static_cast<int>(defect)), found);
    }
    int ran = 0;
    int notRun = 0;
    int unknown = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        fake_fleet fleet(seed, order_defect::none);
        EXPECT_EQ(fleet.run(12), std::nullopt);
        ran += fleet.ranReports();
        notRun += fleet.notRunReports();
        unknown += fleet.unknownReports();
    }
    RecordProperty("ran", ran);
    RecordProperty("notRun", notRun);
    RecordProperty("unknown", unknown);
    EXPECT_GT(ran, 100);
    EXPECT_GT(notRun, 100);
    EXPECT_GT(unknown, 100);
}

// Guards against a text form that is parsed as a different ticket.
TEST(Ticket, TextFormRoundTrip)
{
    const auto read = ticket::parse(ticket1.text());
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(*read, ticket1);
    const ticket highest{entry_host_id("a"), incarnation1, UINT64_MAX};
    EXPECT_EQ(*ticket::parse(highest.text()), highest);
}

// Guards against accepting malformed texts, such as leading zeros that would give one ticket several text forms.
TEST(Ticket, RejectsMalformedTexts)
{
    const std::string &incarnation = incarnation1.str();
    for (const auto &text : std::vector<std::string>{"",
                                                     ".",
                                                     "..",
                                                     "host",
                                                     "host." + incarnation,
                                                     "." + incarnation + ".1",
                                                     "host." + incarnation + ".",
                                                     "host." + incarnation + ".0",
                                                     "host." + incarnation + ".01",
                                                     "host." + incarnation + ".-1",
                                                     "host." + incarnation + ".1x",
                                                     "host." + incarnation + ".18446744073709551616",
                                                     "host.0123456789ABCDEF0123456789abcdef.1",
                                                     "host.0123.1",
                                                     "ho/st." + incarnation + ".1",
                                                     std::string(300, 'h') + "." + incarnation + ".1"}) {
        const auto read = ticket::parse(text);
        ASSERT_FALSE(read.has_value()) << text;
        EXPECT_EQ(read.error().code, error_code::malformed);
        EXPECT_FALSE(read.error().message.empty());
    }
}

// Guards against a different outcome for a repeated submission, and against running another order under a used ticket.
TEST(TicketStore, RepeatedSubmissionsGetTheSameOutcome)
{
    const auto store = makeStore();
    const auto issuedTicket = store->issue(begin);
    ASSERT_TRUE(issuedTicket.has_value());
    int calls = 0;
    const auto count = [&calls](const order_answer &answer) { calls += answer.outcome == order_outcome::ran ? 1 : 100; };
    EXPECT_EQ(store->submit(*issuedTicket, makeRequest(), count, begin).state, submission_state::accepted);
    EXPECT_EQ(store->submit(*issuedTicket, makeRequest(), count, begin).state, submission_state::waiting);
    const auto conflict = store->submit(*issuedTicket, makeRequest("three tons"), count, begin);
    EXPECT_EQ(conflict.state, submission_state::settled);
    EXPECT_EQ(conflict.answer.code, error_code::ticketConflict);
    EXPECT_EQ(conflict.answer.outcome, order_outcome::notRun);
    store->finish(*issuedTicket, makeAnswer(*issuedTicket, 1, order_outcome::ran), begin + 5ms);
    EXPECT_EQ(calls, 1);
    store->finish(*issuedTicket, makeAnswer(*issuedTicket, 1, order_outcome::notRun), begin + 6ms);
    const auto repeat = store->submit(*issuedTicket, makeRequest(), count, begin + 9min);
    EXPECT_EQ(repeat.state, submission_state::settled);
    EXPECT_EQ(repeat.answer.outcome, order_outcome::ran);
    EXPECT_EQ(repeat.answer.body, "number 7");
    EXPECT_EQ(repeat.answer.ticket, issuedTicket->text());
    EXPECT_EQ(store->submit(*issuedTicket, makeRequest("three tons"), count, begin + 9min).answer.code, error_code::ticketConflict);
}

// Guards against reporting ran or notRun for a ticket whose history this store does not know, and against running an order
// whose ticket expired unused.
TEST(TicketStore, UnknownTicketsHaveNoDefiniteOutcome)
{
    const auto store = makeStore();
    const auto issuedTicket = *store->issue(begin);
    const auto submit = [&store](const ticket &other, time_point now) { return store->submit(other, makeRequest(), {}, now); };
    auto other = issuedTicket;
    other.incarnation = incarnation_id("ffffffffffffffffffffffffffffffff");
    EXPECT_EQ(submit(other, begin).answer.outcome, order_outcome::unknown);
    other = issuedTicket;
    other.host = entry_host_id("another");
    EXPECT_EQ(submit(other, begin).answer.outcome, order_outcome::unknown);
    other = issuedTicket;
    other.sequence = 2; // Not issued yet; it may be issued and run later.
    EXPECT_EQ(submit(other, begin).answer.outcome, order_outcome::unknown);
    EXPECT_EQ(submit(other, begin).answer.code, error_code::unknownTicket);

    const auto expired = submit(issuedTicket, begin + 61s);
    EXPECT_EQ(expired.state, submission_state::settled);
    EXPECT_EQ(expired.answer.outcome, order_outcome::notRun);
    EXPECT_EQ(submit(issuedTicket, begin + 2min).answer.outcome, order_outcome::notRun);
    EXPECT_EQ(submit(issuedTicket, begin + 11min).answer.outcome, order_outcome::unknown) << "forgotten";
    EXPECT_EQ(store->size(), 0U);
}

// Guards against unbounded memory, and against forgetting a ticket early to make room for new ones.
TEST(TicketStore, IsBounded)
{
    ticket_store_settings settings;
    settings.maxTickets = 2;
    settings.maxWaiters = 1;
    auto store = makeStore(settings);
    const auto first = *store->issue(begin);
    ASSERT_TRUE(store->issue(begin + 1s).has_value());
    const auto refused = store->issue(begin + 2s);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, error_code::overloaded);
    EXPECT_FALSE(store->issue(begin + 659s).has_value());
    EXPECT_TRUE(store->issue(begin + 660s).has_value());

    // An order whose run was lost must not stay in the store forever.
    ASSERT_EQ(store->submit(*store->issue(begin + 661s), makeRequest(), {}, begin + 661s).state, submission_state::accepted);
    store->expire(begin + 1321s);
    EXPECT_EQ(store->size(), 0U);

    settings.maxTickets = 10;
    settings.maxAnswerBytes = 8;
    store = makeStore(settings);
    const auto issuedTicket = *store->issue(begin);
    ASSERT_EQ(store->submit(issuedTicket, makeRequest(), {}, begin).state, submission_state::accepted);
    ASSERT_EQ(store
                  ->submit(
                      issuedTicket, makeRequest(), [](const auto &) {}, begin)
                  .state,
              submission_state::waiting);
    const auto tooMany = store->submit(issuedTicket, makeRequest(), {}, begin);
    EXPECT_EQ(tooMany.answer.code, error_code::overloaded);
    EXPECT_EQ(tooMany.answer.outcome, order_outcome::unknown);
    store->finish(issuedTicket, makeAnswer(issuedTicket, 1, order_outcome::ran), begin);
    EXPECT_FALSE(store->issue(begin).has_value());
    EXPECT_TRUE(store->issue(begin + 660s).has_value());
}

// Guards against two threads that both run the same order, and against data races in the store.
TEST(TicketStore, OneOfManyThreadsRunsAnOrder)
{
    const auto store = makeStore();
    for (int round = 0; round < 50; ++round) {
        const auto issuedTicket = *store->issue(begin);
        std::atomic<int> accepted = 0;
        std::atomic<int> answered = 0;
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int index = 0; index < 4; ++index) {
            threads.emplace_back([&] {
                const auto found = store->submit(
                    issuedTicket, makeRequest(), [&answered](const order_answer &) { ++answered; }, begin);
                if (found.state == submission_state::accepted) {
                    ++accepted;
                    store->finish(issuedTicket, makeAnswer(issuedTicket, 1, order_outcome::ran), begin);
                } else if (found.state == submission_state::settled) {
                    EXPECT_EQ(found.answer.outcome, order_outcome::ran);
                    ++answered;
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        EXPECT_EQ(accepted, 1);
        EXPECT_EQ(answered, 3);
    }
}

// Guards against a store whose tickets could not be parsed again because an id is invalid in their text form.
TEST(TicketStore, RejectsIdsThatAreInvalidInATicket)
{
    EXPECT_FALSE(ticket_store::create(entry_host_id(""), incarnation1, {}).has_value());
    EXPECT_FALSE(ticket_store::create(entry_host_id("a/b"), incarnation1, {}).has_value());
    EXPECT_FALSE(ticket_store::create(entry_host_id("a"), incarnation_id("1"), {}).has_value());
}

// Guards against giving up after an explicit refusal, against endlessly following the lease holders that refusals name, and
// against an outcome other than notRun when the last attempt was certainly not sent.
TEST(OrderRun, ChoosesAnotherOwnerAfterARefusal)
{
    order_run run(ticket1, makeRequest(), {{backend_id("a"), entry_host_id("o1")}, {backend_id("b"), entry_host_id("o2")}}, begin + 100ms);
    run.start(begin);
    auto send = takeSingleAction<send_order>(run);
    ASSERT_TRUE(send.has_value());
    EXPECT_EQ(send->owner, entry_host_id("o1"));
    EXPECT_EQ(send->request.remaining, 95ms);
    EXPECT_EQ(send->request.backend, backend_id("a"));
    auto refusal = makeAnswer(ticket1, 1, order_outcome::notRun, error_code::notOwner);
    refusal.holder = entry_host_id("o3");
    run.answered(refusal, begin + 1ms);
    send = takeSingleAction<send_order>(run);
    ASSERT_TRUE(send.has_value());
    EXPECT_EQ(send->owner, entry_host_id("o3"));
    EXPECT_EQ(send->request.backend, backend_id("a"));
    EXPECT_EQ(send->request.attempt, 2U);
    run.answered(refusal, begin + 2ms); // A duplicate of the first answer.
    EXPECT_FALSE(takeSingleAction<send_order>(run).has_value());
    refusal.attempt = 2;
    refusal.holder = entry_host_id("o4");
    run.answered(refusal, begin + 3ms);
    send = takeSingleAction<send_order>(run);
    ASSERT_TRUE(send.has_value());
    EXPECT_EQ(send->owner, entry_host_id("o2"));
    run.notSent(3, begin + 4ms);
    const auto finish = takeSingleAction<finish_order>(run);
    ASSERT_TRUE(finish.has_value());
    EXPECT_EQ(finish->answer.outcome, order_outcome::notRun);
    EXPECT_EQ(finish->answer.code, error_code::unreachable);
}

// Guards against trying a second owner after a broken stream or at the deadline, and against a second outcome when the answer
// arrives late.
TEST(OrderRun, BrokenStreamOrDeadlineMeansUnknown)
{
    const std::vector<order_target> targets{{backend_id("a"), entry_host_id("o1")}, {backend_id("b"), entry_host_id("o2")}};
    order_run broken(ticket1, makeRequest(), targets, begin + 100ms);
    broken.start(begin);
    ASSERT_TRUE(takeSingleAction<send_order>(broken).has_value());
    broken.streamBroken(1, begin + 1ms);
    auto finish = takeSingleAction<finish_order>(broken);
    ASSERT_TRUE(finish.has_value());
    EXPECT_EQ(finish->answer.outcome, order_outcome::unknown);

    order_run late(ticket1, makeRequest(), targets, begin + 100ms);
    late.start(begin);
    ASSERT_TRUE(takeSingleAction<send_order>(late).has_value());
    EXPECT_EQ(late.nextWakeup(), begin + 95ms);
    late.wakeup(begin + 95ms);
    finish = takeSingleAction<finish_order>(late);
    ASSERT_TRUE(finish.has_value());
    EXPECT_EQ(finish->answer.outcome, order_outcome::unknown);
    EXPECT_EQ(finish->answer.code, error_code::deadlineExceeded);
    late.answered(makeAnswer(ticket1, 1, order_outcome::ran), begin + 96ms);
    std::vector<order_action> actions;
    late.takeActions(actions);
    EXPECT_TRUE(actions.empty());
}

// Guards against sending orders that were refused as overloaded to other backend servers, which would add to the load.
TEST(OrderRun, OverloadedIsFinal)
{
    order_run run(ticket1, makeRequest(), {{backend_id("a"), entry_host_id("o1")}, {backend_id("b"), entry_host_id("o2")}}, begin + 100ms);
    run.start(begin);
    ASSERT_TRUE(takeSingleAction<send_order>(run).has_value());
    run.answered(makeAnswer(ticket1, 1, order_outcome::notRun, error_code::overloaded), begin + 1ms);
    const auto finish = takeSingleAction<finish_order>(run);
    ASSERT_TRUE(finish.has_value());
    EXPECT_EQ(finish->answer.outcome, order_outcome::notRun);
    EXPECT_EQ(finish->answer.code, error_code::overloaded);
}

// Guards against an order that is never answered because it has no target or no time left.
TEST(OrderRun, WithoutATargetOrTimeNothingIsSent)
{
    order_run none(ticket1, makeRequest(), {}, begin + 100ms);
    none.start(begin);
    EXPECT_EQ(takeSingleAction<finish_order>(none)->answer.outcome, order_outcome::notRun);
    order_run past(ticket1, makeRequest(), {{backend_id("a"), entry_host_id("o1")}}, begin);
    past.start(begin);
    EXPECT_EQ(takeSingleAction<finish_order>(past)->answer.code, error_code::deadlineExceeded);
}

// Guards against a paused owner that writes an attempt after its deadline or the end of the lease, and against writing an
// attempt twice or after its refusal.
TEST(OrderGuard, WritesOnceAndOnlyInTime)
{
    order_guard guard({});
    auto request = makeRequest();
    request.ticket = ticket1.text();
    order_answer refusal;
    for (const auto attempt : {1, 2, 3}) {
        request.attempt = attempt;
        EXPECT_EQ(guard.receive(request, begin).verdict, guard_verdict::proceed);
    }
    EXPECT_EQ(guard.receive(request, begin).verdict, guard_verdict::inProgress);
    EXPECT_FALSE(guard.tryBeginWrite(request.ticket, 1, begin + 3s, begin + 100ms, &refusal));
    EXPECT_EQ(refusal.outcome, order_outcome::notRun);
    EXPECT_EQ(refusal.code, error_code::deadlineExceeded);
    EXPECT_FALSE(guard.tryBeginWrite(request.ticket, 2, begin + 50ms, begin + 50ms, &refusal));
    EXPECT_EQ(refusal.code, error_code::notOwner);
    EXPECT_FALSE(guard.tryBeginWrite(request.ticket, 2, begin + 3s, begin + 51ms, &refusal)) << "refused already";
    EXPECT_TRUE(guard.tryBeginWrite(request.ticket, 3, begin + 3s, begin + 50ms, &refusal));
    EXPECT_FALSE(guard.tryBeginWrite(request.ticket, 3, begin + 3s, begin + 50ms, &refusal));
    EXPECT_EQ(guard.refuse(request.ticket, 3, error_code::draining, "", begin + 51ms).outcome, order_outcome::unknown);
    EXPECT_EQ(guard.finish(request.ticket, 3, order_send_result::noUsableAnswer, error_code::unreachable, "", "", begin + 60ms).outcome,
              order_outcome::unknown);
    request.attempt = 2;
    const auto repeat = guard.receive(request, begin + 1min);
    EXPECT_EQ(repeat.verdict, guard_verdict::answer);
    EXPECT_EQ(repeat.answer.outcome, order_outcome::notRun);
}

// Guards against sending a late duplicate after its attempt was forgotten because of its age or to make room.
TEST(OrderGuard, ForgottenAttemptsAreNeverSent)
{
    order_guard_settings settings;
    settings.maxAttempts = 2;
    order_guard guard(settings);
    const auto request = [](std::uint64_t sequence) {
        auto made = makeRequest();
        made.ticket = ticket{entry_host_id("h"), incarnation1, sequence}.text();
        made.attempt = 1;
        return made;
    };
    for (const auto sequence : {1, 2}) {
        EXPECT_EQ(guard.receive(request(sequence), begin).verdict, guard_verdict::proceed);
    }
    const auto full = guard.receive(request(3), begin);
    EXPECT_EQ(full.answer.code, error_code::overloaded);
    EXPECT_EQ(full.answer.outcome, order_outcome::unknown);
    guard.refuse(request(1).ticket, 1, error_code::draining, "", begin);
    EXPECT_EQ(guard.receive(request(3), begin).verdict, guard_verdict::proceed);
    const auto duplicate = guard.receive(request(1), begin + 1s);
    EXPECT_EQ(duplicate.verdict, guard_verdict::answer);
    EXPECT_EQ(duplicate.answer.outcome, order_outcome::unknown);
    guard.expire(begin + 15min);
    EXPECT_EQ(guard.size(), 0U);
    EXPECT_EQ(guard.receive(request(3), begin + 16min).answer.outcome, order_outcome::unknown);
    EXPECT_EQ(guard.receive(request(4), begin + 16min).verdict, guard_verdict::proceed);
}
