#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const entry_host_id self("h0");
const entry_host_id peer("h1");

template<typename Action>
std::vector<Action> actionsOf(const config_sync_actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

config_sync_settings makeSettings(const entry_host_id &host)
{
    config_sync_settings settings;
    settings.self = host;
    settings.seed = 1;
    return settings;
}

config_sync_peers makeHosts(std::size_t zoneHosts, std::size_t otherZoneHosts)
{
    config_sync_peers hosts;
    for (std::size_t number = 0; number < zoneHosts; ++number) {
        hosts.rankedZoneHosts.emplace_back("h" + std::to_string(number));
    }
    for (std::size_t number = 0; number < otherZoneHosts; ++number) {
        hosts.otherZoneHosts.emplace_back("e" + std::to_string(number));
    }
    return hosts;
}

digest makeDigest(const entry_host_id &from, revision_number revision, std::uint64_t hash, std::chrono::microseconds age = -1us)
{
    digest message;
    message.sender.host = from;
    message.configRevision = revision;
    message.configHash = hash;
    message.configConfirmedAge = age;
    return message;
}

class ConfigSyncMachineTest : public testing::Test
{
protected:
    /// Starts the state machine and answers its first call to the service with revision `number`.
    void startWithRevision(std::size_t zoneHosts, revision_number number, std::size_t otherZoneHosts = 0)
    {
        m_machine.setHosts(makeHosts(zoneHosts, otherZoneHosts), m_now);
        m_now += 100ms;
        const auto calls = actionsOf<fetch_config_action>(m_machine.onTick(m_now));
        ASSERT_EQ(calls.size(), 1U);
        ASSERT_EQ(actionsOf<apply_configuration_action>(answerCall(calls[0].call, number)).size(), 1U);
    }

    config_sync_actions answerCall(std::uint64_t call, revision_number number)
    {
        return m_machine.onServiceAnswer(call, number, filesForRevision(number), m_now);
    }

    /// Advances the time until the state machine calls the service; adds a test failure when it makes no call within 10 s.
    fetch_config_action nextServiceCall()
    {
        for (int count = 0; count < 1000; ++count) {
            m_now += 10ms;
            if (const auto calls = actionsOf<fetch_config_action>(m_machine.onTick(m_now)); !calls.empty()) {
                return calls[0];
            }
        }
        ADD_FAILURE() << "no call within 10 s";
        return {};
    }

    time_point m_now{1h};
    config_sync_machine m_machine{makeSettings(self), m_now};
};

} // namespace

// Guards against applying an older revision that a stale service sends, calling that service in a tight loop, and reporting the
// same problem repeatedly.
TEST_F(ConfigSyncMachineTest, OlderRevisionFromServiceIsReportedOnce)
{
    startWithRevision(1, 5);
    auto actions = answerCall(nextServiceCall().call, 4);
    EXPECT_TRUE(actionsOf<apply_configuration_action>(actions).empty());
    EXPECT_TRUE(actionsOf<fetch_config_action>(actions).empty());
    ASSERT_EQ(actionsOf<report_problem_action>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<report_problem_action>(actions)[0].kind, config_sync_problem_kind::olderRevision);
    const auto confirmed = m_machine.serviceConfirmedAt();
    const auto before = m_now;
    actions = answerCall(nextServiceCall().call, 4);
    EXPECT_GE(m_now - before, 500ms);
    EXPECT_TRUE(actionsOf<report_problem_action>(actions).empty());
    EXPECT_EQ(m_machine.status(m_now).problemCounts.at(config_sync_problem_kind::olderRevision), 2U);
    EXPECT_EQ(m_machine.serviceConfirmedAt(), confirmed);
    EXPECT_EQ(m_machine.current()->revision(), 5U);
}

// Guards against never noticing that the service restarted its numbering with lower revisions. Such a service answers every
// call that names a greater revision with "no newer revision".
TEST_F(ConfigSyncMachineTest, ReadersPeriodicallyReadUnconditionally)
{
    startWithRevision(1, 5);
    const auto limit = m_now + 6min;
    while (m_now < limit) {
        const auto call = nextServiceCall();
        if (call.after == 0) {
            const auto reports = actionsOf<report_problem_action>(answerCall(call.call, 2));
            ASSERT_EQ(reports.size(), 1U);
            EXPECT_EQ(reports[0].kind, config_sync_problem_kind::olderRevision);
            return;
        }
        m_now += call.wait;
        m_machine.onServiceUnchanged(call.call, m_now);
    }
    FAIL() << "no call to the service with `after` 0 within 6 min";
}

// Guards against treating two different contents with the same number as the same revision.
TEST_F(ConfigSyncMachineTest, ConflictingContentIsReported)
{
    startWithRevision(3, 5);
    const auto reports = actionsOf<report_problem_action>(m_machine.onDigest(makeDigest(peer, 5, 1), m_now));
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].kind, config_sync_problem_kind::conflictingRevision);
    EXPECT_EQ(reports[0].source, "h1");
    const auto call = nextServiceCall().call;
    const auto actions = m_machine.onServiceAnswer(call, 5, filesForRevision(6), m_now);
    EXPECT_TRUE(actionsOf<apply_configuration_action>(actions).empty());
    EXPECT_EQ(m_machine.status(m_now).problemCounts.at(config_sync_problem_kind::conflictingRevision), 2U);
}

// Guards against an invalid revision that is applied, is requested repeatedly, or prevents the next valid revision from being
// applied.
TEST_F(ConfigSyncMachineTest, RejectedRevisionIsSkipped)
{
    startWithRevision(1, 5);
    auto files = filesForRevision(6);
    files["10.json"] += "}";
    const auto actions = m_machine.onServiceAnswer(nextServiceCall().call, 6, files, m_now);
    EXPECT_TRUE(actionsOf<apply_configuration_action>(actions).empty());
    ASSERT_EQ(actionsOf<report_problem_action>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<report_problem_action>(actions)[0].problems.at(0).file, "10.json");
    ASSERT_EQ(actionsOf<fetch_config_action>(actions).size(), 1U);
    const auto call = actionsOf<fetch_config_action>(actions)[0];
    EXPECT_EQ(call.after, 6U);
    EXPECT_EQ(m_machine.status(m_now).rejected->revision, 6U);
    answerCall(call.call, 7);
    EXPECT_EQ(m_machine.current()->revision(), 7U);
    EXPECT_FALSE(m_machine.status(m_now).rejected);
}

// Guards against wrong deltas when files are added and removed over several revisions, and against deltas from a base that
// is no longer in the history.
TEST_F(ConfigSyncMachineTest, PullIsAnsweredWithChangedFiles)
{
    startWithRevision(1, 1);
    for (revision_number number = 2; number <= 70; ++number) {
        answerCall(nextServiceCall().call, number);
    }
    for (revision_number knownRevision = 7; knownRevision < 70; ++knownRevision) {
        const auto message = m_machine.answerPull({knownRevision});
        ASSERT_EQ(message.base, knownRevision);
        ASSERT_EQ(message.revision, 70U);
        ASSERT_FALSE(message.files.contains("10.json"));
        const auto result = applyDelta(filesForRevision(knownRevision), {message.files, message.removed}, message.hash);
        ASSERT_TRUE(result);
        ASSERT_EQ(*result, filesForRevision(70));
    }
    EXPECT_EQ(m_machine.answerPull({6}).base, 0U);
    EXPECT_EQ(m_machine.answerPull({6}).files, filesForRevision(70));
    EXPECT_EQ(m_machine.answerPull({70}).revision, 0U);
    EXPECT_EQ(m_machine.answerPull({71}).revision, 0U);
}

// Guards against applying corrupted files, and against never requesting the revision again after one corrupted delta.
TEST_F(ConfigSyncMachineTest, HashMismatchTriggersFullPull)
{
    startWithRevision(1, 1);
    config_files_message message{2, 1, hashOf(filesForRevision(2)), {{"20.json", "{}"}}, {}};
    const auto actions = m_machine.onPush(peer, message, m_now);
    EXPECT_EQ(m_machine.current()->revision(), 1U);
    EXPECT_EQ(actionsOf<report_problem_action>(actions).at(0).kind, config_sync_problem_kind::hashMismatch);
    ASSERT_EQ(actionsOf<send_pull_action>(actions).size(), 1U);
    EXPECT_EQ(actionsOf<send_pull_action>(actions)[0].message.knownRevision, 0U);
    m_machine.onPullAnswer(peer, {2, 0, hashOf(filesForRevision(2)), filesForRevision(2), {}}, m_now);
    EXPECT_EQ(m_machine.current()->revision(), 2U);
}

// Guards against waiting for the next digest after the answer to a pull was lost, and against retrying an unreachable peer
// forever.
TEST_F(ConfigSyncMachineTest, UnansweredPullIsRetriedThreeTimes)
{
    startWithRevision(3, 1);
    auto pulls = actionsOf<send_pull_action>(m_machine.onDigest(makeDigest(peer, 2, hashOf(filesForRevision(2))), m_now)).size();
    EXPECT_EQ(pulls, 1U);
    for (int count = 0; count < 100; ++count) {
        m_now += 100ms;
        pulls += actionsOf<send_pull_action>(m_machine.onTick(m_now)).size();
    }
    EXPECT_EQ(pulls, 4U);
}

// Guards against pushes to the sender, to this host or twice to the same host, and against fewer than two pushes within the zone.
TEST_F(ConfigSyncMachineTest, PushesGoToFourOtherHosts)
{
    startWithRevision(10, 1, 10);
    const auto next = filesForRevision(2);
    const auto delta = deltaBetween(filesForRevision(1), next);
    const auto pushes = actionsOf<send_push_action>(m_machine.onPush(peer, {2, 1, hashOf(next), delta.changed, delta.removed}, m_now));
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

// Guards against long polls by hosts that are not among the first two in the ranking, and against a host that ignores a change
// of the ranking.
TEST_F(ConfigSyncMachineTest, OnlyFirstTwoHostsLongPoll)
{
    auto hosts = makeHosts(5, 0);
    std::rotate(hosts.rankedZoneHosts.begin(), hosts.rankedZoneHosts.begin() + 1, hosts.rankedZoneHosts.end());
    m_machine.setHosts(hosts, m_now);
    m_now += 100ms;
    const auto first = actionsOf<fetch_config_action>(m_machine.onTick(m_now));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].wait, 0ms);
    answerCall(first[0].call, 1);
    for (int count = 0; count < 100; ++count) {
        m_now += 100ms;
        m_machine.onDigest(makeDigest(peer, 1, hashOf(filesForRevision(1)), 1s), m_now);
        ASSERT_TRUE(actionsOf<fetch_config_action>(m_machine.onTick(m_now)).empty());
    }
    EXPECT_FALSE(m_machine.status(m_now).reader);
    m_machine.setHosts(makeHosts(5, 0), m_now);
    EXPECT_TRUE(m_machine.status(m_now).reader);
    EXPECT_EQ(m_machine.status(m_now).serviceCalls, 2U);
}

// Guards against a start-up gate that opens before a majority of the peers has answered, or while a greater revision is
// still being pulled.
TEST_F(ConfigSyncMachineTest, GateWaitsForMajorityAndGreatestRevision)
{
    startWithRevision(5, 1);
    EXPECT_FALSE(m_machine.ready());
    m_machine.onDigest(makeDigest(entry_host_id("h1"), 1, hashOf(filesForRevision(1))), m_now);
    m_machine.onDigest(makeDigest(entry_host_id("h1"), 1, hashOf(filesForRevision(1))), m_now);
    m_machine.onDigest(makeDigest(entry_host_id("h2"), 0, 0), m_now);
    EXPECT_FALSE(m_machine.ready());
    const auto actions = m_machine.onDigest(makeDigest(entry_host_id("h3"), 2, hashOf(filesForRevision(2))), m_now);
    EXPECT_EQ(actionsOf<send_pull_action>(actions).size(), 1U);
    EXPECT_FALSE(m_machine.ready());
    const auto opened = m_machine.onPullAnswer(entry_host_id("h3"), {2, 0, hashOf(filesForRevision(2)), filesForRevision(2), {}}, m_now);
    ASSERT_EQ(actionsOf<start_complete_action>(opened).size(), 1U);
    EXPECT_TRUE(actionsOf<start_complete_action>(opened)[0].majorityAnswered);
    EXPECT_TRUE(m_machine.ready());
}

// Guards against a host that never becomes ready because its peers are down, or that becomes ready without a configuration.
TEST_F(ConfigSyncMachineTest, GateOpensAfterTimeout)
{
    m_machine.setHosts(makeHosts(3, 0), m_now);
    m_now += 1900ms;
    const auto call = actionsOf<fetch_config_action>(m_machine.onTick(m_now)).at(0).call;
    EXPECT_FALSE(m_machine.status(m_now).started);
    m_now += 100ms;
    EXPECT_EQ(actionsOf<start_complete_action>(m_machine.onTick(m_now)).size(), 1U);
    EXPECT_FALSE(m_machine.ready());
    answerCall(call, 1);
    EXPECT_TRUE(m_machine.ready());
}

// Guards against treating an answer as a new confirmation although the process was paused before it read the answer. The
// service sent the answer no later than the end of the long poll.
TEST_F(ConfigSyncMachineTest, LateUnchangedAnswerConfirmsAsOfEndOfLongPoll)
{
    startWithRevision(1, 1);
    const auto call = nextServiceCall();
    const auto sent = m_now;
    m_now += 1min;
    m_machine.onServiceUnchanged(call.call, m_now);
    EXPECT_EQ(m_machine.serviceConfirmedAt(), sent + call.wait);
}
