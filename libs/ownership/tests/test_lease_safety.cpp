#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

/// Random fleet for the property tests: 1, 2, 3, 4, 5 or 9 hosts in 1 to 4 zones.
fleet_options randomFleet()
{
    fleet_options options;
    options.hosts = *rc::gen::element<std::size_t>(1, 2, 3, 4, 5, 9);
    options.zones = *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(options.hosts, 4) + 1);
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    return options;
}

std::string runAndFindOverlap(const fleet_options &options)
{
    fake_fleet fleet(options);
    fleet.run();
    return fleet.calls().firstOverlap();
}

/// Adds message loss, duplicates, slow messages, pauses, restarts and handovers.
fleet_options withFaults(fleet_options options)
{
    options.lossPercent = 5;
    options.duplicatePercent = 10;
    options.slowPercent = 3;
    options.pauses = true;
    options.restarts = true;
    options.handovers = true;
    return options;
}

fleet_options withZonePartitions(fleet_options options)
{
    options.lossPercent = 2;
    options.duplicatePercent = 5;
    options.pauses = true;
    options.restarts = true;
    options.zonePartitions = true;
    return options;
}

fleet_options withArbitraryPartitions(fleet_options options)
{
    options = withFaults(options);
    options.arbitraryPartitions = true;
    return options;
}

fleet_options withHostListChanges(fleet_options options)
{
    options = withFaults(options);
    options.pauses = false;
    options.hostListChanges = true;
    return options;
}

/// Searches for a seed with which calls overlap when a mechanism is disabled, and do not overlap with all mechanisms enabled.
/// @param disabled Options that disable the mechanism. @param scenario Adds the faults.
/// @return True when one of the seeds 1 to 300 is such a seed.
template<typename Scenario>
bool disabledMechanismOverlaps(fleet_options disabled, Scenario scenario)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        disabled.seed = seed;
        fleet_options enabled = disabled;
        enabled.timing = lease_timing();
        enabled.disabledMechanism = disabled_mechanism::none;
        if (!runAndFindOverlap(scenario(disabled)).empty() && runAndFindOverlap(scenario(enabled)).empty()) {
            return true;
        }
    }
    return false;
}

fleet_options optionsOf(std::size_t hosts, std::size_t zones)
{
    fleet_options options;
    options.hosts = hosts;
    options.zones = zones;
    return options;
}

} // namespace

// Guards against two hosts that send to one group at the same time because of losses, duplicates, pauses, restarts or handovers.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderFaults, ())
{
    RC_ASSERT(runAndFindOverlap(withFaults(randomFleet())) == std::string());
}

// Guards against overlapping calls when a zone is cut off, uses the isolated mode, and is reconnected.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderZonePartitions, ())
{
    RC_ASSERT(runAndFindOverlap(withZonePartitions(randomFleet())) == std::string());
}

// Guards against overlapping calls when any hosts are partitioned from each other while the platform is reachable.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderArbitraryPartitions, ())
{
    RC_ASSERT(runAndFindOverlap(withArbitraryPartitions(randomFleet())) == std::string());
}

// Guards against overlapping calls when quorums of successive host lists share no voter.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderHostListChanges, ())
{
    RC_ASSERT(runAndFindOverlap(withHostListChanges(randomFleet())) == std::string());
}

// Each DisabledLeaseMechanism test disables one mechanism of the protocol and expects overlapping calls. The tests guard against
// fault scenarios, like those of the property tests above, that do not detect the missing mechanism.

TEST(DisabledLeaseMechanism, VoterThatGrantsRightAfterRestart)
{
    fleet_options options = optionsOf(3, 1);
    options.timing.initialGrantDelay = 0s;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, HolderWithoutClockMargin)
{
    fleet_options options = optionsOf(3, 1);
    options.timing.holderPercent = 100;
    options.maxDelay = 1ms;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, HolderThatCountsFromReceipt)
{
    fleet_options options = optionsOf(3, 1);
    options.disabledMechanism = disabled_mechanism::countFromReceipt;
    options.maxDelay = 300ms;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, HolderWithoutDeadlineGrace)
{
    fleet_options options = optionsOf(3, 1);
    options.timing.deadlineGrace = 0s;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, CallThatOutlivesTheLease)
{
    fleet_options options = optionsOf(3, 1);
    options.disabledMechanism = disabled_mechanism::callEndUnchecked;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, CheckNotRepeatedAfterPause)
{
    fleet_options options = optionsOf(3, 1);
    options.disabledMechanism = disabled_mechanism::checkBeforePause;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, ReleaseWithCallsInFlight)
{
    fleet_options options = optionsOf(3, 1);
    options.disabledMechanism = disabled_mechanism::releaseWithoutWaiting;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, LateCopyOfRelease)
{
    fleet_options options = optionsOf(3, 1);
    options.disabledMechanism = disabled_mechanism::releaseWithoutSequence;
    EXPECT_TRUE(disabledMechanismOverlaps(options, [](fleet_options base) {
        fleet_options faulty = withFaults(base);
        faulty.slowPercent = 30;
        faulty.duplicatePercent = 60;
        return faulty;
    }));
}

TEST(DisabledLeaseMechanism, VoterThatGrantsTwice)
{
    fleet_options options = optionsOf(3, 1);
    options.disabledMechanism = disabled_mechanism::grantsTwice;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withFaults));
}

TEST(DisabledLeaseMechanism, VoterThatAcceptsOldHostLists)
{
    const auto overlap = [](disabled_mechanism disabled) {
        fleet_options options = optionsOf(5, 1);
        options.disabledMechanism = disabled;
        options.resyncAfterPause = false;
        fake_fleet fleet(options);
        fleet.publishHostList({0, 1, 2});
        fleet.runUntil(15s);
        // Host 0 is paused while the host list changes. Only host 2 is in both lists.
        fleet.pause(0, 12s);
        fleet.publishHostList({2, 3, 4});
        fleet.runUntil(40s);
        return fleet.calls().firstOverlap();
    };
    EXPECT_EQ(overlap(disabled_mechanism::none), "");
    EXPECT_NE(overlap(disabled_mechanism::oldHostListAccepted), "");
}

TEST(DisabledLeaseMechanism, NoWaitAfterHostListChange)
{
    fleet_options options = optionsOf(5, 1);
    options.timing.hostListLag = -options.timing.lease;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withHostListChanges));
}

TEST(DisabledLeaseMechanism, VoterThatGrantsWhileItUsesShares)
{
    fleet_options options = optionsOf(2, 1);
    options.disabledMechanism = disabled_mechanism::grantsDuringShares;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withArbitraryPartitions));
}

TEST(DisabledLeaseMechanism, SharesWithoutWaiting)
{
    fleet_options options = optionsOf(2, 1);
    options.timing.sharesAfter = 0s;
    options.timing.reachableTimeout = 100ms;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withArbitraryPartitions));
}

TEST(DisabledLeaseMechanism, IsolatedZoneWithoutWaiting)
{
    fleet_options options = optionsOf(5, 4);
    options.timing.isolatedAfter = 0s;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withZonePartitions));
}

TEST(DisabledLeaseMechanism, OtherZoneHolderWithoutWaiting)
{
    fleet_options options = optionsOf(5, 4);
    options.timing.isolatedHolderWait = 0s;
    EXPECT_TRUE(disabledMechanismOverlaps(options, withZonePartitions));
}

TEST(DisabledLeaseMechanism, ConnectedZoneHostVotesAsIsolated)
{
    const auto overlap = [](disabled_mechanism disabled) {
        fleet_options options = optionsOf(4, 2);
        options.disabledMechanism = disabled;
        fake_fleet fleet(options);
        fleet.runUntil(6s);
        // Zone 1 loses the platform. Its host 1 is partitioned from the hosts of zone 0, its host 3 is not.
        fleet.partitionZones({}, {0});
        fleet.partitionHosts(1, 0);
        fleet.partitionHosts(1, 2);
        fleet.runUntil(30s);
        return fleet.calls().firstOverlap();
    };
    EXPECT_EQ(overlap(disabled_mechanism::none), "");
    EXPECT_NE(overlap(disabled_mechanism::grantsIsolatedWhenConnected), "");
}

// Documents an assumption of the isolated mode. When a partition separates the hosts of two zones from each other and from the
// platform, but each zone's hosts still reach the other zone's backend servers, hosts of both zones send to the same group. "Only"
// in the name means that no backend server is partitioned from a host.
TEST(LeaseLimits, PartitionBetweenHostsOnlyBreaksTheIsolatedMode)
{
    fake_fleet fleet(optionsOf(5, 2));
    fleet.runUntil(6s);
    fleet.partitionZones({}, {});
    for (const std::size_t inside : {1U, 3U}) {
        for (const std::size_t outside : {0U, 2U, 4U}) {
            fleet.partitionHosts(inside, outside);
        }
    }
    fleet.runUntil(30s);
    EXPECT_NE(fleet.calls().firstOverlap(), "");
}

// Guards against property tests that pass because isolated leases, fixed shares and leases of other zones' groups are never used.
TEST(LeaseSafety, FallbacksAndOtherZoneLeasesAreUsed)
{
    std::size_t calls = 0;
    std::size_t isolatedLeasesGained = 0;
    std::size_t shareCalls = 0;
    std::size_t otherZoneCalls = 0;
    for (const auto &[hosts, zones] : {std::pair<std::size_t, std::size_t>{2, 2}, {5, 4}, {9, 3}}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            fleet_options options = withZonePartitions(optionsOf(hosts, zones));
            options.seed = seed;
            fake_fleet fleet(options);
            fleet.run();
            EXPECT_GT(fleet.calls().size(), 100U);
            calls += fleet.calls().size();
            isolatedLeasesGained += fleet.isolatedLeasesGained();
            shareCalls += fleet.shareCalls();
            otherZoneCalls += fleet.otherZoneCalls();
        }
    }
    EXPECT_GT(calls, 30000U);
    EXPECT_GT(isolatedLeasesGained, 50U);
    EXPECT_GT(shareCalls, 50U);
    EXPECT_GT(otherZoneCalls, 50U);
}
