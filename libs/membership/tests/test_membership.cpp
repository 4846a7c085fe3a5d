#include "tests/fakes/fake_gossip.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

host_list listOf(revision_number revision, std::size_t hosts, std::size_t zones)
{
    host_list list;
    list.revision = revision;
    for (std::size_t host = 0; host < hosts; ++host) {
        list.hosts.push_back(
            {"h" + std::to_string(host), host_kind::entryHost, zone_id("z" + std::to_string(host % zones)), std::to_string(host), false});
    }
    return list;
}

host_state observedState(const fake_gossip &fleet, std::size_t viewer, std::size_t host)
{
    const member *entry = fleet.entryOf(viewer, host);
    return entry == nullptr ? host_state::down : entry->state;
}

/// Restarts a host while messages of its earlier run are in flight.
/// @return Whether all other hosts see the new incarnation as live.
bool restartIsObserved(std::size_t hosts, std::size_t zones, std::uint64_t seed, bool omitRecipientEntry)
{
    fake_gossip fleet(hosts, zones, seed, 10, 1500ms);
    fleet.omitRecipientEntry = omitRecipientEntry;
    fleet.publish(listOf(1, hosts, zones));
    fleet.run(20s);
    const std::size_t restarted = seed % hosts;
    fleet.kill(restarted);
    fleet.run(std::chrono::milliseconds(seed % 3000));
    fleet.start(restarted);
    fleet.run(15s);
    for (std::size_t viewer = 0; viewer < hosts; ++viewer) {
        const member *entry = fleet.entryOf(viewer, restarted);
        if (viewer != restarted
            && (entry == nullptr || entry->incarnation != fleet.incarnationOf(restarted) || entry->state != host_state::live)) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a fleet whose hosts cannot find each other through their seed peers while the platform is unavailable.
RC_GTEST_PROP(Membership, HostsFindEachOtherThroughSeeds, ())
{
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(2, 10);
    fake_gossip fleet(hosts, *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::arbitrary<std::uint32_t>(), 5, 50ms);
    fleet.run(15s);
    for (std::size_t viewer = 0; viewer < hosts; ++viewer) {
        for (std::size_t host = 0; host < hosts; ++host) {
            RC_ASSERT(observedState(fleet, viewer, host) == host_state::live);
        }
    }
}

// Guards against late messages of an earlier run of a host that override the entry of its current run.
RC_GTEST_PROP(Membership, NewerIncarnationWins, ())
{
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(2, 10);
    RC_ASSERT(restartIsObserved(hosts, *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::arbitrary<std::uint32_t>(), false));
}

// Guards against a restarted host that passes for one without an earlier run: others may still hand out tokens that its earlier run
// counted.
TEST(Membership, FirstRunsAreToldFromRestarts)
{
    fake_gossip fleet(5, 2, 3, 2, 20ms);
    fleet.run(5s);
    EXPECT_TRUE(fleet.entryOf(1, 0)->firstRun);
    EXPECT_TRUE(fleet.entryOf(1, 1)->firstRun);
    fleet.run(30s);
    fleet.kill(0);
    fleet.run(500ms);
    fleet.start(0);
    fleet.run(3s);
    for (std::size_t viewer = 0; viewer < 5; ++viewer) {
        EXPECT_FALSE(fleet.entryOf(viewer, 0)->firstRun) << "seen by " << viewer;
    }
    EXPECT_FALSE(fleet.entryOf(0, 1)->firstRun) << "it runs for half a minute";
}

// Shows that NewerIncarnationWins detects the fault: when digests omit the recipient's entry, a restarted host does not learn the
// heartbeat of its earlier run, and the other hosts ignore its lower heartbeats.
TEST(DisabledMembershipMechanism, RestartedHostStaysBelowEarlierHeartbeat)
{
    EXPECT_FALSE(restartIsObserved(5, 1, 7, true));
    EXPECT_TRUE(restartIsObserved(5, 1, 7, false));
}

// Guards against a killed host that stays live, and against live hosts that become suspect because of message loss.
RC_GTEST_PROP(Membership, KilledHostBecomesSuspectThenDown, ())
{
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(3, 10);
    fake_gossip fleet(hosts, *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::arbitrary<std::uint32_t>(), 2, 50ms);
    fleet.publish(listOf(1, hosts, 1));
    fleet.run(10s);
    fleet.kill(0);
    fleet.run(4s);
    RC_ASSERT(observedState(fleet, 1, 0) == host_state::live);
    fleet.run(5s);
    for (std::size_t viewer = 1; viewer < hosts; ++viewer) {
        RC_ASSERT(observedState(fleet, viewer, 0) == host_state::suspect || observedState(fleet, viewer, 0) == host_state::down);
        for (std::size_t host = 1; host < hosts; ++host) {
            RC_ASSERT(observedState(fleet, viewer, host) == host_state::live);
        }
    }
    fleet.run(8s);
    RC_ASSERT(observedState(fleet, 1, 0) == host_state::down);
}

// Guards against fixed suspicion timeouts in large zones, where each entry is refreshed less often.
TEST(Membership, SuspicionTimeoutGrowsWithTheZone)
{
    membership_settings settings;
    settings.self = entry_host_id("h0");
    settings.zone = zone_id("z0");
    const time_point start{1000s};
    membership large(settings, random_source(1), start);
    large.setHostList(listOf(1, 120, 1), start);
    large.tick(start + 9900ms);
    EXPECT_EQ(large.view()->find(entry_host_id("h1"))->state, host_state::live);
    large.tick(start + 10200ms);
    EXPECT_EQ(large.view()->find(entry_host_id("h1"))->state, host_state::suspect);
    membership small(settings, random_source(1), start);
    small.setHostList(listOf(1, 60, 1), start);
    small.tick(start + 5100ms);
    EXPECT_EQ(small.view()->find(entry_host_id("h1"))->state, host_state::suspect);
}

// Guards against a number of contacted peers that grows with the fleet, and against small fleets in which not all peers are
// contacted.
TEST(Membership, PeersPerPeriod)
{
    for (const auto &[hosts, zones, expected] :
         std::vector<std::tuple<std::size_t, std::size_t, std::size_t>>{{7, 3, 6}, {8, 2, 4}, {30, 3, 4}, {30, 1, 3}}) {
        membership_settings settings;
        settings.self = entry_host_id("h0");
        settings.zone = zone_id("z0");
        settings.seeds = {"1"};
        const time_point start{1000s};
        membership instance(settings, random_source(3), start);
        instance.setHostList(listOf(1, hosts, zones), start);
        std::set<std::string> addresses;
        for (const membership_action &action : instance.tick(start)) {
            if (const auto *send = std::get_if<send_digest>(&action)) {
                EXPECT_LE(send->message.members.size(), settings.maxDigestEntries);
                addresses.insert(send->address);
            }
        }
        // The seed peer is contacted as well while no message from a peer has arrived. It may also be one of the selected peers.
        addresses.erase("1");
        EXPECT_GE(addresses.size() + 1, expected) << hosts;
        EXPECT_LE(addresses.size(), expected) << hosts;
    }
}

// Guards against a leaving host that still counts as live on other hosts, or that counts as live again later.
TEST(Membership, LeavingIsSeenImmediatelyAndStays)
{
    fake_gossip fleet(5, 2, 11, 0, 20ms);
    fleet.publish(listOf(1, 5, 2));
    fleet.run(5s);
    fleet.leave(2);
    fleet.run(100ms);
    for (const std::size_t viewer : {0U, 1U, 3U, 4U}) {
        EXPECT_EQ(observedState(fleet, viewer, 2), host_state::leaving);
    }
    fleet.run(5s);
    EXPECT_EQ(observedState(fleet, 0, 2), host_state::leaving);
    EXPECT_EQ(fleet.entryOf(2, 2)->state, host_state::leaving);
}

// Guards against the adoption of an older host list, and against dead hosts that stay in the view after a newer list omits them.
TEST(Membership, OlderHostListIsIgnoredAndUnlistedHostIsRemoved)
{
    fake_gossip fleet(4, 1, 5, 0, 20ms);
    fleet.kill(3);
    fleet.publish(listOf(7, 4, 1));
    EXPECT_TRUE(fleet.membershipOf(0)->setHostList(listOf(6, 2, 1), fleet.now()).empty());
    EXPECT_EQ(fleet.membershipOf(0)->view()->hosts.revision, 7U);
    EXPECT_EQ(fleet.membershipOf(0)->view()->hosts.members.size(), 4U);
    EXPECT_NE(fleet.entryOf(0, 3), nullptr);
    fleet.publish(listOf(8, 3, 1));
    fleet.run(125s);
    EXPECT_EQ(fleet.entryOf(0, 3), nullptr);
    EXPECT_EQ(observedState(fleet, 0, 1), host_state::live);
}

// Guards against digests with a newer host list or a different configuration that do not produce the actions to fetch them.
TEST(Membership, ReportsNewerHostListAndDifferentConfiguration)
{
    membership_settings settings;
    settings.self = entry_host_id("h0");
    membership instance(settings, random_source(1), time_point{1000s});
    instance.setConfig(4, 44);
    digest message;
    message.sender.host = entry_host_id("h1");
    message.sender.address = "1";
    message.sender.heartbeat = 1;
    message.configRevision = 5;
    message.hostListRevision = 9;
    membership_actions actions;
    EXPECT_EQ(instance.receiveDigest(message, time_point{1001s}, actions).configRevision, 4U);
    const auto has = [&](auto type) {
        return std::any_of(actions.begin(), actions.end(), [&](const membership_action &action) {
            return std::holds_alternative<decltype(type)>(action);
        });
    };
    EXPECT_TRUE(has(fetch_host_list_from_address()));
    EXPECT_TRUE(has(config_differs()));
    EXPECT_TRUE(has(host_state_changed()));
    actions = instance.tick(time_point{1001s});
    EXPECT_TRUE(has(view_changed()));
    EXPECT_NE(instance.view()->find(entry_host_id("h1")), nullptr);
}
