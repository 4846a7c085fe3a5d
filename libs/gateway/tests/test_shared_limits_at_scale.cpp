#include <host_counter.h>

#include <limits/extra_call_budget.h>
#include <search/host_ranking.h>
#include <search/replica.h>
#include <tests/fakes/fake_gossip.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

/// A fleet whose hosts learn of each other by simulated heartbeats and divide the limits of one backend server by what they know.
class fleet_limits
{
public:
    static constexpr double slack = 630;
    static constexpr std::chrono::milliseconds window = 10s;
    static constexpr double coldCalls = 20;
    static constexpr std::uint32_t connections = 175;
    static constexpr std::uint32_t usefulConnections = 3;

    fleet_limits(std::size_t hosts, std::size_t zones, std::uint64_t seed)
        : m_gossip(hosts, zones, seed, 2, 20ms)
        , m_counters(hosts)
    {
        m_server.id = backend_id("server");
        m_server.zone = zone_id("another");
        for (std::size_t host = 0; host < hosts; ++host) {
            m_counters[host].emplace(m_gossip.now(), slack, window);
        }
    }

    void start(std::size_t host)
    {
        m_gossip.start(host);
        m_counters[host].emplace(m_gossip.now(), slack, window);
    }

    void kill(std::size_t host)
    {
        m_gossip.kill(host);
        m_counters[host].reset();
    }

    /// Runs the simulation for a time and keeps the greatest sums that were seen.
    void run(std::chrono::milliseconds duration)
    {
        for (const auto end = m_gossip.now() + duration; m_gossip.now() < end;) {
            m_gossip.run(100ms);
            double slackSum = 0;
            double capacitySum = 0;
            double coldSum = 0;
            double connectionSum = 0;
            bool settled = true;
            for (std::size_t host = 0; host < m_counters.size(); ++host) {
                if (!m_counters[host]) {
                    continue;
                }
                auto &counter = *m_counters[host];
                const auto view = m_gossip.membershipOf(host)->view();
                counter.update(view->members.size(), m_gossip.now());
                const auto division = counter.slackDivision(m_gossip.now());
                slackSum += slack / division.grantHosts;
                capacitySum += slack * extra_call_budget::standingSlackShare / division.capacityHosts;
                settled = settled && counter.settled();
                if (!counter.settled()) {
                    continue;
                }
                const auto share = shareOf(*view, host, counter.hostCount());
                coldSum += share.divide(coldCalls, 1);
                connectionSum += share.divide(connections, usefulConnections);
            }
            maxSlack = std::max(maxSlack, slackSum);
            maxCapacity = std::max(maxCapacity, capacitySum);
            maxCold = std::max(maxCold, coldSum);
            maxConnections = std::max(maxConnections, connectionSum);
            lastCold = coldSum;
            allSettled = settled;
        }
    }

    double maxSlack = 0; ///< Extra calls that all hosts together may make without having earned them.
    double maxCapacity = 0; ///< Extra calls that all hosts together may save up from earlier requests.
    double maxCold = 0; ///< Calls of all settled hosts to a cold backend server in a window.
    double maxConnections = 0; ///< Outstanding calls of all settled hosts to a backend server.
    double lastCold = 0;
    bool allSettled = false;

private:
    limit_share shareOf(const membership_view &view, std::size_t host, std::uint32_t hostCount) const
    {
        std::vector<host_ranking::ranked_host> hosts;
        for (const auto &member : view.members) {
            hosts.push_back({member.host, member.zone});
        }
        return host_ranking({fake_gossip::hostName(host), {}}, std::move(hosts), hostCount).shareOf(m_server);
    }

    fake_gossip m_gossip;
    std::vector<std::optional<host_counter>> m_counters; // Empty while the process of a host does not run.
    replica_entry m_server;
};

} // namespace

// Load pattern: all hosts start at one moment, under traffic, and again after a power loss. Guards against limits that are exceeded many
// times while hosts do not know each other: when each of 118 hosts assumed 10, they had 12 times the slack of extra calls.
TEST(SharedLimitsAtScale, keepTheBoundWhenAllHostsStartTogether)
{
    for (const std::size_t hosts : {std::size_t{118}, std::size_t{300}}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            SCOPED_TRACE(std::to_string(hosts) + " hosts, seed " + std::to_string(seed));
            fleet_limits fleet(hosts, 6, seed);
            fleet.run(5s);
            for (std::size_t host = 0; host < hosts; ++host) {
                fleet.kill(host);
            }
            fleet.run(1s);
            for (std::size_t host = 0; host < hosts; ++host) {
                fleet.start(host);
            }
            fleet.run(5s);
            EXPECT_LE(fleet.maxSlack, fleet_limits::slack);
            EXPECT_LE(fleet.maxCapacity, fleet_limits::slack);
            EXPECT_LE(fleet.maxCold, fleet_limits::coldCalls);
            EXPECT_LE(fleet.maxConnections, fleet_limits::connections);
            EXPECT_TRUE(fleet.allSettled);
            EXPECT_EQ(fleet.lastCold, fleet_limits::coldCalls);
        }
    }
}

// Load pattern: in a fleet at work, a zone loses power and returns, and single hosts are killed and restarted. Guards against hosts that
// get their part of a limit while others still use theirs.
TEST(SharedLimitsAtScale, keepTheBoundWhenHostsAreLostAndReturn)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        fleet_limits fleet(118, 6, seed);
        fleet.run(12s);
        for (std::size_t host = 0; host < 118; host += 6) {
            fleet.kill(host);
        }
        fleet.kill(1);
        fleet.run(10s);
        for (std::size_t host = 0; host < 118; host += 6) {
            fleet.start(host);
        }
        fleet.run(4s);
        fleet.start(1);
        fleet.run(10s);
        EXPECT_LE(fleet.maxSlack, fleet_limits::slack);
        EXPECT_LE(fleet.maxCapacity, fleet_limits::slack);
        EXPECT_LE(fleet.maxCold, fleet_limits::coldCalls);
        EXPECT_LE(fleet.maxConnections, fleet_limits::connections);
        EXPECT_EQ(fleet.lastCold, fleet_limits::coldCalls);
    }
}
