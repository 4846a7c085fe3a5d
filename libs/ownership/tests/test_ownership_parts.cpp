#include <base/rendezvous.h>
#include <ownership/backend_group.h>
#include <ownership/host_list_tracker.h>
#include <ownership/lease_table.h>
#include <ownership/lease_voter.h>
#include <ownership/voter_set.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <thread>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const time_point start{1000s};

host_list_view hostListOf(revision_number revision, std::size_t hosts, std::size_t zones)
{
    host_list list;
    list.revision = revision;
    for (std::size_t host = 0; host < hosts; ++host) {
        list.hosts.push_back({"h" + std::to_string(host), host_kind::entryHost, zone_id("z" + std::to_string(host % zones)), "", false});
    }
    list.hosts.push_back({"b0", host_kind::backendServer, zone_id("z0"), "", false});
    return makeHostListView(list);
}

lease_request requestFrom(const std::string &holder, std::uint64_t sequence)
{
    lease_request request;
    request.group = group_id("orders/z0/0");
    request.holder = entry_host_id(holder);
    request.incarnation = incarnation_id(holder + "#1");
    request.hostListRevision = 1;
    request.sequence = sequence;
    return request;
}

lease_release releaseOf(const lease_request &request)
{
    return {request.group, request.holder, request.incarnation, request.sequence};
}

voter_conditions conditions()
{
    voter_conditions result;
    result.hostListRevision = 1;
    return result;
}

} // namespace

// Guards against weights that differ between processes, versions or machines. All hosts must compute the same weights.
TEST(Rendezvous, WeightsAreFixed)
{
    EXPECT_EQ(rendezvousWeight("orders/z0/0", "h0"), 0x5F18D4D2347F54FEU);
    EXPECT_EQ(rendezvousWeight("", ""), 0xA258D6EC1FB5D95CU);
}

// Guards against leases that move needlessly because the removal of a host changes the order of the remaining hosts.
RC_GTEST_PROP(Rendezvous, RemovalKeepsTheOrder, (const std::string &key))
{
    std::vector<entry_host_id> hosts;
    hosts.reserve(9);
    for (int host = 0; host < 9; ++host) {
        hosts.emplace_back("h" + std::to_string(host));
    }
    std::vector<entry_host_id> ranked = rankHosts(key, hosts);
    const std::size_t removed = *rc::gen::inRange<std::size_t>(0, 9);
    std::erase(hosts, ranked[removed]);
    ranked.erase(ranked.begin() + static_cast<std::ptrdiff_t>(removed));
    RC_ASSERT(rankHosts(key, hosts) == ranked);
}

// Guards against backend servers in no group or in two groups, and against a group more than one smaller than the first.
RC_GTEST_PROP(Groups, EveryBackendIsInOneGroup, ())
{
    const std::size_t count = *rc::gen::inRange<std::size_t>(0, 60);
    std::vector<backend_id> backends;
    backends.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        backends.emplace_back("b" + std::to_string(index));
    }
    const std::vector<backend_group> groups = partitionIntoGroups(service_id("parts"), zone_id("z1"), backends);
    std::vector<backend_id> all;
    for (const backend_group &group : groups) {
        RC_ASSERT(group.members.size() <= maxGroupSize);
        RC_ASSERT(group.members.size() + 1 >= groups.front().members.size());
        RC_ASSERT(zoneOfGroup(group.id) == zone_id("z1"));
        all.insert(all.end(), group.members.begin(), group.members.end());
    }
    std::sort(backends.begin(), backends.end());
    RC_ASSERT(all == backends);
    RC_ASSERT(groups.size() == (count + maxGroupSize - 1) / maxGroupSize);
}

// Guards against a backend server that moves to another group without being listed, so that two holders would use it.
TEST(Groups, RegroupedBackendsAreListed)
{
    std::vector<backend_id> backends;
    for (const char *name : {"b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7"}) {
        backends.emplace_back(name);
    }
    const auto before = partitionIntoGroups(service_id("parts"), zone_id("z"), backends);
    backends.emplace_back("b8");
    const auto after = partitionIntoGroups(service_id("parts"), zone_id("z"), backends);
    EXPECT_EQ(regroupedBackends(before, after),
              (std::vector<backend_id>{backend_id("b4"), backend_id("b5"), backend_id("b6"), backend_id("b7")}));
    EXPECT_TRUE(regroupedBackends(before, before).empty());
}

// Guards against quorums, normal or isolated, that are so small that two hosts could get one at the same time.
TEST(VoterSet, QuorumSizes)
{
    for (const auto &[hosts, quorum] :
         std::vector<std::pair<std::size_t, std::size_t>>{{1, 1}, {2, 2}, {3, 2}, {4, 3}, {5, 3}, {6, 4}, {7, 4}, {8, 5}, {390, 5}}) {
        const voter_set voters = votersOf(hostListOf(1, hosts, 1), group_id("parts/z0/0"));
        EXPECT_EQ(voters.quorum, quorum) << hosts;
        EXPECT_EQ(voters.voters.size(), std::min<std::size_t>(hosts, 7));
        EXPECT_EQ(voters.isolatedQuorum(), 0U);
    }
    const voter_set twoZones = votersOf(hostListOf(1, 5, 2), group_id("parts/z1/0"));
    EXPECT_EQ(twoZones.zoneVoters, 2U);
    EXPECT_EQ(twoZones.isolatedQuorum(), 2U);
    EXPECT_EQ(votersOf(hostListOf(1, 5, 2), group_id("parts/z0/0")).isolatedQuorum(), 0U);
    EXPECT_EQ(votersOf(host_list_view(), group_id("parts/z0/0")).quorum, 0U);
}

// Guards against a wait before leases are granted again after a single host was added or removed.
RC_GTEST_PROP(VoterSet, OneChangedHostNeedsNoWait, ())
{
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(1, 30);
    const std::size_t zones = *rc::gen::inRange<std::size_t>(1, 5);
    const group_id group("parts/z0/" + std::to_string(*rc::gen::inRange(0, 50)));
    RC_ASSERT(quorumsIntersect(votersOf(hostListOf(1, hosts, zones), group), votersOf(hostListOf(2, hosts + 1, zones), group)));
    RC_ASSERT(quorumsIntersect(votersOf(hostListOf(1, hosts + 1, zones), group), votersOf(hostListOf(2, hosts, zones), group)));
}

// Guards against leases that are granted too early after a host list change that leaves two quorums without a common voter, and
// against the adoption of a revision that is not newer.
TEST(HostListTracker, GrantsWaitAfterLargerChange)
{
    host_list_tracker tracker{lease_timing()};
    const group_id group("parts/z0/0");
    ASSERT_TRUE(tracker.adopt(hostListOf(1, 3, 1), start));
    EXPECT_FALSE(tracker.adopt(hostListOf(1, 5, 1), start));
    ASSERT_TRUE(tracker.adopt(hostListOf(2, 7, 1), start));
    const voter_set voters = votersOf(tracker.current(), group);
    EXPECT_EQ(tracker.earliestGrant(group, voters, start), start + 6s);
    EXPECT_TRUE(tracker.inTransition(start + 5999ms));
    EXPECT_FALSE(tracker.inTransition(start + 6s));
}

// Guards against a grant during the initial delay, against a grant to a second host or to another incarnation of the holder while
// the first grant is active, and against a release that ends a newer grant.
TEST(LeaseVoter, GrantsToOneHolderUntilExpiryOrRelease)
{
    lease_voter voter(entry_host_id("v"), lease_timing(), start);
    EXPECT_FALSE(voter.answer(requestFrom("a", 1), conditions(), start + 2999ms).granted);
    const time_point granted = start + 3s;
    EXPECT_TRUE(voter.answer(requestFrom("a", 2), conditions(), granted).granted);
    const lease_answer refused = voter.answer(requestFrom("b", 1), conditions(), granted + 1s);
    EXPECT_FALSE(refused.granted);
    EXPECT_EQ(refused.holder, entry_host_id("a"));
    lease_request restarted = requestFrom("a", 1);
    restarted.incarnation = incarnation_id("a#2");
    EXPECT_FALSE(voter.answer(restarted, conditions(), granted + 1s).granted);
    EXPECT_FALSE(voter.release(releaseOf(requestFrom("a", 1)), granted + 1s));
    EXPECT_TRUE(voter.release(releaseOf(requestFrom("a", 2)), granted + 1s));
    EXPECT_FALSE(voter.answer(requestFrom("a", 2), conditions(), granted + 1s).granted);
    EXPECT_TRUE(voter.stoppedRequesting(requestFrom("a", 1).group, entry_host_id("a"), granted + 1s));
    EXPECT_TRUE(voter.answer(requestFrom("b", 2), conditions(), granted + 1s).granted);
    EXPECT_FALSE(voter.answer(requestFrom("a", 3), conditions(), granted + 3999ms).granted);
    EXPECT_FALSE(voter.stoppedRequesting(requestFrom("a", 1).group, entry_host_id("a"), granted + 3999ms));
    EXPECT_TRUE(voter.answer(requestFrom("a", 4), conditions(), granted + 4s).granted);
}

// Guards against grants while fixed shares are in use, under an old host list, before the earliest grant time, and for the isolated
// mode of a zone that is not cut off.
TEST(LeaseVoter, RefusesWhileConditionsForbidIt)
{
    lease_voter voter(entry_host_id("v"), lease_timing(), start);
    const time_point now = start + 10s;
    voter_conditions sharesInUse = conditions();
    sharesInUse.grantsAllowed = false;
    EXPECT_FALSE(voter.answer(requestFrom("a", 1), sharesInUse, now).granted);
    voter_conditions newer = conditions();
    newer.hostListRevision = 2;
    const lease_answer older = voter.answer(requestFrom("a", 1), newer, now);
    EXPECT_FALSE(older.granted);
    EXPECT_EQ(older.hostListRevision, 2U);
    voter_conditions beforeEarliestGrant = conditions();
    beforeEarliestGrant.earliestGrant = now + 1ms;
    EXPECT_FALSE(voter.answer(requestFrom("a", 1), beforeEarliestGrant, now).granted);
    lease_request isolated = requestFrom("a", 1);
    isolated.isolated = true;
    EXPECT_FALSE(voter.answer(isolated, conditions(), now).granted);
    EXPECT_TRUE(voter.answer(requestFrom("a", 1), conditions(), now).granted);
}

// Guards against a request that arrives after the release sent later, and then blocks the group.
TEST(LeaseVoter, RequestThatArrivesAfterItsRelease)
{
    lease_voter voter(entry_host_id("v"), lease_timing(), start);
    const time_point now = start + 10s;
    EXPECT_FALSE(voter.release(releaseOf(requestFrom("a", 7)), now));
    EXPECT_FALSE(voter.answer(requestFrom("a", 7), conditions(), now).granted);
    EXPECT_TRUE(voter.answer(requestFrom("b", 1), conditions(), now).granted);
}

// Guards against calls that end after the lease, against unbounded calls, and against calls to groups of another zone before the
// wait for the end of an isolated lease there is over.
TEST(LeaseTable, CallMustEndWithinTheLease)
{
    const group_id localZoneGroup("orders/z0/0");
    const group_id otherZoneGroup("orders/z1/0");
    const auto localZoneLease = std::make_shared<lease_state>(false);
    const auto otherZoneLease = std::make_shared<lease_state>(true);
    const lease_table table(
        {{localZoneGroup, localZoneLease}, {otherZoneGroup, otherZoneLease}}, std::make_shared<share_state>(), lease_timing());
    EXPECT_FALSE(table.maySend(localZoneGroup, start + 1ms, start));
    localZoneLease->extend(start + 2s);
    EXPECT_TRUE(table.maySend(localZoneGroup, start + 1750ms, start));
    EXPECT_FALSE(table.maySend(localZoneGroup, start + 1751ms, start));
    EXPECT_FALSE(table.maySend(localZoneGroup, start, start));
    EXPECT_FALSE(table.maySend(group_id("unknown/z0/0"), start + 1ms, start));
    localZoneLease->extend(start + 10s);
    EXPECT_EQ(table.latestCallEnd(localZoneGroup, start), start + 2s);
    otherZoneLease->extend(start + 10s);
    otherZoneLease->setIsolationWaitStart(start);
    EXPECT_FALSE(table.maySend(otherZoneGroup, start + 5s, start + 4s, std::nullopt));
    EXPECT_FALSE(table.maySend(otherZoneGroup, start + 5s, start + 4s, start + 1s));
    EXPECT_TRUE(table.maySend(otherZoneGroup, start + 5s, start + 4s, start + 750ms));
    otherZoneLease->setZoneVotesUntil(start + 5250ms);
    EXPECT_TRUE(table.maySend(otherZoneGroup, start + 5s, start + 4s, std::nullopt));
    table.revokeAll();
    EXPECT_FALSE(table.maySend(localZoneGroup, start + 1ms, start));
    EXPECT_FALSE(table.maySend(otherZoneGroup, start + 5s, start + 4s, start));
}

// Guards against request threads that do not see a revocation, and, under the thread sanitizer, against data races with it.
TEST(LeaseTable, RevocationReachesOtherThreads)
{
    const group_id localZoneGroup("orders/z0/0");
    const auto leaseState = std::make_shared<lease_state>(false);
    const lease_table table({{localZoneGroup, leaseState}}, std::make_shared<share_state>(), lease_timing());
    leaseState->extend(start + 10s);
    std::atomic<int> readyThreads{0};
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int thread = 0; thread < 3; ++thread) {
        threads.emplace_back([&] {
            while (!table.maySend(localZoneGroup, start + 1ms, start)) {
            }
            ++readyThreads;
            while (table.maySend(localZoneGroup, start + 1ms, start)) {
            }
        });
    }
    while (readyThreads < 3) {
        std::this_thread::yield();
    }
    table.revokeAll();
    for (std::thread &thread : threads) {
        thread.join();
    }
    EXPECT_FALSE(table.holds(localZoneGroup, start));
}
