#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

fleet_options faultFreeFleet(std::size_t hosts)
{
    fleet_options options;
    options.hosts = hosts;
    options.zones = *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(hosts, 4) + 1);
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    options.maxDelay = 5ms;
    return options;
}

/// Runs until a host other than the former sender may send. @return The simulation time this took; 30 s when there was none.
fake_fleet::duration timeToNextSender(fake_fleet &fleet, const group_id &group, std::size_t former)
{
    const fake_fleet::duration begin = fleet.now();
    while (fleet.now() - begin < 30s) {
        const std::optional<std::size_t> sender = fleet.sender(group);
        if (sender && *sender != former) {
            return fleet.now() - begin;
        }
        fleet.runUntil(fleet.now() + 5ms);
    }
    return 30s;
}

/// Kills the owner of each group, in a separate simulation for each group. @param killAt When the owner is killed.
/// @return The longest time until another host may send; 30 s when a group has no owner or no successor.
fake_fleet::duration slowestTakeover(const fleet_options &options, fake_fleet::duration killAt)
{
    fake_fleet::duration slowest{};
    for (std::size_t index = 0; index < options.zones * 2; ++index) {
        fake_fleet fleet(options);
        fleet.runUntil(killAt);
        const group_id group = fleet.groups()[index].id;
        const std::optional<std::size_t> owner = fleet.sender(group);
        if (!owner) {
            return 30s;
        }
        fleet.kill(*owner);
        slowest = std::max(slowest, timeToNextSender(fleet, group, *owner));
    }
    return slowest;
}

} // namespace

// Guards against a fleet that never obtains its leases after the start, and against owners outside the group's zone.
RC_GTEST_PROP(LeaseProgress, EveryGroupHasAnOwnerAfterStart, ())
{
    const fleet_options options = faultFreeFleet(*rc::gen::element<std::size_t>(1, 2, 3, 4, 5, 9));
    fake_fleet fleet(options);
    fleet.runUntil(4500ms);
    for (const backend_group &group : fleet.groups()) {
        const std::optional<std::size_t> owner = fleet.sender(group.id);
        RC_ASSERT(owner.has_value());
        RC_ASSERT(fleet.zoneOf(*owner) == std::stoul(group.zone.str().substr(1)));
    }
}

// Guards against a killed owner that is not replaced within the lease duration plus one second plus one tick.
RC_GTEST_PROP(LeaseProgress, KilledOwnerIsReplaced, ())
{
    const fleet_options options = faultFreeFleet(*rc::gen::element<std::size_t>(3, 4, 5, 9));
    const auto killAt = 6s + std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    RC_ASSERT(slowestTakeover(options, killAt) <= 4100ms);
}

// Shows that KilledOwnerIsReplaced fails when another host takes over only after the membership suspects the owner. A lease of
// 6 s, which is longer than the 5 s until suspicion, has this effect.
TEST(DisabledProgressMechanism, TakeoverAfterSuspicionOnly)
{
    fleet_options options;
    options.hosts = 3;
    options.timing.lease = 6s;
    EXPECT_GT(slowestTakeover(options, 7s), 4100ms);
}

// Guards against a planned handover that leaves the group without an owner for 200 ms or more after its last call has ended, for
// example until the lease expires.
RC_GTEST_PROP(LeaseProgress, LeavingOwnerIsReplacedAtOnce, ())
{
    const fleet_options options = faultFreeFleet(*rc::gen::element<std::size_t>(2, 3, 4, 5, 9));
    fake_fleet fleet(options);
    fleet.runUntil(6s + std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
    const std::size_t leaving = *rc::gen::inRange<std::size_t>(0, options.hosts);
    std::vector<group_id> held;
    for (const backend_group &group : fleet.groups()) {
        if (fleet.sender(group.id) == leaving) {
            held.push_back(group.id);
        }
    }
    fleet.leave(leaving);
    for (const group_id &group : held) {
        // The calls in flight end first, after at most 2.25 s.
        while (fleet.callsInFlight(leaving, group)) {
            fleet.runUntil(fleet.now() + 5ms);
        }
        RC_ASSERT(timeToNextSender(fleet, group, leaving) < 200ms);
    }
}

// Shows that LeavingOwnerIsReplacedAtOnce depends on the release: without a release, the group has no owner until the lease expires.
TEST(DisabledProgressMechanism, LeavingOwnerWithoutRelease)
{
    fleet_options options;
    options.hosts = 3;
    options.disabledMechanism = disabled_mechanism::releaseLost;
    fake_fleet fleet(options);
    fleet.runUntil(6s);
    const group_id group = fleet.groups()[0].id;
    const std::optional<std::size_t> owner = fleet.sender(group);
    ASSERT_TRUE(owner.has_value());
    fleet.leave(*owner);
    while (fleet.callsInFlight(*owner, group)) {
        fleet.runUntil(fleet.now() + 5ms);
    }
    EXPECT_GT(timeToNextSender(fleet, group, *owner), 200ms);
}

// Guards against leases that stay with a successor permanently after the preferred owner has restarted.
TEST(LeaseProgress, RestartedOwnerGetsItsGroupsBack)
{
    fleet_options options;
    options.hosts = 5;
    options.zones = 2;
    fake_fleet fleet(options);
    fleet.runUntil(6s);
    std::map<group_id, std::optional<std::size_t>> before;
    for (const backend_group &group : fleet.groups()) {
        before[group.id] = fleet.sender(group.id);
    }
    const std::size_t owner = *before.begin()->second;
    fleet.kill(owner);
    fleet.runUntil(12s);
    EXPECT_NE(fleet.sender(before.begin()->first), owner);
    fleet.start(owner);
    fleet.runUntil(45s);
    for (const auto &[group, host] : before) {
        EXPECT_EQ(fleet.sender(group), host) << group;
    }
    EXPECT_EQ(fleet.calls().firstOverlap(), "");
}

// Guards against a cut-off zone whose groups get no owner, and against overlapping calls after the partition has healed.
TEST(LeaseProgress, CutOffZoneServesItsGroups)
{
    fleet_options options;
    options.hosts = 5;
    options.zones = 4;
    fake_fleet fleet(options);
    fleet.runUntil(6s);
    fleet.partitionZones({3}, {0, 1, 2});
    fleet.runUntil(14s);
    EXPECT_EQ(fleet.sender(group_id("orders/z3/0")), 3U);
    EXPECT_GT(fleet.isolatedLeasesGained(), 0U);
    fleet.heal();
    fleet.runUntil(40s);
    EXPECT_EQ(fleet.sender(group_id("orders/z3/0")), 3U);
    EXPECT_EQ(fleet.calls().firstOverlap(), "");
}

// Guards against a fleet of two hosts in which the loss of one host stops the other, and against a group without an owner or
// overlapping calls after the lost host has restarted.
TEST(LeaseProgress, OneOfTwoHostsUsesShares)
{
    fleet_options options;
    options.hosts = 2;
    fake_fleet fleet(options);
    fleet.runUntil(6s);
    fleet.kill(1);
    fleet.runUntil(14s);
    EXPECT_GT(fleet.shareCalls(), 0U);
    fleet.start(1);
    fleet.runUntil(30s);
    EXPECT_TRUE(fleet.sender(group_id("orders/z0/0")).has_value());
    EXPECT_EQ(fleet.calls().firstOverlap(), "");
}
