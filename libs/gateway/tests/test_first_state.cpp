#include "fakes/simulated_zone.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace orioledrum;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Each of them reads the list once.
constexpr std::size_t readersPerZone = 2;

change_sync_settings settingsOf(milliseconds bound)
{
    change_sync_settings settings;
    settings.bound = bound;
    settings.contactTime = bound;
    settings.removalBound = bound;
    settings.asksReadersFirst = true;
    return settings;
}

/// @return The longest time from the start of a host to its first state; max() when a host has none.
milliseconds longestStart(const simulated_zone &zone)
{
    milliseconds longest(0);
    for (std::size_t host = 0; host < zone.hostCount(); ++host) {
        if (zone.readyAt(host) == time_point::max()) {
            return milliseconds::max();
        }
        longest = std::max(longest, std::chrono::ceil<milliseconds>(zone.readyAt(host) - zone.startedAt(host)));
    }
    return longest;
}

/// @return The same for a host that reads the list from the store at once.
milliseconds longestOwnRead(milliseconds bound, const simulated_zone::timing &times)
{
    auto settings = settingsOf(bound);
    settings.asksReadersFirst = false;
    simulated_zone zone(1, settings, times);
    zone.runUntil(zone.now() + seconds(10));
    return longestStart(zone);
}

const simulated_zone::timing fast{};
/// Hosts with little processor time, and a configuration of 1 MB.
const simulated_zone::timing slow{milliseconds(3), milliseconds(5), milliseconds(100), 6};

} // namespace

// Load pattern: 118 and 145 hosts start together, at once or over some seconds, and know one another after a time. Guards against a number
// of list reads that grows with the number of hosts of a zone (3.8 calls for each host and start), and against a start that takes
// longer by more than a small part of the bound.
TEST(FirstStateTest, theNumberOfListReadsDoesNotGrowWithTheHosts)
{
    for (const milliseconds bound : {milliseconds(3000), milliseconds(5000)}) {
        for (const auto *chosen : {&fast, &slow}) {
            const auto &times = *chosen;
            const auto own = longestOwnRead(bound, times);
            for (const milliseconds stagger : {milliseconds(0), milliseconds(20)}) {
                for (const milliseconds peersKnownAfter : {milliseconds(40), milliseconds(280)}) {
                    for (const std::size_t hosts : {2U, 10U, 20U, 30U, 49U, 118U, 145U}) {
                        if (hosts > 49 && &times == &slow) {
                            continue; // Zones of such hosts have 49 of them at most (145 hosts in 3 zones).
                        }
                        simulated_zone zone(hosts, settingsOf(bound), times, {stagger, peersKnownAfter});
                        zone.runUntil(zone.now() + stagger * hosts + bound);
                        const auto text = std::to_string(hosts) + " hosts, bound " + std::to_string(bound.count()) + " ms, "
                            + std::to_string(times.listPages) + " pages, stagger " + std::to_string(stagger.count()) + " ms, known after "
                            + std::to_string(peersKnownAfter.count()) + " ms";
                        // While hosts join one after the other, the first readers are replaced once before they have a state.
                        EXPECT_LE(zone.listsBegun(), stagger.count() == 0 ? readersPerZone : 2 * readersPerZone) << text;
                        EXPECT_LE(longestStart(zone), own + bound / 4) << text;
                    }
                }
            }
        }
    }
}

// Guards against the same when all processes of a zone end and start again, and when single ones do so in a zone that has been running.
TEST(FirstStateTest, hostsThatComeBackReadNoListsOfTheirOwn)
{
    const milliseconds bound(3000);
    for (const std::size_t hosts : {40U, 118U, 145U}) {
        simulated_zone zone(hosts, settingsOf(bound), fast, {milliseconds(7), milliseconds(150)});
        zone.runUntil(zone.now() + seconds(30));
        auto before = zone.listsBegun();
        for (std::size_t host = 0; host < hosts; ++host) {
            zone.restart(host);
        }
        zone.runUntil(zone.now() + bound);
        EXPECT_LE(zone.listsBegun() - before, readersPerZone);
        EXPECT_LE(longestStart(zone), longestOwnRead(bound, fast) + bound / 4);
        zone.runUntil(zone.now() + seconds(40));
        before = zone.listsBegun();
        const auto readers = zone.readers();
        for (std::size_t host = 0; host < hosts; ++host) {
            if (std::find(readers.begin(), readers.end(), host) == readers.end()) {
                zone.restart(host);
            }
        }
        const auto number = zone.publish();
        zone.runUntil(zone.now() + bound);
        EXPECT_LE(zone.listsBegun() - before, readersPerZone);
        EXPECT_LE(longestStart(zone), longestOwnRead(bound, fast) + bound / 4);
        for (std::size_t host = 0; host < hosts; ++host) {
            EXPECT_TRUE(zone.state(host).contains(number)) << host;
            EXPECT_EQ(zone.state(host), zone.storeState()) << host;
        }
    }
}

// Guards against a host that waits for readers that die, freeze, or cannot be reached while they answer, and against one without readers.
TEST(FirstStateTest, aHostIsReadyInTimeHoweverItsReadersFail)
{
    for (const milliseconds bound : {milliseconds(2500), milliseconds(3000), milliseconds(10000)}) {
        for (const auto *chosen : {&fast, &slow}) {
            const auto &times = *chosen;
            const auto own = longestOwnRead(bound, times);
            for (const auto fault : {host_fault::dead, host_fault::frozen, host_fault::hostsSilent, host_fault::storeSilent}) {
                for (const std::size_t failing : {1U, 2U}) {
                    for (const milliseconds failsAt : {milliseconds(0), milliseconds(1), milliseconds(5), bound / 10, bound / 8}) {
                        simulated_zone zone(6, settingsOf(bound), times);
                        zone.runUntil(zone.now() + seconds(60));
                        const auto readers = zone.readers();
                        const auto starting = readers.front() != 0 && readers.back() != 0 ? 0U
                            : readers.front() != 1 && readers.back() != 1                 ? 1U
                                                                                          : 2U;
                        zone.restart(starting);
                        for (std::size_t i = 0; i < failing; ++i) {
                            zone.at(zone.now() + failsAt, [&zone, fault, reader = readers[i]] { zone.fail(reader, fault, seconds(60)); });
                        }
                        zone.runUntil(zone.now() + 2 * bound);
                        ASSERT_NE(zone.readyAt(starting), time_point::max());
                        EXPECT_LE(std::chrono::ceil<milliseconds>(zone.readyAt(starting) - zone.startedAt(starting)), own + bound / 4)
                            << "bound " << bound.count() << " ms, fault " << static_cast<int>(fault) << " at " << failsAt.count()
                            << " ms at " << failing << " readers";
                        EXPECT_EQ(zone.state(starting), zone.storeState());
                    }
                }
            }
        }
    }
}

// Guards against a host that never gets a state because it knows no other host.
TEST(FirstStateTest, aHostThatKnowsNobodyReadsTheStore)
{
    const milliseconds bound(3000);
    simulated_zone zone(1, settingsOf(bound), fast, {milliseconds(0), milliseconds(0)});
    zone.runUntil(zone.now() + bound);
    EXPECT_LE(longestStart(zone), longestOwnRead(bound, fast) + bound / 8);
    EXPECT_EQ(zone.listsBegun(), 1U);
}

// Guards against a host that is the only one of its zone and waits for others of it, while its callers get no answer: after a start of all
// processes of a small fleet, 0.4 s of each caller's requests were refused.
TEST(FirstStateTest, aHostThatIsAloneInItsZoneWaitsOnlyForTheOtherZones)
{
    const milliseconds bound(3000);
    for (const auto *times : {&fast, &slow}) {
        simulated_zone zone(1, settingsOf(bound), *times, {milliseconds(0), milliseconds(40), true});
        zone.runUntil(zone.now() + bound);
        EXPECT_LE(longestStart(zone), longestOwnRead(bound, *times) + bound / 32);
        EXPECT_EQ(zone.listsBegun(), 1U);
    }
    // Hosts of the zone become known before it reads the list.
    simulated_zone zone(10, settingsOf(bound), fast, {milliseconds(0), milliseconds(280), true});
    zone.runUntil(zone.now() + bound);
    EXPECT_LE(zone.listsBegun(), readersPerZone);
}

// Guards against a first state of another era than the store has, when hosts start while it comes back with older state.
TEST(FirstStateTest, hostsThatStartDuringAReturnHaveTheStateOfTheNewEra)
{
    const milliseconds bound(3000);
    for (const milliseconds startsAt : {milliseconds(-100), milliseconds(0), milliseconds(50), milliseconds(400), milliseconds(25000)}) {
        simulated_zone zone(12, settingsOf(bound), fast, {milliseconds(7), milliseconds(60)});
        zone.setEra(1);
        for (int i = 0; i < 8; ++i) {
            zone.publish();
        }
        zone.runUntil(zone.now() + seconds(30));
        const auto begin = zone.now() + milliseconds(200);
        zone.at(begin, [&zone] {
            zone.goBack(4, true);
            zone.publish();
        });
        zone.at(begin + startsAt, [&zone] {
            for (std::size_t host = 0; host < zone.hostCount(); host += 2) {
                zone.restart(host);
            }
        });
        zone.runUntil(begin + startsAt + 2 * bound);
        for (std::size_t host = 0; host < zone.hostCount(); ++host) {
            EXPECT_EQ(zone.state(host), zone.storeState()) << "host " << host << ", started " << startsAt.count() << " ms after the return";
        }
    }
}
