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

host_state stateSeen(const fake_gossip &fleet, std::size_t viewer, std::size_t host)
{
    const member *entry = fleet.seen(viewer, host);
    return entry == nullptr ? host_state::down : entry->state;
}

/// Restarts a host while messages of its earlier run are still on their way. @return Whether all others see the new run.
bool restartIsSeen(std::size_t hosts, std::size_t zones, std::uint64_t seed, bool hideRecipients)
{
    fake_gossip fleet(hosts, zones, seed, 10, 1500ms);
    fleet.hideRecipients = hideRecipients;
    fleet.publish(listOf(1, hosts, zones));
    fleet.run(20s);
    const std::size_t restarted = seed % hosts;
    fleet.kill(restarted);
    fleet.run(std::chrono::milliseconds(seed % 3000));
    fleet.start(restarted);
    fleet.run(15s);
    for (std::size_t viewer = 0; viewer < hosts; ++viewer) {
        const member *entry = fleet.seen(viewer, restarted);
        if (viewer != restarted
            && (entry == nullptr || entry->incarnation != fleet.incarnationOf(restarted) || entry->state != host_state::live)) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a fleet that cannot find itself from seed peers while the platform is down.
RC_GTEST_PROP(Membership, SeedsAreEnough, ())
{
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(2, 10);
    fake_gossip fleet(hosts, *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::arbitrary<std::uint32_t>(), 5, 50ms);
    fleet.run(15s);
    for (std::size_t viewer = 0; viewer < hosts; ++viewer) {
        for (std::size_t host = 0; host < hosts; ++host) {
            RC_ASSERT(stateSeen(fleet, viewer, host) == host_state::live);
        }
    }
}

// Guards against late messages of an earlier run that hide the present one.
RC_GTEST_PROP(Membership, NewerIncarnationWins, ())
{
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(2, 10);
    RC_ASSERT(restartIsSeen(hosts, *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::arbitrary<std::uint32_t>(), false));
}

// Shows that the property above needs peers to tell a restarted host how far its earlier run had counted.
TEST(BrokenMembership, RestartedHostThatStartsBelowItsEarlierHeartbeat)
{
    EXPECT_FALSE(restartIsSeen(5, 1, 7, true));
    EXPECT_TRUE(restartIsSeen(5, 1, 7, false));
}

// Guards against a killed host that stays live, and against live hosts that become suspect by losses.
RC_GTEST_PROP(Membership, KilledHostBecomesSuspectThenDown, ())
{
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(3, 10);
    fake_gossip fleet(hosts, *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::arbitrary<std::uint32_t>(), 2, 50ms);
    fleet.publish(listOf(1, hosts, 1));
    fleet.run(10s);
    fleet.kill(0);
    fleet.run(4s);
    RC_ASSERT(stateSeen(fleet, 1, 0) == host_state::live);
    fleet.run(5s);
    for (std::size_t viewer = 1; viewer < hosts; ++viewer) {
        RC_ASSERT(stateSeen(fleet, viewer, 0) == host_state::suspect || stateSeen(fleet, viewer, 0) == host_state::down);
        for (std::size_t host = 1; host < hosts; ++host) {
            RC_ASSERT(stateSeen(fleet, viewer, host) == host_state::live);
        }
    }
    fleet.run(8s);
    RC_ASSERT(stateSeen(fleet, 1, 0) == host_state::down);
}

// Guards against a fixed limit in large zones, where an entry is refreshed less often.
TEST(Membership, SuspicionGrowsWithTheZone)
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

// Guards against a cost that grows with the fleet, and against small fleets that do not contact everybody.
TEST(Membership, PeersPerPeriod)
{
    for (const auto &[hosts, zones, expected] :
         std::vector<std::tuple<std::size_t, std::size_t, std::size_t>>{{7, 3, 6}, {8, 2, 4}, {30, 3, 4}, {30, 1, 3}}) {
        membership_settings settings;
        settings.self = entry_host_id("h0");
        settings.zone = zone_id("z0");
        settings.seeds = {"1"};
        const time_point start{1000s};
        membership one(settings, random_source(3), start);
        one.setHostList(listOf(1, hosts, zones), start);
        std::set<std::string> addresses;
        for (const membership_action &action : one.tick(start)) {
            if (const auto *send = std::get_if<send_digest>(&action)) {
                EXPECT_LE(send->message.members.size(), settings.digestEntries);
                addresses.insert(send->address);
            }
        }
        addresses.erase("1"); // The seed peer is contacted as well while nobody has answered.
        EXPECT_GE(addresses.size() + 1, expected) << hosts;
        EXPECT_LE(addresses.size(), expected) << hosts;
    }
}

// Guards against a leaving host that gets new work, or that returns to live by late news.
TEST(Membership, LeavingIsSeenAtOnceAndStays)
{
    fake_gossip fleet(5, 2, 11, 0, 20ms);
    fleet.publish(listOf(1, 5, 2));
    fleet.run(5s);
    fleet.leave(2);
    fleet.run(100ms);
    for (const std::size_t viewer : {0U, 1U, 3U, 4U}) {
        EXPECT_EQ(stateSeen(fleet, viewer, 2), host_state::leaving);
    }
    fleet.run(5s);
    EXPECT_EQ(stateSeen(fleet, 0, 2), host_state::leaving);
    EXPECT_EQ(fleet.seen(2, 2)->state, host_state::leaving);
}

// Guards against host lists that go back, and against hosts of an old list that are never forgotten.
TEST(Membership, ListsNeverGoBack)
{
    fake_gossip fleet(4, 1, 5, 0, 20ms);
    fleet.kill(3);
    fleet.publish(listOf(7, 4, 1));
    EXPECT_TRUE(fleet.at(0)->setHostList(listOf(6, 2, 1), fleet.now()).empty());
    EXPECT_EQ(fleet.at(0)->view()->hosts.revision, 7U);
    EXPECT_EQ(fleet.at(0)->view()->hosts.members.size(), 4U);
    EXPECT_NE(fleet.seen(0, 3), nullptr);
    fleet.publish(listOf(8, 3, 1));
    fleet.run(125s);
    EXPECT_EQ(fleet.seen(0, 3), nullptr);
    EXPECT_EQ(stateSeen(fleet, 0, 1), host_state::live);
}

// Guards against news in digests that are not passed to the parts that fetch the host list and the configuration.
TEST(Membership, ReportsNewerListAndOtherConfiguration)
{
    membership_settings settings;
    settings.self = entry_host_id("h0");
    membership one(settings, random_source(1), time_point{1000s});
    one.setConfig(4, 44);
    digest message;
    message.sender.host = entry_host_id("h1");
    message.sender.address = "1";
    message.sender.heartbeat = 1;
    message.configRevision = 5;
    message.hostListRevision = 9;
    membership_actions actions;
    EXPECT_EQ(one.receive(message, time_point{1001s}, actions).configRevision, 4U);
    const auto has = [&](auto type) {
        return std::any_of(actions.begin(), actions.end(), [&](const membership_action &action) {
            return std::holds_alternative<decltype(type)>(action);
        });
    };
    EXPECT_TRUE(has(host_list_behind()));
    EXPECT_TRUE(has(config_differs()));
    EXPECT_TRUE(has(host_state_changed()));
    actions = one.tick(time_point{1001s});
    EXPECT_TRUE(has(view_changed()));
    EXPECT_NE(one.view()->find(entry_host_id("h1")), nullptr);
}
