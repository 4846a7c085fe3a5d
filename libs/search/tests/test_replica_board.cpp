#include <search/relay_selector.h>
#include <search/replica_board.h>

#include <gtest/gtest.h>

#include <map>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

const service_id service("s");
constexpr std::chrono::microseconds usual(10'000);

replica_entry makeEntry(const std::string &id, const std::string &zone)
{
    replica_entry entry;
    entry.id = backend_id(id);
    entry.service = service;
    entry.zone = zone_id(zone);
    entry.address = "127.0.0.1:" + std::to_string(id.front());
    entry.slots = 2;
    return entry;
}

class board_fixture : public testing::Test
{
protected:
    board_fixture()
        : m_board({zone_id("near"), {0.2, 20}, 1.5, 5}, random_source(3))
    {
        m_board.put(makeEntry("a", "near"), m_now);
        m_board.put(makeEntry("b", "far"), m_now);
    }

    std::string choose()
    {
        replica_board::selection_criteria wanted;
        wanted.service = &service;
        wanted.usual = usual;
        const auto server = m_board.choose(wanted, m_now);
        return server ? server->entry().id.str() : "";
    }

    replica_board::replica_ptr find(const std::string &id)
    {
        for (const auto &server : m_board.replicas(service)) {
            if (server->entry().id.str() == id) {
                return server;
            }
        }
        return nullptr;
    }

    replica_board m_board;
    time_point m_now = time_point(std::chrono::hours(1));
};

using ReplicaBoardTest = board_fixture;

} // namespace

TEST_F(ReplicaBoardTest, prefersTheOwnZoneUntilItsQueueCostsMore)
{
    EXPECT_EQ(choose(), "a");
    find("a")->reported({2, 4, 2}, m_now);
    EXPECT_EQ(choose(), "b");
}

// Guards against new work for a backend server that leaves, or whose zone is taken out.
TEST_F(ReplicaBoardTest, sendsNothingToLeavingOrExcludedBackendServers)
{
    auto leaving = makeEntry("a", "near");
    leaving.draining = true;
    m_board.put(leaving, m_now);
    EXPECT_EQ(choose(), "b");
    m_board.setExcludedZones({zone_id("far")}, m_now);
    EXPECT_EQ(choose(), "a"); // None other: still served for a short time.
    m_now += replica::drainGracePeriod;
    EXPECT_EQ(choose(), "");
}

// Guards against the loss of backend servers whose entries lapsed while the platform was away.
TEST_F(ReplicaBoardTest, holdsRemovalsAfterAnOutage)
{
    m_board.holdRemovals(m_now + milliseconds(2000));
    m_board.replaceAll({makeEntry("b", "far")}, m_now);
    EXPECT_EQ(choose(), "a");
    m_now += milliseconds(1000);
    m_board.put(makeEntry("a", "near"), m_now); // It is back.
    m_now += milliseconds(1500);
    m_board.applyRemovals(m_now);
    EXPECT_EQ(choose(), "a");
}

TEST_F(ReplicaBoardTest, removesWhatStaysAwayAfterAnOutage)
{
    m_board.holdRemovals(m_now + milliseconds(2000));
    m_board.remove(backend_id("a"), m_now);
    EXPECT_EQ(m_board.applyRemovals(m_now), m_now + milliseconds(2000));
    m_now += milliseconds(2000);
    EXPECT_EQ(m_board.applyRemovals(m_now), time_point::max());
    EXPECT_EQ(choose(), "b");
}

// Guards against requests that are used to find out whether a lost backend server is back.
TEST_F(ReplicaBoardTest, unreachableOnesWaitForAProbe)
{
    const auto lost = find("a");
    lost->sent(1, usual, m_now);
    lost->ended(1, attempt_end::unreachable, usual, usual, m_now);
    m_now += std::chrono::seconds(10);
    EXPECT_EQ(choose(), "b");
    ASSERT_EQ(m_board.takeProbes(m_now).size(), 1U);
    EXPECT_TRUE(m_board.takeProbes(m_now).empty()); // One probe at a time.
    lost->probed(false, m_now);
    EXPECT_TRUE(m_board.takeProbes(m_now).empty()); // Not before the pause has passed.
    m_now += replica::maxBackoff;
    ASSERT_EQ(m_board.takeProbes(m_now).size(), 1U);
    lost->probed(true, m_now);
    EXPECT_EQ(choose(), "a");
}

// A cut without resets: calls hang. The backend server counts as stalled long before their deadline.
TEST_F(ReplicaBoardTest, stalledOnesAreNotReachable)
{
    for (const char *id : {"a", "b"}) {
        find(id)->sent(1, usual, m_now);
    }
    EXPECT_TRUE(m_board.reachable(service, m_now));
    m_now += replica::stallTimeout + milliseconds(1);
    EXPECT_FALSE(m_board.reachable(service, m_now));
    EXPECT_EQ(m_board.takeProbes(m_now).size(), 2U);
    find("a")->probed(true, m_now);
    EXPECT_TRUE(m_board.reachable(service, m_now));
}

TEST_F(ReplicaBoardTest, avoidsOnesThatFail)
{
    const auto bad = find("a");
    for (std::uint64_t i = 0; i < 6; ++i) {
        bad->sent(i, usual, m_now);
        bad->ended(i, attempt_end::shed, milliseconds(1), usual, m_now);
    }
    EXPECT_EQ(choose(), "b");
    m_now += std::chrono::seconds(15); // What is known fades, so that it is tried again.
    EXPECT_EQ(choose(), "a");
}

TEST_F(ReplicaBoardTest, aSlowOneIsRecognisedAndARestartForgetsIt)
{
    const auto slow = find("a");
    for (std::uint64_t i = 0; i < 12; ++i) {
        slow->sent(i, usual, m_now);
        slow->ended(i, attempt_end::served, usual * 8, usual, m_now);
    }
    EXPECT_GT(slow->slowness(m_now), 4);
    auto restarted = makeEntry("a", "near");
    restarted.startedAt = milliseconds(5);
    m_board.put(restarted, m_now);
    EXPECT_DOUBLE_EQ(slow->slowness(m_now), 1);
}

// Guards against more connections to a backend server than this host's part of them.
TEST_F(ReplicaBoardTest, keepsToItsPartOfTheConnections)
{
    route_service limits;
    limits.id = service;
    limits.maxConnections = 12;
    m_board.setTable(*route_table::create(1, {}, {limits}, {}));
    m_board.setHosts(3);
    for (const char *id : {"a", "b"}) {
        for (std::uint64_t call = 0; call < 4; ++call) {
            EXPECT_FALSE(choose().empty());
            find(id)->sent(call, usual, m_now);
        }
    }
    EXPECT_EQ(choose(), "");
}

// Guards against a burst of calls to a cold backend server.
TEST_F(ReplicaBoardTest, coldOnesGetTheirShareOnly)
{
    route_service limits;
    limits.id = service;
    limits.coldRequestsPerSecond = 10;
    m_board.setTable(*route_table::create(1, {}, {limits}, {}));
    m_board.setHosts(4); // (10 * 1.5 + 5) / 4 = 5 calls each.
    m_board.remove(backend_id("b"), m_now);
    find("a")->setCold(milliseconds(3000), m_now);
    int sent = 0;
    while (!choose().empty()) {
        ++sent;
    }
    EXPECT_EQ(sent, 5);
}

// A zone that was taken out comes back: its backend servers may be cold although no entry says so.
TEST_F(ReplicaBoardTest, zonesThatComeBackCountAsCold)
{
    route_service limits;
    limits.id = service;
    limits.coldRequestsPerSecond = 10;
    limits.warmUp = milliseconds(3000);
    m_board.setTable(*route_table::create(1, {}, {limits}, {}));
    m_board.setExcludedZones({zone_id("near")}, m_now);
    m_board.setExcludedZones({}, m_now);
    EXPECT_TRUE(find("a")->cold(m_now));
    EXPECT_FALSE(find("b")->cold(m_now));
}

// Guards against more backend servers for one request than it may reach when two hosts choose.
TEST(ReplicaPreferenceTest, hostsChooseTheSameBackendServers)
{
    std::map<std::uint64_t, std::set<std::string>> tried;
    const auto now = time_point(std::chrono::hours(1));
    for (const char *zone : {"z1", "z2", "z3"}) {
        replica_board board({zone_id(zone), {0.2, 20}, 1.5, 5}, random_source(zone[1]));
        for (const char *id : {"a1", "b2", "c3"}) {
            board.put(makeEntry(id, std::string("z") + id[1]), now);
        }
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            const auto allowed = board.preferredReplicas(service, {zone_id("z2"), seed}, 2);
            replica_board::selection_criteria wanted;
            wanted.service = &service;
            wanted.usual = usual;
            wanted.allowed = &allowed;
            for (int i = 0; i < 4; ++i) {
                tried[seed].insert(board.choose(wanted, now)->entry().id.str());
            }
        }
    }
    for (const auto &[seed, servers] : tried) {
        EXPECT_LE(servers.size(), 2U);
        EXPECT_TRUE(servers.contains("b2"));
    }
}

// Guards against searches that are given to a host which does not answer.
TEST(RelaySelectorTest, leavesOutHostsThatFailed)
{
    const auto now = time_point(std::chrono::hours(1));
    relay_selector selector(random_source(1));
    selector.setHosts({{"h1", zone_id("a")}, {"h2", zone_id("b")}});
    selector.failed("h1", now);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(selector.choose({zone_id("a"), zone_id("b")}, now)->address, "h2");
    }
    EXPECT_FALSE(selector.choose({zone_id("a")}, now));
    EXPECT_TRUE(selector.choose({zone_id("a")}, now + relay_selector::initialBackoff));
    EXPECT_FALSE(selector.choose({zone_id("c")}, now));
}

TEST(RelaySelectorTest, zonesGetEqualShares)
{
    const auto now = time_point(std::chrono::hours(1));
    relay_selector selector(random_source(1));
    selector.setHosts({{"h1", zone_id("a")}, {"h2", zone_id("a")}, {"h3", zone_id("a")}, {"h4", zone_id("b")}});
    int inB = 0;
    for (int i = 0; i < 1000; ++i) {
        inB += selector.choose({zone_id("a"), zone_id("b")}, now)->zone == zone_id("b") ? 1 : 0;
    }
    EXPECT_NEAR(inB, 500, 80);
}
