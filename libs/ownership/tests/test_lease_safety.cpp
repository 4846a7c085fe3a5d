#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

/// Fleet sizes and zones of the properties: 1, 2, 3, 4, 5 and 9 hosts over 1 to 4 zones.
fleet_options anyFleet()
{
    fleet_options options;
    options.hosts = *rc::gen::element<std::size_t>(1, 2, 3, 4, 5, 9);
    options.zones = *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(options.hosts, 4) + 1);
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    return options;
}

std::string overlapOf(const fleet_options &options)
{
    fake_fleet fleet(options);
    fleet.run();
    return fleet.calls().firstOverlap();
}

/// Faults without partitions.
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

fleet_options withZoneCuts(fleet_options options)
{
    options.lossPercent = 2;
    options.duplicatePercent = 5;
    options.pauses = true;
    options.restarts = true;
    options.zoneCuts = true;
    return options;
}

fleet_options withArbitraryCuts(fleet_options options)
{
    options = withFaults(options);
    options.arbitraryCuts = true;
    return options;
}

fleet_options withRosterChanges(fleet_options options)
{
    options = withFaults(options);
    options.pauses = false;
    options.rosterChanges = true;
    return options;
}

/// Looks for a run in which only the broken fleet overlaps. @param broken The fleet. @param scenario Adds the faults.
/// @return Whether one of the seeds gives such a run.
template<typename Scenario>
bool brokenOverlaps(fleet_options broken, Scenario scenario)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        broken.seed = seed;
        fleet_options whole = broken;
        whole.timing = lease_timing();
        whole.broken = broken_mechanism::none;
        if (!overlapOf(scenario(broken)).empty() && overlapOf(scenario(whole)).empty()) {
            return true;
        }
    }
    return false;
}

fleet_options fleetOf(std::size_t hosts, std::size_t zones)
{
    fleet_options options;
    options.hosts = hosts;
    options.zones = zones;
    return options;
}

} // namespace

// Guards against two hosts that send to one group because of losses, duplicates, pauses, restarts or handovers.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderFaults, ())
{
    RC_ASSERT(overlapOf(withFaults(anyFleet())) == std::string());
}

// Guards against overlaps when a zone is cut off, decides alone, and comes back.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderZoneCuts, ())
{
    RC_ASSERT(overlapOf(withZoneCuts(anyFleet())) == std::string());
}

// Guards against overlapping leases when hosts are separated in any pattern while the platform is reachable.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderArbitraryCuts, ())
{
    RC_ASSERT(overlapOf(withArbitraryCuts(anyFleet())) == std::string());
}

// Guards against quorums of different host lists that share no voter.
RC_GTEST_PROP(LeaseSafety, NoOverlapUnderRosterChanges, ())
{
    RC_ASSERT(overlapOf(withRosterChanges(anyFleet())) == std::string());
}

// The tests below switch off one mechanism each. They guard against properties that cannot fail.

TEST(BrokenLeases, VoterThatGrantsRightAfterRestart)
{
    fleet_options options = fleetOf(3, 1);
    options.timing.startSilence = 0s;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, HolderWithoutClockMargin)
{
    fleet_options options = fleetOf(3, 1);
    options.timing.holderPercent = 100;
    options.maxDelay = 1ms;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, HolderThatCountsFromReceipt)
{
    fleet_options options = fleetOf(3, 1);
    options.broken = broken_mechanism::countFromReceipt;
    options.maxDelay = 300ms;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, HolderWithoutGrace)
{
    fleet_options options = fleetOf(3, 1);
    options.timing.grace = 0s;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, CallThatOutlivesTheLease)
{
    fleet_options options = fleetOf(3, 1);
    options.broken = broken_mechanism::callEndUnchecked;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, CheckNotRepeatedAfterPause)
{
    fleet_options options = fleetOf(3, 1);
    options.broken = broken_mechanism::checkBeforePause;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, ReleaseWithCallsInFlight)
{
    fleet_options options = fleetOf(3, 1);
    options.broken = broken_mechanism::releaseWithoutWaiting;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, LateCopyOfRelease)
{
    fleet_options options = fleetOf(3, 1);
    options.broken = broken_mechanism::releaseWithoutSequence;
    EXPECT_TRUE(brokenOverlaps(options, [](fleet_options base) {
        fleet_options faulty = withFaults(base);
        faulty.slowPercent = 30;
        faulty.duplicatePercent = 60;
        return faulty;
    }));
}

TEST(BrokenLeases, VoterThatGrantsTwice)
{
    fleet_options options = fleetOf(3, 1);
    options.broken = broken_mechanism::grantsTwice;
    EXPECT_TRUE(brokenOverlaps(options, withFaults));
}

TEST(BrokenLeases, VoterThatAcceptsOldRosters)
{
    const auto overlap = [](broken_mechanism broken) {
        fleet_options options = fleetOf(5, 1);
        options.broken = broken;
        options.resynchronise = false;
        fake_fleet fleet(options);
        fleet.publishRoster({0, 1, 2});
        fleet.runUntil(15s);
        // Host 0 sleeps through the change to a roster that has none of the voters it needs.
        fleet.pause(0, 12s);
        fleet.publishRoster({2, 3, 4});
        fleet.runUntil(40s);
        return fleet.calls().firstOverlap();
    };
    EXPECT_EQ(overlap(broken_mechanism::none), "");
    EXPECT_NE(overlap(broken_mechanism::oldRosterAccepted), "");
}

TEST(BrokenLeases, RosterChangeNotWaitedOut)
{
    fleet_options options = fleetOf(5, 1);
    options.timing.rosterLag = -options.timing.lease;
    EXPECT_TRUE(brokenOverlaps(options, withRosterChanges));
}

TEST(BrokenLeases, VoterThatGrantsWhileItUsesShares)
{
    fleet_options options = fleetOf(2, 1);
    options.broken = broken_mechanism::grantsDuringShares;
    EXPECT_TRUE(brokenOverlaps(options, withArbitraryCuts));
}

TEST(BrokenLeases, SharesWithoutWaiting)
{
    fleet_options options = fleetOf(2, 1);
    options.timing.sharesAfter = 0s;
    options.timing.reachableTimeout = 100ms;
    EXPECT_TRUE(brokenOverlaps(options, withArbitraryCuts));
}

TEST(BrokenLeases, IsolatedZoneWithoutWaiting)
{
    fleet_options options = fleetOf(5, 4);
    options.timing.isolatedAfter = 0s;
    EXPECT_TRUE(brokenOverlaps(options, withZoneCuts));
}

TEST(BrokenLeases, ForeignHolderWithoutWaiting)
{
    fleet_options options = fleetOf(5, 4);
    options.timing.isolatedHolderWait = 0s;
    EXPECT_TRUE(brokenOverlaps(options, withZoneCuts));
}

TEST(BrokenLeases, ZoneHostThatHearsFromOutsideVotesAsIsolated)
{
    const auto overlap = [](broken_mechanism broken) {
        fleet_options options = fleetOf(4, 2);
        options.broken = broken;
        fake_fleet fleet(options);
        fleet.runUntil(6s);
        // Host 1 loses the hosts of the other zone; host 3, of its zone, does not.
        fleet.cutZones({}, {0});
        fleet.cutHosts(1, 0);
        fleet.cutHosts(1, 2);
        fleet.runUntil(30s);
        return fleet.calls().firstOverlap();
    };
    EXPECT_EQ(overlap(broken_mechanism::none), "");
    EXPECT_NE(overlap(broken_mechanism::grantsIsolatedUnasked), "");
}

// Documents what the isolated mode assumes: a cut that separates the hosts of two zones but not one zone's hosts from the other
// zone's backend servers, without the platform, lets both sides send.
TEST(LeaseLimits, CutBetweenHostsOnlyBreaksTheIsolatedMode)
{
    fake_fleet fleet(fleetOf(5, 2));
    fleet.runUntil(6s);
    fleet.cutZones({}, {});
    for (const std::size_t inside : {1U, 3U}) {
        for (const std::size_t outside : {0U, 2U, 4U}) {
            fleet.cutHosts(inside, outside);
        }
    }
    fleet.runUntil(30s);
    EXPECT_NE(fleet.calls().firstOverlap(), "");
}

// Guards against properties that pass because nothing happens: the fallbacks and foreign leases are in fact used.
TEST(LeaseSafety, FallbacksAreExercised)
{
    std::size_t calls = 0;
    std::size_t isolatedGains = 0;
    std::size_t shareCalls = 0;
    std::size_t foreignCalls = 0;
    for (const auto &[hosts, zones] : {std::pair<std::size_t, std::size_t>{2, 2}, {5, 4}, {9, 3}}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            fleet_options options = withZoneCuts(fleetOf(hosts, zones));
            options.seed = seed;
            fake_fleet fleet(options);
            fleet.run();
            EXPECT_GT(fleet.calls().size(), 100U);
            calls += fleet.calls().size();
            isolatedGains += fleet.isolatedGains();
            shareCalls += fleet.shareCalls();
            foreignCalls += fleet.foreignCalls();
        }
    }
    EXPECT_GT(calls, 30000U);
    EXPECT_GT(isolatedGains, 50U);
    EXPECT_GT(shareCalls, 50U);
    EXPECT_GT(foreignCalls, 50U);
}
