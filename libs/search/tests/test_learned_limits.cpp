#include <fakes/fake_fleet.h>
#include <search/learned_limit.h>

#include <gtest/gtest.h>

#include <functional>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

/// Share of the calls that must be answered by the target: a search whose minimum coverage is 0.9 then gets its answer in time without
/// hedges and retries, which have a budget of their own.
constexpr double neededShare = 0.9;
/// Difference between two shares that is no loss: with two hedges and retries for ten calls, as the budgets allow, callers do not see half
/// a percent of late calls.
constexpr double noLoss = 0.005;
/// Fleets of each pattern, with different seeds; the shares are means over them.
constexpr std::uint64_t fleetCount = 8;
/// Calls per second to a service of three backend servers with two slots each, 45% of what they can take.
constexpr double usualDemand = 225;
/// Hosts that share the calls to a service when a few hosts gather its parts.
constexpr std::size_t usualHosts = 10;
/// Hosts of which each sends less than one call a second to each backend server.
constexpr std::size_t manyHosts = 145;

using make_servers = std::function<std::vector<fake_server>(std::uint64_t seed)>;

struct comparison {
    double with = 0;
    double without = 0;
};

/// Runs the fleets of a pattern with and without learned limits, and returns the means of a figure.
comparison compare(const make_servers &servers, const fake_demand &demand, const std::function<double(const fake_fleet &)> &figure)
{
    comparison result;
    for (std::uint64_t seed = 1; seed <= fleetCount; ++seed) {
        for (const bool learns : {true, false}) {
            fake_fleet fleet(seed, learns, servers(seed), demand);
            fleet.run();
            (learns ? result.with : result.without) += figure(fleet) / fleetCount;
        }
    }
    return result;
}

comparison compareShares(const char *pattern,
                         const make_servers &servers,
                         const fake_demand &demand,
                         milliseconds from = {},
                         milliseconds to = std::chrono::hours(1))
{
    const auto result = compare(servers, demand, [&](const fake_fleet &fleet) { return fleet.shareWithinTarget(from, to); });
    std::printf("%s: %.2f%% within the target with learned limits, %.2f%% without\n", pattern, 100 * result.with, 100 * result.without);
    return result;
}

fake_demand demandOf(std::size_t hosts, double callsPerSecond = usualDemand)
{
    fake_demand demand;
    demand.hosts = hosts;
    demand.callsPerSecond = callsPerSecond;
    return demand;
}

time_point at(int ms)
{
    return fake_fleet::start() + milliseconds(ms);
}

std::vector<fake_server> unevenServers()
{
    std::vector<fake_server> servers(3);
    servers[0].workFactor = 0.8;
    servers[2].workFactor = 1.3;
    return servers;
}

/// Three backend servers, of which the first is 4 times slower from 8 to 18 s.
make_servers slowServers(bool reportsLoad, bool reportsWorkTime)
{
    return [=](std::uint64_t) {
        std::vector<fake_server> servers(3);
        servers[0].spells = {{at(8000), at(18'000), 4}};
        for (auto &server : servers) {
            server.reportsLoad = reportsLoad;
            server.reportsWorkTime = reportsWorkTime;
        }
        return servers;
    };
}

void expectNoLoss(const comparison &shares)
{
    EXPECT_GE(shares.with, neededShare);
    EXPECT_GE(shares.with, shares.without - noLoss);
}

} // namespace

// Guards against learned limits that change how backend servers are chosen that are all alike.
TEST(LearnedLimitsTest, equalServersAreServedAsBefore)
{
    const auto equal = [](std::uint64_t) { return std::vector<fake_server>(3); };
    for (const double demand : {usualDemand, 400.0, 600.0}) {
        for (const std::size_t hosts : {std::size_t{1}, usualHosts, manyHosts}) {
            const auto name = "equal, " + std::to_string(static_cast<int>(demand)) + " calls/s, " + std::to_string(hosts) + " hosts";
            comparison calls;
            const auto shares = compare(equal, demandOf(hosts, demand), [&](const fake_fleet &fleet) {
                const auto share = static_cast<double>(fleet.calls(0)) / static_cast<double>(fleet.decided());
                (fleet.replicaOf(0, 0)->learned() != nullptr ? calls.with : calls.without) += share / fleetCount;
                return fleet.shareWithinTarget();
            });
            std::printf("%s: %.2f%% within the target with learned limits, %.2f%% without\n",
                        name.c_str(),
                        100 * shares.with,
                        100 * shares.without);
            EXPECT_GE(shares.with, shares.without - noLoss) << name;
            EXPECT_NEAR(calls.with, calls.without, 0.01) << name;
        }
    }
}

// Guards against backend servers that are all loaded alike although their speeds differ.
TEST(LearnedLimitsTest, speedsThatDiffer)
{
    const auto servers = [](std::uint64_t) { return unevenServers(); };
    expectNoLoss(compareShares("speeds 0.8, 1.0 and 1.3", servers, demandOf(usualHosts)));
}

// Guards against filling a backend server that slows down before its slots are used.
TEST(LearnedLimitsTest, aServerThatSlowsDownWhenNearlyFull)
{
    const auto servers = [](std::uint64_t) {
        std::vector<fake_server> result(3);
        for (auto &server : result) {
            server.slots = 4;
            server.reportsWorkTime = false;
        }
        result[0].fullFrom = 2;
        result[0].fullFactor = 4;
        return result;
    };
    const auto shares = compareShares("slows down when nearly full", servers, demandOf(usualHosts, 500));
    EXPECT_GE(shares.with, neededShare);
    EXPECT_GT(shares.with, shares.without);
}

// Guards against calls to a backend server that has become slow, and against a backend server that gets none after it has recovered.
TEST(LearnedLimitsTest, aServerThatBecomesFourTimesSlowerAndRecovers)
{
    for (const bool reportsWorkTime : {false, true}) {
        const auto servers = slowServers(true, reportsWorkTime);
        const char *name = reportsWorkTime ? "4 times slower, says so" : "4 times slower";
        const auto slow = compareShares(name, servers, demandOf(usualHosts), milliseconds(8000), milliseconds(18'000));
        EXPECT_GE(slow.with, neededShare);
        EXPECT_GT(slow.with, slow.without);
        expectNoLoss(compareShares("after its recovery", servers, demandOf(usualHosts), milliseconds(18'000)));
        // A fifth of the calls instead of a third shows that it is in use again; with fewer the others miss its capacity. With little load
        // the others never have queues that would send calls to it.
        for (const double demand : {usualDemand, usualDemand / 3}) {
            const auto calls = compare(servers, demandOf(usualHosts, demand), [=](const fake_fleet &fleet) {
                return static_cast<double>(fleet.calls(0, milliseconds(23'000), milliseconds(30'000))) / (demand * 7);
            });
            EXPECT_GE(calls.with, 0.2) << name << ", " << demand << " calls/s, without learned limits " << calls.without;
        }
    }
}

// Guards against noise that is learned as slowness, and against figures that are believed for longer than they are true.
TEST(LearnedLimitsTest, noiseOfSixHundredMilliseconds)
{
    for (const bool reportsWorkTime : {false, true}) {
        const auto servers = [=](std::uint64_t seed) {
            std::vector<fake_server> result(3);
            for (std::size_t i = 0; i < result.size(); ++i) {
                result[i].spells = noiseSpells(seed * 10 + i, fake_demand().duration);
                result[i].reportsWorkTime = reportsWorkTime;
            }
            return result;
        };
        const auto shares = compareShares(reportsWorkTime ? "noise, reported" : "noise", servers, demandOf(usualHosts));
        expectNoLoss(shares);
        if (reportsWorkTime) {
            EXPECT_GT(shares.with, shares.without);
        }
    }
}

// Guards against pauses that are learned as slowness.
TEST(LearnedLimitsTest, pausesOfEachServer)
{
    const auto servers = [](std::uint64_t seed) {
        std::vector<fake_server> result(3);
        for (std::size_t i = 0; i < result.size(); ++i) {
            result[i].spells = pauses(seed * 10 + i, fake_demand().duration);
        }
        return result;
    };
    expectNoLoss(compareShares("pauses", servers, demandOf(usualHosts)));
}

// Guards against a cold start that is learned as slowness and keeps calls away from a backend server that is warm by now.
TEST(LearnedLimitsTest, aColdServer)
{
    const auto servers = [](std::uint64_t) {
        std::vector<fake_server> result(3);
        result[0].cold = milliseconds(3000);
        return result;
    };
    expectNoLoss(compareShares("cold start", servers, demandOf(usualHosts)));
    const auto calls = compare(servers, demandOf(usualHosts), [](const fake_fleet &fleet) {
        return static_cast<double>(fleet.calls(0, milliseconds(5000), milliseconds(15'000))) / (usualDemand * 10);
    });
    EXPECT_GE(calls.with, calls.without - 0.02);
}

// Guards against hosts that learn nonsense from a call every few seconds: what they know must come from the reports.
TEST(LearnedLimitsTest, manyHostsWithLittleTrafficEach)
{
    expectNoLoss(compareShares(
        "many hosts, uneven speeds", [](std::uint64_t) { return unevenServers(); }, demandOf(manyHosts)));
    const auto shares = compareShares(
        "many hosts, 4 times slower, says so", slowServers(true, true), demandOf(manyHosts), milliseconds(8000), milliseconds(18'000));
    EXPECT_GT(shares.with, shares.without);
    // All are alike; noise and pauses are all that there is to learn from.
    const auto alike = [](std::uint64_t seed) {
        std::vector<fake_server> result(3);
        for (std::size_t i = 0; i < result.size(); ++i) {
            result[i].spells = i == 0 ? pauses(seed, fake_demand().duration) : noiseSpells(seed * 10 + i, fake_demand().duration);
            result[i].reportsWorkTime = false;
        }
        return result;
    };
    const auto learned = compare(alike, demandOf(manyHosts), [](const fake_fleet &fleet) {
        double count = 0;
        for (std::size_t host = 0; host < manyHosts; ++host) {
            for (std::size_t server = 0; server < 3; ++server) {
                const auto *limit = fleet.replicaOf(host, server)->learned();
                count += limit != nullptr && (limit->slow() || limit->limit(2, fleet.now()) < 2) ? 1 : 0;
            }
        }
        return count;
    });
    EXPECT_EQ(learned.with, 0) << "learned from too few calls";
}

// Guards against a mechanism that needs reports: response times alone must do.
TEST(LearnedLimitsTest, aServerThatNeverReportsLoad)
{
    const auto servers = slowServers(false, false);
    const auto slow =
        compareShares("never reports, 4 times slower", servers, demandOf(usualHosts), milliseconds(8000), milliseconds(18'000));
    EXPECT_GE(slow.with, neededShare);
    EXPECT_GT(slow.with, slow.without);
    expectNoLoss(compareShares("never reports, after its recovery", servers, demandOf(usualHosts), milliseconds(18'000)));
}

// Guards against a limit that stays low, or falls to nothing, after refusals.
TEST(LearnedLimitsTest, refusalsLowerTheLimitForAWhile)
{
    learned_limit limit;
    auto now = at(0);
    EXPECT_EQ(limit.limit(8, now), 8);
    limit.refused(5, 8, now);
    EXPECT_EQ(limit.limit(8, now), 4);
    for (int i = 0; i < 100; ++i) {
        limit.refused(1, 8, now);
        now += milliseconds(250);
    }
    EXPECT_EQ(limit.limit(8, now), learned_limit::minLimit);
    now += learned_limit::holdTime + std::chrono::seconds(20);
    EXPECT_EQ(limit.limit(8, now), 8);
}

// Guards against a limit that response times do not lower, also without refusals and without reports of load, that noise lowers, or that
// stays low when answers at the limit are fast again.
TEST(LearnedLimitsTest, responseTimesLowerAndRaiseTheLimit)
{
    for (const bool loadReported : {true, false}) {
        constexpr std::uint32_t slots = 4;
        learned_limit limit;
        auto now = at(0);
        // Calls with 1 to 4 others, every 50 ms; a load of 3 and more takes `factor` times as long.
        const auto answerFor = [&](milliseconds duration, double factor) {
            const auto until = now + duration;
            for (std::uint32_t load = 1; now < until; load = load % slots + 1, now += milliseconds(50)) {
                limit.answered({load >= 3 ? factor : 1, 1, load, loadReported}, slots, now);
            }
        };
        answerFor(milliseconds(20'000), 1);
        answerFor(milliseconds(600), 4); // Noise.
        answerFor(milliseconds(5000), 1);
        EXPECT_EQ(limit.limit(slots, now), slots);
        answerFor(milliseconds(20'000), 4);
        EXPECT_LT(limit.limit(slots, now), 3);
        EXPECT_GE(limit.limit(slots, now), learned_limit::minLimit);
        answerFor(milliseconds(30'000), 1);
        EXPECT_EQ(limit.limit(slots, now), slots);
    }
}
