#include <host_capacities.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using std::chrono::seconds;

namespace
{

digest
makeDigest(const std::string &sender, std::uint64_t heartbeat, const std::vector<std::pair<std::string, std::uint64_t>> &members = {})
{
    digest message;
    message.sender.host = entry_host_id(sender);
    message.sender.heartbeat = heartbeat;
    for (const auto &[name, memberHeartbeat] : members) {
        auto &member = message.members.emplace_back();
        member.host = entry_host_id(name);
        member.heartbeat = memberHeartbeat;
    }
    return message;
}

const time_point start{std::chrono::hours(1)};

} // namespace

// Guards against capacities that do not spread beyond the hosts that exchange digests, and against old ones that replace newer ones.
TEST(HostCapacitiesTest, spreadWithDigestsAndNeverGoBack)
{
    host_capacities a(entry_host_id("a"), 84);
    host_capacities b(entry_host_id("b"), 500);
    host_capacities c(entry_host_id("c"), std::nullopt);
    b.merge(a.addTo(makeDigest("a", 7)));
    c.merge(b.addTo(makeDigest("b", 3, {{"a", 7}, {"c", 1}})));
    EXPECT_EQ(c.of(entry_host_id("a")).millicores, 84U);
    EXPECT_EQ(c.of(entry_host_id("b")).millicores, 500U);
    EXPECT_EQ(c.of(entry_host_id("c")).millicores, 0U);
    EXPECT_TRUE(c.takeChanged());
    EXPECT_FALSE(c.takeChanged());
    c.merge({makeDigest("a", 6), {200, 0}, {}});
    EXPECT_EQ(c.of(entry_host_id("a")).millicores, 84U);
    c.merge({makeDigest("a", 8), {200, 0}, {}});
    EXPECT_EQ(c.of(entry_host_id("a")).millicores, 200U);
    c.merge({makeDigest("a", 9), {}, {}});
    EXPECT_EQ(c.of(entry_host_id("a")).millicores, 200U) << "a message without the capacity does not erase it";
    c.merge({makeDigest("x", 9, {{"y", 1}, {"z", 1}}), {}, {{5, 5}}});
    EXPECT_EQ(c.of(entry_host_id("y")).millicores, 5U);
    EXPECT_EQ(c.of(entry_host_id("z")).millicores, 0U);
}

// Guards against a fleet of two versions in which the hosts of one do not hear the heartbeats of the other.
TEST(HostCapacitiesTest, hostsOfAnEarlierVersionGetDigestsAlone)
{
    host_capacities capacities(entry_host_id("a"), 84);
    EXPECT_TRUE(capacities.understands("10.0.0.1:1", start));
    capacities.refused("10.0.0.1:1", start);
    EXPECT_FALSE(capacities.understands("10.0.0.1:1", start + seconds(59)));
    EXPECT_TRUE(capacities.understands("10.0.0.2:1", start));
    EXPECT_TRUE(capacities.understands("10.0.0.1:1", start + host_capacities::refusalMemory));
}

// Guards against a use that is measured over single bursts, and one beyond the capacity.
TEST(ProcessorMeterTest, measuresTheShareOfTheCapacity)
{
    processor_meter meter(500);
    meter.sample(seconds(10), start);
    EXPECT_EQ(meter.usedPercent(), 0U);
    meter.sample(std::chrono::milliseconds(10'400), start + std::chrono::milliseconds(500));
    EXPECT_EQ(meter.usedPercent(), 0U);
    meter.sample(std::chrono::milliseconds(10'250), start + seconds(1));
    EXPECT_EQ(meter.usedPercent(), 50U);
    meter.sample(seconds(20), start + seconds(2));
    EXPECT_EQ(meter.usedPercent(), 100U);
}
