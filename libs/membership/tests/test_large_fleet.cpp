#include "tests/fakes/fake_gossip.h"

#include <gtest/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

// Load pattern: all 118 hosts of a fleet start at the same moment, and again after a power loss under traffic. Guards against hosts that
// share limits by a wrong number of hosts, and choose gathering hosts among a few, for many seconds.
// 3 s is one second before host_counter::maxSettleTime, from which hosts trust their view in any case.
TEST(Membership, LargeFleetKnowsItselfSoonAfterACommonStart)
{
    constexpr std::size_t hosts = 118;
    for (const std::uint64_t seed : {1, 2, 3}) {
        fake_gossip fleet(hosts, 6, seed, 2, 20ms);
        fleet.run(3s);
        for (std::size_t viewer = 0; viewer < hosts; ++viewer) {
            EXPECT_EQ(fleet.membershipOf(viewer)->view()->members.size(), hosts) << "seed " << seed << ", host " << viewer;
        }
    }
}

// Guards against heartbeats whose size grows with the fleet: a settled host sends short digests at the ordinary period.
TEST(Membership, SettledFleetSendsShortDigests)
{
    constexpr std::size_t hosts = 118;
    fake_gossip fleet(hosts, 6, 7, 2, 20ms);
    fleet.run(10s);
    const auto before = fleet.digestsSent();
    fleet.run(10s);
    const membership_settings settings;
    EXPECT_LE(fleet.digestsSent() - before, hosts * 11 * (settings.zonePeers + settings.otherZonePeers));
    membership_actions actions;
    const auto answer = fleet.membershipOf(5)->receiveDigest({}, fleet.now(), actions);
    EXPECT_LE(answer.members.size(), settings.maxDigestEntries);
}

// Guards against two sides of a healed partition that never find each other, because hosts that are down are not contacted: each side then
// divides the limits of backend servers by its own hosts only. Hosts that were lost for more than two minutes have been removed.
TEST(Membership, SidesOfAHealedPartitionFindEachOther)
{
    for (const std::size_t hosts : {4, 12, 118}) {
        for (const auto duration : {30s, 200s}) {
            fake_gossip fleet(hosts, 3, 5, 2, 20ms);
            fleet.run(5s);
            fleet.setPartitioned(true);
            fleet.run(duration);
            ASSERT_FALSE(fleet.entryOf(0, 1) != nullptr && fleet.entryOf(0, 1)->state == host_state::live);
            fleet.setPartitioned(false);
            fleet.run(60s); // Half of the time after which a lost host is removed.
            for (std::size_t viewer = 0; viewer < hosts; ++viewer) {
                for (std::size_t host = 0; host < hosts; ++host) {
                    const auto *entry = fleet.entryOf(viewer, host);
                    ASSERT_NE(entry, nullptr) << hosts << " hosts, " << duration.count() << " s, " << viewer << " of " << host;
                    EXPECT_NE(entry->state, host_state::down)
                        << hosts << " hosts, " << duration.count() << " s, " << viewer << " of " << host;
                }
            }
        }
    }
}

// Guards against contacts with lost hosts that grow with the fleet.
TEST(Membership, LostHostsAreContactedAboutOnceInAPeriodByTheWholeFleet)
{
    constexpr std::size_t hosts = 118;
    fake_gossip fleet(hosts, 6, 7, 2, 20ms);
    fleet.run(5s);
    for (std::size_t host = 1; host <= 10; ++host) {
        fleet.kill(host);
    }
    fleet.run(20s); // They are down now.
    const auto before = fleet.digestsSent();
    fleet.run(20s);
    const membership_settings settings;
    const auto ordinary = (hosts - 10) * 20 * (settings.zonePeers + settings.otherZonePeers);
    EXPECT_LE(fleet.digestsSent() - before, ordinary + ordinary / 20);
}
