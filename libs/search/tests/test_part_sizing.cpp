#include <search/part_sizing.h>
#include <search/relay_selector.h>

#include <gtest/gtest.h>

#include <set>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds minTimeLeft{25};

/// @return Time that the slower of the two kinds of hosts needs for its work on a search.
std::chrono::duration<double, std::milli> processorTime(std::size_t shards, const part_sizing &sizing, const free_capacity &capacity)
{
    const auto parts = (shards + sizing.shardsPerPart - 1) / sizing.shardsPerPart;
    const auto gathering = sizing.strongHostsOnly ? capacity.strongest : capacity.typical;
    const auto ownTime = part_sizing::partCost * parts * 1000 / capacity.own;
    const auto gatheringTime = part_sizing::shardCost * sizing.shardsPerPart * 1000 / gathering;
    return ownTime + gatheringTime;
}

} // namespace

// Load pattern: hosts with a third of a processor, targets of 60 and 120 ms. Guards against a change for fleets whose hosts have time for
// the usual parts.
TEST(PartSizingTest, hostsWithEnoughTimeGatherTheUsualParts)
{
    const free_capacity capacity{310, 310, 500};
    for (const std::size_t shards : {20U, 90U, 135U}) {
        for (const milliseconds left : {milliseconds(44), milliseconds(104)}) {
            const auto sizing = part_sizing::of(shards, left, minTimeLeft, capacity);
            EXPECT_EQ(sizing.shardsPerPart, part_sizing::usualShardsPerPart);
            EXPECT_FALSE(sizing.strongHostsOnly);
            EXPECT_TRUE(sizing.delegates);
        }
    }
}

// Load pattern: a deployment that does not tell its capacities, or a fleet in which no host has sent one yet. Guards against a guess.
TEST(PartSizingTest, unknownCapacitiesChangeNothing)
{
    const auto sizing = part_sizing::of(90, milliseconds(24), minTimeLeft, {});
    EXPECT_FALSE(sizing.delegates);
    EXPECT_TRUE(part_sizing::of(90, milliseconds(25), minTimeLeft, {0, 84, 500}).delegates);
    EXPECT_EQ(part_sizing::of(90, milliseconds(25), minTimeLeft, {84, 0, 0}).shardsPerPart, part_sizing::usualShardsPerPart);
}

// Load pattern: urgent searches over 90 to 460 shards at hosts of 0.084 of a processor beside some of 0.5, with 24 ms until the target.
// Guards against a host that gathers alone, which takes 140 ms, and against parts that their hosts cannot gather in time.
TEST(PartSizingTest, tinyHostsLeaveTheWorkToStrongOnes)
{
    const free_capacity capacity{84, 84, 500};
    for (const std::size_t shards : {90U, 135U, 460U}) {
        const auto sizing = part_sizing::of(shards, milliseconds(24), minTimeLeft, capacity);
        EXPECT_TRUE(sizing.delegates) << shards;
        EXPECT_TRUE(sizing.strongHostsOnly) << shards;
        const auto alone = std::chrono::duration<double, std::milli>(part_sizing::shardCost * shards * 1000 / capacity.own);
        EXPECT_LT(processorTime(shards, sizing, capacity) * 4, alone) << shards;
    }
    EXPECT_LT(processorTime(90, part_sizing::of(90, milliseconds(24), minTimeLeft, capacity), capacity), milliseconds(20));
}

// Load pattern: only tiny hosts. Guards against parts of the usual size, which such a host gathers in 25 ms of processor time.
TEST(PartSizingTest, tinyHostsAloneDivideInMoreOrFewerPartsByTheirTime)
{
    const free_capacity capacity{84, 84, 84};
    for (const std::size_t shards : {90U, 460U}) {
        const auto sizing = part_sizing::of(shards, milliseconds(104), minTimeLeft, capacity);
        EXPECT_FALSE(sizing.strongHostsOnly);
        EXPECT_TRUE(sizing.delegates);
        const auto time = processorTime(shards, sizing, capacity);
        for (std::size_t other = 1; other <= shards; ++other) {
            auto otherSizing = sizing;
            otherSizing.shardsPerPart = other;
            EXPECT_LT(time.count(), processorTime(shards, otherSizing, capacity).count() * 1.1) << shards << " shards, parts of " << other;
        }
    }
}

// Load pattern: a strong host takes an urgent search itself. Guards against parts for hosts that are slower than it.
TEST(PartSizingTest, aStrongHostDividesOnlyWhereItGains)
{
    EXPECT_FALSE(part_sizing::of(8, milliseconds(10), minTimeLeft, {500, 84, 84}).delegates);
    EXPECT_TRUE(part_sizing::of(135, milliseconds(24), minTimeLeft, {500, 84, 500}).delegates);
}

// Load pattern: two strong hosts and 46 weak ones in a zone. Guards against a weak host that gathers while a strong one is available, and
// against a zone that nobody gathers for when the strong ones are lost or busy.
TEST(RelaySelectorTest, strongHostsGatherWhileTheyCan)
{
    const zone_id zone("z");
    std::vector<relay_host> hosts;
    for (int i = 0; i < 48; ++i) {
        hosts.push_back({"10.0.0." + std::to_string(i) + ":1", zone, {i < 2 ? 500U : 84U, 0}});
    }
    relay_selector selector("10.0.0.9:1", random_source(1));
    selector.setHosts(hosts);
    EXPECT_EQ(selector.freeCapacity({zone}).strongest, 500U);
    EXPECT_EQ(selector.freeCapacity({zone}).typical, 84U);
    EXPECT_EQ(selector.freeCapacity({zone}).own, 84U);
    const std::vector<std::string> parts{"a", "b", "c"};
    const time_point now{std::chrono::hours(1)};
    const std::set<std::string> strong{hosts[0].address, hosts[1].address};
    std::set<std::string> chosen;
    for (std::size_t i = 0; i < 60; ++i) {
        chosen.insert(selector.choose({zone}, parts, i % parts.size(), now, {}, true)->address);
    }
    EXPECT_EQ(chosen, strong);
    selector.failed(hosts[0].address, now);
    EXPECT_EQ(selector.choose({zone}, parts, 0, now, {}, true)->address, hosts[1].address);
    selector.failed(hosts[1].address, now);
    const auto replacement = selector.choose({zone}, parts, 0, now, {}, true);
    ASSERT_TRUE(replacement);
    EXPECT_FALSE(strong.contains(replacement->address));
    hosts[0].capacity.usedPercent = 100;
    hosts[1].capacity.usedPercent = 75;
    selector.setHosts(hosts);
    EXPECT_EQ(selector.freeCapacity({zone}).strongest, 125U) << "the free part decides";
}
