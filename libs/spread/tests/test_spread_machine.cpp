#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const entry_host_id self("h0");
const entry_host_id peer("h1");

template<typename Action>
std::vector<Action> only(const spread_actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

spread_settings settingsOf(const entry_host_id &host)
{
    spread_settings settings;
    settings.self = host;
    settings.seed = 1;
    return settings;
}

spread_hosts hostsOf(std::size_t zone, std::size_t elsewhere)
{
    spread_hosts hosts;
    for (std::size_t number = 0; number < zone; ++number) {
        hosts.zoneRanked.emplace_back("h" + std::to_string(number));
    }
    for (std::size_t number = 0; number < elsewhere; ++number) {
        hosts.elsewhere.emplace_back("e" + std::to_string(number));
    }
    return hosts;
}

digest digestOf(const entry_host_id &from, revision_number revision, std::uint64_t hash, std::chrono::microseconds age = -1us)
{
    digest message;
    message.sender.host = from;
    message.configRevision = revision;
    message.configHash = hash;
    message.configConfirmedAge = age;
    return message;
}

class SpreadMachineTest : public testing::Test
{
protected:
    /// Starts the machine and lets the service answer its first call with revision `number`.
    void begin(std::size_t zone, revision_number number, std::size_t elsewhere = 0)
    {
        m_machine.setHosts(hostsOf(zone, elsewhere), m_now);
        m_now += 100ms;
        const auto calls = only<read_service_action>(m_machine.onTick(m_now));
        ASSERT_EQ(calls.size(), 1U);
        ASSERT_EQ(only<apply_configuration_action>(answer(calls[0].call, number)).size(), 1U);
    }

    spread_actions answer(std::uint64_t call, revision_number number)
    {
        return m_machine.onServiceAnswer(call, number, filesNumbered(number), m_now);
    }

    /// @return The next call to the service.
    read_service_action nextCall()
    {
        for (int count = 0; count < 1000; ++count) {
            m_now += 10ms;
            if (const auto calls = only<read_service_action>(m_machine.onTick(m_now)); !calls.empty()) {
                return calls[0];
            }
        }
        ADD_FAILURE() << "no call within 10 s";
        return {};
    }

    time_point m_now{1h};
    spread_machine m_machine{settingsOf(self), m_now};
};

} // namespace

// Guards against applying what a stale service answers, and against calling it in a tight loop.
TEST_F(SpreadMachineTest, OlderRevisionIsReportedOnce)
{
    begin(1, 5);
    auto actions = answer(nextCall().call, 4);
    EXPECT_TRUE(only<apply_configuration_action>(actions).empty());
    EXPECT_TRUE(only<read_service_action>(actions).empty());
    ASSERT_EQ(only<report_problem_action>(actions).size(), 1U);
    EXPECT_EQ(only<report_problem_action>(actions)[0].kind, spread_problem_kind::olderRevision);
    const auto confirmed = m_machine.serviceConfirmedAt();
    const auto before = m_now;
    actions = answer(nextCall().call, 4);
    EXPECT_GE(m_now - before, 500ms);
    EXPECT_TRUE(only<report_problem_action>(actions).empty());
    EXPECT_EQ(m_machine.status(m_now).problemCounts.at(spread_problem_kind::olderRevision), 2U);
    EXPECT_EQ(m_machine.serviceConfirmedAt(), confirmed);
    EXPECT_EQ(m_machine.current()->revision(), 5U);
}

// Guards against a restarted numbering that looks like "nothing new" for ever.
TEST_F(SpreadMachineTest, ReadersAskForTheRevisionInForceNowAndThen)
{
    begin(1, 5);
    const auto limit = m_now + 6min;
    while (m_now < limit) {
        const auto call = nextCall();
        if (call.after == 0) {
            const auto reports = only<report_problem_action>(answer(call.call, 2));
            ASSERT_EQ(reports.size(), 1U);
            EXPECT_EQ(reports[0].kind, spread_problem_kind::olderRevision);
            return;
        }
        m_now += call.wait;
        m_machine.onServiceUnchanged(call.call, m_now);
    }
    FAIL() << "the service was never asked for its revision";
}

// Guards against two contents under one number being taken for the same revision.
TEST_F(SpreadMachineTest, ConflictingContentIsReported)
{
    begin(3, 5);
    const auto reports = only<report_problem_action>(m_machine.onDigest(digestOf(peer, 5, 1), m_now));
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].kind, spread_problem_kind::conflictingRevision);
    EXPECT_EQ(reports[0].source, "h1");
    const auto call = nextCall().call;
    const auto actions = m_machine.onServiceAnswer(call, 5, filesNumbered(6), m_now);
    EXPECT_TRUE(only<apply_configuration_action>(actions).empty());
    EXPECT_EQ(m_machine.status(m_now).problemCounts.at(spread_problem_kind::conflictingRevision), 2U);
}

// Guards against a faulty revision that is applied, asked for again and again, or blocks the one that corrects it.
TEST_F(SpreadMachineTest, RejectedRevisionIsSkipped)
{
    begin(1, 5);
    auto files = filesNumbered(6);
    files["10.json"] += "}";
    const auto actions = m_machine.onServiceAnswer(nextCall().call, 6, files, m_now);
    EXPECT_TRUE(only<apply_configuration_action>(actions).empty());
    ASSERT_EQ(only<report_problem_action>(actions).size(), 1U);
    EXPECT_EQ(only<report_problem_action>(actions)[0].problems.at(0).file, "10.json");
    ASSERT_EQ(only<read_service_action>(actions).size(), 1U);
    const auto call = only<read_service_action>(actions)[0];
    EXPECT_EQ(call.after, 6U);
    EXPECT_EQ(m_machine.status(m_now).rejected->revision, 6U);
    answer(call.call, 7);
    EXPECT_EQ(m_machine.current()->revision(), 7U);
    EXPECT_FALSE(m_machine.status(m_now).rejected);
}

// Guards against deltas that are wrong when files come and go over several revisions, or that reach too far back.
TEST_F(SpreadMachineTest, PullIsAnsweredWithChangedFiles)
{
    begin(1, 1);
    for (revision_number number = 2; number <= 70; ++number) {
        answer(nextCall().call, number);
    }
    for (revision_number have = 7; have < 70; ++have) {
        const auto message = m_machine.answerPull({have});
        ASSERT_EQ(message.base, have);
        ASSERT_EQ(message.revision, 70U);
        ASSERT_FALSE(message.files.contains("10.json"));
        const auto result = applyDelta(filesNumbered(have), {message.files, message.removed}, message.hash);
        ASSERT_TRUE(result);
        ASSERT_EQ(*result, filesNumbered(70));
    }
    EXPECT_EQ(m_machine.answerPull({6}).base, 0U);
    EXPECT_EQ(m_machine.answerPull({6}).files, filesNumbered(70));
    EXPECT_EQ(m_machine.answerPull({70}).revision, 0U);
    EXPECT_EQ(m_machine.answerPull({71}).revision, 0U);
}

// Guards against applying damaged files and against giving up on the revision after one bad delta.
TEST_F(SpreadMachineTest, HashMismatchLeadsToAWholePull)
{
    begin(1, 1);
    config_files_message message{2, 1, hashOf(filesNumbered(2)), {{"20.json", "{}"}}, {}};
    const auto actions = m_machine.onPush(peer, message, m_now);
    EXPECT_EQ(m_machine.current()->revision(), 1U);
    EXPECT_EQ(only<report_problem_action>(actions).at(0).kind, spread_problem_kind::hashMismatch);
    ASSERT_EQ(only<send_pull_action>(actions).size(), 1U);
    EXPECT_EQ(only<send_pull_action>(actions)[0].message.have, 0U);
    m_machine.onPullAnswer(peer, {2, 0, hashOf(filesNumbered(2)), filesNumbered(2), {}}, m_now);
    EXPECT_EQ(m_machine.current()->revision(), 2U);
}

// Guards against a lost pull answer delaying a revision until the next digest, and against asking a lost peer for ever.
TEST_F(SpreadMachineTest, LostPullIsRepeatedAFewTimes)
{
    begin(3, 1);
    auto pulls = only<send_pull_action>(m_machine.onDigest(digestOf(peer, 2, hashOf(filesNumbered(2))), m_now)).size();
    EXPECT_EQ(pulls, 1U);
    for (int count = 0; count < 100; ++count) {
        m_now += 100ms;
        pulls += only<send_pull_action>(m_machine.onTick(m_now)).size();
    }
    EXPECT_EQ(pulls, 4U);
}

// Guards against pushes that go back to their source, to this host, twice to one host, or out of the zone only.
TEST_F(SpreadMachineTest, PushesGoToFourOtherHosts)
{
    begin(10, 1, 10);
    const auto next = filesNumbered(2);
    const auto delta = deltaBetween(filesNumbered(1), next);
    const auto pushes = only<send_push_action>(m_machine.onPush(peer, {2, 1, hashOf(next), delta.changed, delta.removed}, m_now));
    ASSERT_EQ(pushes.size(), 4U);
    std::set<std::string> targets;
    for (const auto &push : pushes) {
        targets.insert(push.to.str());
        EXPECT_EQ(push.message.base, 1U);
    }
    EXPECT_EQ(targets.size(), 4U);
    EXPECT_FALSE(targets.contains("h0") || targets.contains("h1"));
    EXPECT_EQ(pushes[0].to.str()[0], 'h');
    EXPECT_EQ(pushes[1].to.str()[0], 'h');
}

// Guards against hosts other than the first two watching the service, and against missing a change of the ranking.
TEST_F(SpreadMachineTest, OnlyTheFirstTwoHostsWatch)
{
    auto hosts = hostsOf(5, 0);
    std::rotate(hosts.zoneRanked.begin(), hosts.zoneRanked.begin() + 1, hosts.zoneRanked.end());
    m_machine.setHosts(hosts, m_now);
    m_now += 100ms;
    const auto first = only<read_service_action>(m_machine.onTick(m_now));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].wait, 0ms);
    answer(first[0].call, 1);
    for (int count = 0; count < 100; ++count) {
        m_now += 100ms;
        m_machine.onDigest(digestOf(peer, 1, hashOf(filesNumbered(1)), 1s), m_now);
        ASSERT_TRUE(only<read_service_action>(m_machine.onTick(m_now)).empty());
    }
    EXPECT_FALSE(m_machine.status(m_now).reader);
    m_machine.setHosts(hostsOf(5, 0), m_now);
    EXPECT_TRUE(m_machine.status(m_now).reader);
    EXPECT_EQ(m_machine.status(m_now).serviceCalls, 2U);
}

// Guards against a fence that opens before a majority has answered, or while a greater revision is still on its way.
TEST_F(SpreadMachineTest, FenceWaitsForAMajorityAndTheGreatestRevision)
{
    begin(5, 1);
    EXPECT_FALSE(m_machine.ready());
    m_machine.onDigest(digestOf(entry_host_id("h1"), 1, hashOf(filesNumbered(1))), m_now);
    m_machine.onDigest(digestOf(entry_host_id("h1"), 1, hashOf(filesNumbered(1))), m_now);
    m_machine.onDigest(digestOf(entry_host_id("h2"), 0, 0), m_now);
    EXPECT_FALSE(m_machine.ready());
    const auto actions = m_machine.onDigest(digestOf(entry_host_id("h3"), 2, hashOf(filesNumbered(2))), m_now);
    EXPECT_EQ(only<send_pull_action>(actions).size(), 1U);
    EXPECT_FALSE(m_machine.ready());
    const auto opened = m_machine.onPullAnswer(entry_host_id("h3"), {2, 0, hashOf(filesNumbered(2)), filesNumbered(2), {}}, m_now);
    ASSERT_EQ(only<start_complete_action>(opened).size(), 1U);
    EXPECT_TRUE(only<start_complete_action>(opened)[0].majorityAnswered);
    EXPECT_TRUE(m_machine.ready());
}

// Guards against a host that never becomes ready because its peers are gone, or becomes ready without configuration.
TEST_F(SpreadMachineTest, FenceOpensAfterTheTimeLimit)
{
    m_machine.setHosts(hostsOf(3, 0), m_now);
    m_now += 1900ms;
    const auto call = only<read_service_action>(m_machine.onTick(m_now)).at(0).call;
    EXPECT_FALSE(m_machine.status(m_now).started);
    m_now += 100ms;
    EXPECT_EQ(only<start_complete_action>(m_machine.onTick(m_now)).size(), 1U);
    EXPECT_FALSE(m_machine.ready());
    answer(call, 1);
    EXPECT_TRUE(m_machine.ready());
}

// Guards against an answer that waited in a paused process being taken for a fresh confirmation.
TEST_F(SpreadMachineTest, LateAnswerConfirmsTheTimeOfItsCall)
{
    begin(1, 1);
    const auto call = nextCall();
    const auto sent = m_now;
    m_now += 1min;
    m_machine.onServiceUnchanged(call.call, m_now);
    EXPECT_EQ(m_machine.serviceConfirmedAt(), sent + call.wait);
}
