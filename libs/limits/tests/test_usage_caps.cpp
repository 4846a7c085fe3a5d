#include <limits/usage_cap_client.h>
#include <limits/usage_cap_owner.h>
#include <limits/usage_fleet.h>

#include <gtest/gtest.h>

#include <limits>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const time_point startTime = time_point(std::chrono::hours(1));
constexpr std::chrono::microseconds patience = 20ms;

usage_cap makeCap(double rate, double burst)
{
    return {"org", rate, burst, {5s, 0.25, 20}};
}

/// One host of a fleet of four hosts in two zones, ranked for the organisation "org".
class usage_host_case : public ::testing::Test
{
protected:
    usage_host_case()
    {
        usage_fleet probe(entry_host_id("h0"), zone_id("z0"));
        auto candidates = hosts({});
        probe.update(candidates, true, {}, startTime);
        while (!candidates.empty()) {
            const auto first = probe.placeOf("org").owner.value();
            m_ranked.push_back(first);
            std::erase_if(candidates, [&](const auto &host) { return host.id == first.id; });
            probe.update(candidates, true, {}, startTime);
        }
    }

    /// @return All hosts; those at the given ranks are lost.
    std::vector<usage_host> hosts(std::vector<std::size_t> lostRanks) const
    {
        std::vector<usage_host> result;
        for (int host = 0; host < 4; ++host) {
            const auto name = "h" + std::to_string(host);
            result.push_back({entry_host_id(name), name, zone_id("z" + std::to_string(host % 2)), usage_host_state::live});
        }
        for (const auto rank : lostRanks) {
            std::find_if(result.begin(), result.end(), [&](const auto &host) { return host.id == m_ranked[rank].id; })->state =
                usage_host_state::lost;
        }
        return result;
    }

    struct host_machines {
        host_machines(const usage_host &self, time_point now)
            : fleet(self.id, self.zone)
            , owner(fleet, now)
            , client(fleet, owner)
        {
        }

        void setHosts(std::vector<usage_host> known, time_point now)
        {
            fleet.update(std::move(known), true, {}, now);
            owner.fleetChanged();
        }

        usage_fleet fleet;
        usage_cap_owner owner;
        usage_cap_client client;
    };

    /// @return The machines of the host at a rank, which has known all hosts for a minute at startTime.
    std::unique_ptr<host_machines> makeHost(std::size_t rank) const
    {
        auto host = std::make_unique<host_machines>(m_ranked[rank], startTime - 1min);
        host->setHosts(hosts({}), startTime - 1min);
        return host;
    }

    static std::uint32_t takeAll(usage_cap_owner &owner, const usage_cap &cap, time_point now)
    {
        std::uint32_t tokens = 0;
        for (auto grant = owner.request(cap, 1, now); grant.result == usage_grant::kind::granted; grant = owner.request(cap, 1, now)) {
            tokens += grant.tokens;
        }
        return tokens;
    }

    static std::optional<usage_decision> onlyDecision(usage_cap_client &client)
    {
        const auto decisions = client.takeDecisions();
        return decisions.size() == 1 ? std::optional(decisions.front()) : std::nullopt;
    }

    std::vector<usage_host> m_ranked; ///< First in rank first.
};

} // namespace

// Guards against an owner that hands out more than rate and depth.
TEST_F(usage_host_case, ownerHandsOutTheRateAndTheDepth)
{
    const auto cap = makeCap(100, 100);
    const auto owner = makeHost(0);
    takeAll(owner->owner, cap, startTime);
    std::uint32_t tokens = 0;
    for (auto now = startTime; now < startTime + 10s; now += 7ms) {
        tokens += takeAll(owner->owner, cap, now);
    }
    EXPECT_GE(tokens, 990);
    EXPECT_LE(tokens, 1001);
    EXPECT_LE(takeAll(owner->owner, cap, startTime + 1h), cap.depth());
}

// Guards against a Retry-After after which the caller is refused again although nobody else took the token.
TEST_F(usage_host_case, retryAfterIsTrue)
{
    for (const double rate : {0.48, 16.0, 160.0}) {
        const auto cap = makeCap(rate, rate);
        const auto owner = makeHost(0);
        auto now = startTime;
        takeAll(owner->owner, cap, now);
        for (int i = 0; i < 50; ++i) {
            const auto refused = owner->owner.request(cap, 1, now);
            ASSERT_EQ(refused.result, usage_grant::kind::refused);
            ASSERT_GT(refused.retryAfter, 0us);
            now += refused.retryAfter;
            ASSERT_EQ(owner->owner.request(cap, 1, now).result, usage_grant::kind::granted) << "rate " << rate;
            takeAll(owner->owner, cap, now);
        }
    }
}

// Guards against refusals over the cap that cost a message each, and against refusals that go on after the token has come.
TEST_F(usage_host_case, refusesForAShortTimeWithoutAsking)
{
    const auto cap = makeCap(1, 1);
    const auto host = makeHost(1);
    host->client.acquire(1, cap, patience, startTime);
    const auto questions = host->client.takeQuestions();
    ASSERT_EQ(questions.size(), 1);
    EXPECT_EQ(questions.front().address, m_ranked[0].address);
    host->client.answered(questions.front().id, {{usage_grant::kind::refused, 0, 300ms}}, startTime + 1ms);
    EXPECT_EQ(onlyDecision(host->client)->retryAfter, 300ms);
    for (std::uint64_t request = 2; request < 100; ++request) {
        host->client.acquire(request, cap, patience, startTime + 50ms);
    }
    EXPECT_TRUE(host->client.takeQuestions().empty());
    for (const auto &decision : host->client.takeDecisions()) {
        EXPECT_EQ(decision.result, usage_grant::kind::refused);
        EXPECT_EQ(decision.retryAfter, 251ms);
    }
    host->client.acquire(100, cap, patience, startTime + 102ms);
    EXPECT_EQ(host->client.takeQuestions().size(), 1);
    const auto soon = makeHost(1);
    soon->client.acquire(1, cap, patience, startTime);
    soon->client.answered(soon->client.takeQuestions().front().id, {{usage_grant::kind::refused, 0, 5ms}}, startTime);
    soon->client.acquire(2, cap, patience, startTime + 5ms);
    EXPECT_EQ(soon->client.takeQuestions().size(), 1);
}

// Guards against tokens that are used after their life, and against the life that counts from the answer.
TEST_F(usage_host_case, tokensExpireAfterTheQuestion)
{
    const auto cap = makeCap(100, 100);
    const auto host = makeHost(1);
    for (std::uint64_t request = 0; request < 300; ++request) {
        host->client.acquire(request, cap, patience, startTime);
    }
    const auto question = host->client.takeQuestions().front();
    ASSERT_GE(question.items.front().tokens, 300);
    for (std::uint64_t request = 0; request < 300; ++request) {
        host->client.cancel(request);
    }
    host->client.answered(question.id, {{usage_grant::kind::granted, 300, {}}}, startTime + 500ms);
    const auto expiry = startTime + cap.tokenLife();
    host->client.acquire(300, cap, patience, expiry - 1us);
    EXPECT_EQ(onlyDecision(host->client)->result, usage_grant::kind::granted);
    host->client.acquire(301, cap, patience, expiry);
    EXPECT_TRUE(host->client.takeDecisions().empty());
    EXPECT_EQ(host->client.takeQuestions().size(), 1);
}

// Guards against an answer that comes after the question was given up, or twice, or with more tokens than asked for.
TEST_F(usage_host_case, lateAndFalseAnswersAreNotUsed)
{
    const auto cap = makeCap(100, 100);
    const auto host = makeHost(1);
    host->client.acquire(1, cap, patience, startTime);
    const auto question = host->client.takeQuestions().front();
    host->client.failed(question.id, startTime + patience);
    host->client.answered(question.id, {{usage_grant::kind::granted, 1, {}}}, startTime + patience);
    host->client.takeQuestions();
    host->client.takeDecisions();
    host->client.acquire(2, cap, patience, startTime + 2s);
    EXPECT_TRUE(host->client.takeDecisions().empty()) << "the late token was kept";
    const auto second = host->client.takeQuestions().front();
    host->client.answered(second.id, {{usage_grant::kind::granted, 1000, {}}}, startTime + 2s);
    for (std::uint64_t request = 3; request < 1000; ++request) {
        host->client.acquire(request, cap, patience, startTime + 2s);
    }
    const auto decisions = host->client.takeDecisions();
    const auto served =
        std::count_if(decisions.begin(), decisions.end(), [](const auto &each) { return each.result == usage_grant::kind::granted; });
    EXPECT_LE(static_cast<double>(served), cap.reserve()) << "tokens of the false answer were used";
}

// Guards against requests that have no decision when owner and zone are silent, and against waiting for a silent owner each time.
TEST_F(usage_host_case, asksTheZoneAndTakesItsReserveWhenTheOwnerIsSilent)
{
    const auto cap = makeCap(100, 100);
    const auto host = makeHost(3);
    host->client.acquire(1, cap, patience, startTime);
    auto questions = host->client.takeQuestions();
    ASSERT_EQ(questions.size(), 1);
    host->client.failed(questions.front().id, startTime + patience);
    questions = host->client.takeQuestions();
    ASSERT_EQ(questions.size(), 1);
    EXPECT_EQ(questions.front().source, usage_source::zone);
    host->client.failed(questions.front().id, startTime + 2 * patience);
    EXPECT_EQ(onlyDecision(host->client)->result, usage_grant::kind::granted);
    host->client.acquire(2, cap, patience, startTime + 2 * patience);
    EXPECT_TRUE(host->client.takeQuestions().empty());
    EXPECT_TRUE(onlyDecision(host->client).has_value());
}

// Guards against reserves that together exceed what the bound leaves, and against a process that uses the part of its predecessor.
TEST_F(usage_host_case, reservesStayWithinTheirParts)
{
    for (const double rate : {0.48, 16.0, 160.0}) {
        const auto cap = makeCap(rate, rate);
        double sum = cap.depth() - std::max(1.0, cap.burst);
        for (std::size_t rank = 0; rank < 4; ++rank) {
            const auto host = makeHost(rank);
            while (host->owner.takeHostReserve(cap, startTime).result == usage_grant::kind::granted) {
                sum += 1;
            }
            while (host->owner.requestZoneReserve(cap, startTime).result == usage_grant::kind::granted) {
                sum += 2; // A second host may take itself for the first of the zone.
            }
        }
        EXPECT_LE(sum, cap.reserve());
        host_machines started(m_ranked[0], startTime);
        started.setHosts(hosts({}), startTime);
        EXPECT_NE(started.owner.takeHostReserve(cap, startTime + 4s).result, usage_grant::kind::granted);
        EXPECT_NE(started.owner.requestZoneReserve(cap, startTime + 4s).result, usage_grant::kind::granted);
        EXPECT_EQ(started.owner.takeHostReserve(cap, startTime + 7s).result, usage_grant::kind::granted);
    }
}

// Guards against a second owner that acts before the lost one can have noticed, and against one that hands out the whole cap.
TEST_F(usage_host_case, ownerWaitsAndScalesAfterALoss)
{
    const auto cap = makeCap(100, 100);
    const auto second = makeHost(1);
    EXPECT_EQ(second->owner.request(cap, 1, startTime).result, usage_grant::kind::unavailable);
    second->setHosts(hosts({0}), startTime);
    EXPECT_EQ(second->owner.request(cap, 1, startTime + 3999ms).result, usage_grant::kind::unavailable);
    EXPECT_TRUE(second->owner.takeClaims().empty());
    takeAll(second->owner, cap, startTime + 4s);
    EXPECT_LE(takeAll(second->owner, cap, startTime + 5s), 76);
    EXPECT_GE(takeAll(second->owner, cap, startTime + 6s), 74);
}

// Guards against an owner that goes on with its share after it was cut off, and against one that returns to the whole cap at once.
TEST_F(usage_host_case, ownerThatIsCutOffHandsOutTheShareOfOneHost)
{
    const auto cap = makeCap(100, 100);
    const auto owner = makeHost(0);
    takeAll(owner->owner, cap, startTime);
    owner->setHosts(hosts({1, 2, 3}), startTime);
    takeAll(owner->owner, cap, startTime);
    EXPECT_LE(takeAll(owner->owner, cap, startTime + 1s), 26);
    owner->setHosts(hosts({}), startTime + 1s);
    takeAll(owner->owner, cap, startTime + 1s);
    EXPECT_LE(takeAll(owner->owner, cap, startTime + 2s), 26);
    takeAll(owner->owner, cap, startTime + 11s);
    EXPECT_GE(takeAll(owner->owner, cap, startTime + 12s), 99);
}

// Guards against a planned change of owner that loses the bucket or that is not confirmed.
TEST_F(usage_host_case, earlierOwnerHandsItsBucketOver)
{
    const auto cap = makeCap(100, 100);
    const auto first = makeHost(0);
    const auto second = makeHost(1);
    takeAll(first->owner, cap, startTime);
    auto known = hosts({});
    std::find_if(known.begin(), known.end(), [&](const auto &host) { return host.id == m_ranked[0].id; })->state =
        usage_host_state::leaving;
    second->setHosts(known, startTime + 500ms);
    EXPECT_EQ(second->owner.request(cap, 1, startTime + 500ms).result, usage_grant::kind::unavailable);
    const auto claims = second->owner.takeClaims();
    ASSERT_EQ(claims.size(), 1);
    EXPECT_EQ(claims.front().address, m_ranked[0].address);
    const auto handover = first->owner.claimReceived(cap, startTime + 500ms);
    EXPECT_TRUE(handover.stopped);
    EXPECT_EQ(first->owner.request(cap, 1, startTime + 501ms).result, usage_grant::kind::unavailable);
    second->owner.claimAnswered(cap, handover, startTime + 501ms);
    EXPECT_EQ(takeAll(second->owner, cap, startTime + 501ms), 50);
}

// Guards against an answer of a faulty host whose level or share is not a number: the bucket would keep it and hand out tokens without end.
TEST_F(usage_host_case, handoverWithoutNumbersConfirmsNothing)
{
    const auto cap = makeCap(100, 100);
    const auto second = makeHost(1);
    auto known = hosts({});
    std::find_if(known.begin(), known.end(), [&](const auto &host) { return host.id == m_ranked[0].id; })->state =
        usage_host_state::leaving;
    second->setHosts(known, startTime + 500ms);
    EXPECT_EQ(second->owner.request(cap, 1, startTime + 500ms).result, usage_grant::kind::unavailable);
    const auto invalid = std::numeric_limits<double>::quiet_NaN();
    for (const auto &handover : {usage_handover{true, invalid, 1}, usage_handover{true, 1, invalid}}) {
        second->owner.claimAnswered(cap, handover, startTime + 501ms);
        EXPECT_EQ(second->owner.request(cap, 1, startTime + 502ms).result, usage_grant::kind::unavailable);
    }
}

// Guards against a process that acts as the owner after a pause in which another host has taken over.
TEST_F(usage_host_case, ownerStartsAnewAfterAPause)
{
    const auto cap = makeCap(100, 100);
    const auto owner = makeHost(0);
    owner->fleet.restart(startTime);
    owner->owner.restart(startTime);
    owner->client.restart();
    EXPECT_EQ(owner->owner.request(cap, 1, startTime).result, usage_grant::kind::unavailable);
    EXPECT_NE(owner->owner.takeHostReserve(cap, startTime).result, usage_grant::kind::granted);
    takeAll(owner->owner, cap, startTime + 4s);
    EXPECT_LE(takeAll(owner->owner, cap, startTime + 5s), 26) << "other hosts may have stopped";
}

// Guards against a lowered cap that is served from the old bucket, and against a raised one that waits.
TEST_F(usage_host_case, followsAChangedCap)
{
    const auto owner = makeHost(0);
    const auto cap = makeCap(100, 100);
    owner->owner.request(cap, 1, startTime);
    const auto lowered = makeCap(10, 10);
    EXPECT_LE(takeAll(owner->owner, lowered, startTime + 1s), lowered.depth());
    EXPECT_LE(takeAll(owner->owner, lowered, startTime + 2s), 11);
    const auto raised = makeCap(200, 200);
    EXPECT_GE(takeAll(owner->owner, raised, startTime + 2100ms), 19);
    EXPECT_GE(takeAll(owner->owner, raised, startTime + 3100ms), 199);
}

// Guards against tokens of requests that ended: the next request uses them.
TEST_F(usage_host_case, tokenOfACancelledRequestServesTheNextOne)
{
    const auto cap = makeCap(1, 1);
    const auto host = makeHost(1);
    host->client.acquire(1, cap, patience, startTime);
    const auto question = host->client.takeQuestions().front();
    host->client.cancel(1);
    host->client.answered(question.id, {{usage_grant::kind::granted, 1, {}}}, startTime + 1ms);
    EXPECT_TRUE(host->client.takeDecisions().empty());
    host->client.acquire(2, cap, patience, startTime + 2ms);
    EXPECT_EQ(onlyDecision(host->client)->result, usage_grant::kind::granted);
    EXPECT_TRUE(host->client.takeQuestions().empty());
}

// Guards against an organisation with few requests whose bucket is filled by the share of its latest request: 30 s after a start, 118 hosts
// refused 2% of the requests of small organisations.
TEST_F(usage_host_case, shareThatRoseBetweenTwoRequestsCounts)
{
    const auto cap = makeCap(1, 1);
    host_machines started(m_ranked[0], startTime);
    started.setHosts(hosts({}), startTime);
    EXPECT_EQ(takeAll(started.owner, cap, startTime + 5s), 0);
    // A quarter of the rate from 4 to 9 s, when all hosts are established, then the whole: 1.25 + 3.
    EXPECT_EQ(takeAll(started.owner, cap, startTime + 12s), 4);
}

// Guards against caps that are refused for a long time after a start of all hosts: 11 s after a power failure of the whole fleet, where 6 s
// are enough, callers within their caps were refused.
TEST_F(usage_host_case, hostsThatStartTogetherServeTheWholeCapOnceTheyAreCertain)
{
    const auto cap = makeCap(100, 100);
    auto together = hosts({});
    for (auto &host : together) {
        host.firstRun = true;
    }
    host_machines started(m_ranked[0], startTime);
    started.setHosts(together, startTime);
    EXPECT_EQ(takeAll(started.owner, cap, startTime + 3900ms), 0) << "another host may own the organisation";
    EXPECT_GE(takeAll(started.owner, cap, startTime + 5s), 99);
}

// Guards against the whole cap at a start while other hosts may be counted by an owner that this one does not know: one of them ran before,
// one was lost and returned, or this process was paused.
TEST_F(usage_host_case, hostsThatRanBeforeAreEstablishedLater)
{
    const auto cap = makeCap(100, 100);
    auto together = hosts({});
    for (auto &host : together) {
        host.firstRun = true;
    }
    auto oneOld = together;
    std::find_if(oneOld.begin(), oneOld.end(), [&](const auto &host) { return host.id == m_ranked[1].id; })->firstRun = false;
    host_machines withOld(m_ranked[0], startTime);
    withOld.setHosts(oneOld, startTime);
    EXPECT_LE(takeAll(withOld.owner, cap, startTime + 5s), 26);

    auto oneLost = together;
    std::find_if(oneLost.begin(), oneLost.end(), [&](const auto &host) { return host.id == m_ranked[1].id; })->state =
        usage_host_state::lost;
    host_machines withLost(m_ranked[0], startTime);
    withLost.setHosts(together, startTime);
    withLost.setHosts(oneLost, startTime + 1s);
    withLost.setHosts(together, startTime + 2s);
    EXPECT_LE(takeAll(withLost.owner, cap, startTime + 5s), 26);

    host_machines paused(m_ranked[0], startTime);
    paused.setHosts(together, startTime);
    paused.fleet.restart(startTime + 1s);
    paused.owner.restart(startTime + 1s);
    EXPECT_LE(takeAll(paused.owner, cap, startTime + 6s), 26);
}

// Guards against hosts that join a fleet later and count at once, because the fleet itself once started together: they may come from behind
// a partition. Many of them unsettle the fleet for a moment.
TEST_F(usage_host_case, hostsThatJoinAFleetThatStartedTogetherAreEstablishedLater)
{
    auto together = hosts({});
    for (auto &host : together) {
        host.firstRun = true;
    }
    usage_fleet fleet(m_ranked[0].id, m_ranked[0].zone);
    fleet.update(together, true, {}, startTime);
    EXPECT_DOUBLE_EQ(fleet.establishedShare(startTime + 1s), 1);
    together.push_back({entry_host_id("h4"), "h4", zone_id("z0"), usage_host_state::live, true});
    fleet.update(together, false, {}, startTime + 60s);
    fleet.update(together, true, {}, startTime + 62s);
    EXPECT_DOUBLE_EQ(fleet.establishedShare(startTime + 66s), 0.8);
    EXPECT_DOUBLE_EQ(fleet.establishedShare(startTime + 70s), 1);
}
