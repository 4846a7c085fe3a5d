#include <limits/organisation_fairness.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace orioledrum;

namespace
{

constexpr int organisationCount = 80;
/// Requests per second of all organisations as usual: deployment A of docs/design/plan.md.
constexpr double usualRate = 48;
/// The largest organisation sends a fifth of them.
constexpr double largestShare = 0.2;
constexpr double warmUpSeconds = 60;
constexpr double measuredSeconds = 600;

struct scenario {
    std::string name;
    std::size_t hosts = 1;
    double capacity = 60; ///< Requests per second that backend servers serve.
    double largestFactor = 1; ///< Multiple of its usual rate that the largest organisation sends.
    double seconds = measuredSeconds;
};

struct organisation_result {
    double sent = 0;
    double served = 0;

    [[nodiscard]] double share() const { return sent > 0 ? served / sent : 1; }
};

struct result {
    std::vector<organisation_result> organisations; ///< The first one is the largest.
    std::uint64_t refusedByHosts = 0;

    [[nodiscard]] organisation_result sum(std::size_t first) const
    {
        organisation_result total;
        for (std::size_t i = first; i < organisations.size(); ++i) {
            total.sent += organisations[i].sent;
            total.served += organisations[i].served;
        }
        return total;
    }

    /// @return The least share of an organisation in multiples of the share of all. Organisations with few requests are left out.
    [[nodiscard]] double leastShare() const
    {
        constexpr double minRequests = 100;
        double least = 1e9;
        for (const auto &each : organisations) {
            least = each.sent < minRequests ? least : std::min(least, each.share() / sum(0).share());
        }
        return least;
    }
};

/// Plays requests that arrive at random times and hosts. Backend servers serve up to the capacity and refuse the rest, whoever sends it.
result play(const scenario &scenario, const organisation_fairness_settings &settings, std::uint32_t seed, bool fair = true)
{
    std::mt19937 random(seed);
    std::vector<double> rates{usualRate * largestShare * scenario.largestFactor};
    for (int i = 1; i < organisationCount; ++i) {
        rates.push_back(usualRate * (1 - largestShare) / (organisationCount - 1) * (0.4 + 1.2 * i / organisationCount));
    }
    std::discrete_distribution<std::size_t> organisations(rates.begin(), rates.end());
    double rate = 0;
    for (const auto each : rates) {
        rate += each;
    }
    std::exponential_distribution<double> gap(rate);
    std::vector<organisation_fairness> hosts(scenario.hosts, organisation_fairness(settings));
    result outcome;
    outcome.organisations.resize(rates.size());
    const double burst = scenario.capacity * 0.2; // Requests that wait for backend servers at most.
    double room = burst;
    const time_point start{std::chrono::hours(1)};
    for (double at = 0; at < warmUpSeconds + scenario.seconds;) {
        const double step = gap(random);
        at += step;
        room = std::min(burst, room + step * scenario.capacity);
        const auto now = start + std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(at));
        const auto organisation = organisations(random);
        auto &host = hosts[random() % hosts.size()];
        auto &counts = outcome.organisations[organisation];
        const bool counted = at >= warmUpSeconds;
        counts.sent += counted ? 1 : 0;
        if (fair && !host.admit("o" + std::to_string(organisation), now)) {
            ++outcome.refusedByHosts;
            continue;
        }
        const bool served = room >= 1;
        room -= served ? 1 : 0;
        counts.served += served && counted ? 1 : 0;
        host.ended(!served, now);
    }
    return outcome;
}

const std::vector<scenario> overloads{{"one host, 7.5 times", 1, 60, 7.5},
                                      {"30 hosts, 7.5 times", 30, 60, 7.5},
                                      {"30 hosts, 40 times", 30, 60, 40},
                                      {"little capacity", 30, 30, 7.5},
                                      {"hardly more than the small ones need", 1, 42, 40},
                                      {"118 hosts, 40 times", 118, 60, 40}};

constexpr std::uint32_t seeds = 5;

} // namespace

// Guards against an organisation, large or small, that is served less than a quarter as often as all.
TEST(OrganisationFairnessTest, noOrganisationIsServedLessThanAQuarterAsOftenAsAll)
{
    for (const auto &each : overloads) {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            EXPECT_GE(play(each, {}, seed).leastShare(), 0.25) << each.name << ", seed " << seed;
        }
    }
}

// Guards against a large organisation that crowds out the small ones while the capacity suffices for them: at most a tenth of their
// requests may be refused, as while demand shifts.
TEST(OrganisationFairnessTest, aLargeOrganisationDoesNotCrowdOutSmallOnes)
{
    for (const auto &each : overloads) {
        if (each.capacity < usualRate) {
            continue;
        }
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            EXPECT_GE(play(each, {}, seed).sum(1).share(), 0.9) << each.name << ", seed " << seed;
        }
    }
}

// Guards against a check that passes whatever is sent: without the class small organisations are crowded out, and without the least share
// the large one gets less than a quarter.
TEST(OrganisationFairnessTest, theBoundsFailWithoutTheMechanisms)
{
    EXPECT_LT(play(overloads[1], {}, 1, false).sum(1).share(), 0.9);
    organisation_fairness_settings withoutLeastShare;
    withoutLeastShare.minShare = 0;
    EXPECT_LT(play(overloads[4], withoutLeastShare, 1).leastShare(), 0.25);
}

// Guards against requests that hosts refuse although backend servers would serve them: with usual demand, while one organisation sends many
// times its rate within the capacity, and after an overload.
TEST(OrganisationFairnessTest, refusesNothingWithoutOverload)
{
    for (const std::size_t hosts : {1U, 30U}) {
        EXPECT_EQ(play({"usual", hosts, 80, 1}, {}, 1).refusedByHosts, 0U);
        EXPECT_EQ(play({"larger", hosts, 200, 7.5}, {}, 1).refusedByHosts, 0U);
    }
    organisation_fairness host;
    time_point now{std::chrono::hours(1)};
    const auto send = [&](int count, double capacity) {
        int sent = 0;
        double room = 0;
        for (int i = 0; i < count; ++i) {
            now += std::chrono::milliseconds(10);
            room = std::min(4.0, room + capacity);
            if (host.admit(i % 10 == 0 ? "small" : "large", now)) {
                ++sent;
                host.ended(room < 1, now);
                room -= room < 1 ? 0 : 1;
            }
        }
        return sent;
    };
    EXPECT_LT(send(4000, 0.5), 3500);
    EXPECT_LT(host.sentShare("large"), 1);
    EXPECT_EQ(host.sentShare("small"), 1);
    send(15'000, 1); // Nearly two times overloadMemory.
    EXPECT_EQ(host.sentShare("large"), 1);
    EXPECT_EQ(send(1000, 1), 1000);
}

// Guards against a host that sends ever fewer requests, because a part of them is refused however few are sent.
TEST(OrganisationFairnessTest, sendsRequestsAlthoughARefusedPartDoesNotDependOnThem)
{
    organisation_fairness host;
    time_point now{std::chrono::hours(1)};
    std::mt19937 random(1);
    int sent = 0;
    constexpr int normalCount = 20'000; // 200 s in which all requests are served.
    constexpr int count = 180'000; // 1800 s.
    for (int i = 0; i < count; ++i) {
        now += std::chrono::milliseconds(10);
        if (host.admit(i % 10 == 0 ? "small" : "large", now)) {
            sent += i >= normalCount ? 1 : 0;
            host.ended(i >= normalCount && random() % 2 == 0, now);
        }
    }
    EXPECT_GT(sent, (count - normalCount) / 2) << "the limit refuses more than the backend servers";
}

// Guards against a limit that stays at the capacity of before when most of it is lost, or that ends then.
TEST(OrganisationFairnessTest, followsALossOfCapacity)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        organisation_fairness host;
        std::mt19937 random(seed);
        time_point now{std::chrono::hours(1)};
        double room = 0;
        organisation_result small;
        organisation_result large;
        for (int i = 0; i < 60'000;
             ++i) { // 600 s with 100 requests/s, 10 of them of the small one; the capacity falls from 80 to 20 after 200 s.
            now += std::chrono::milliseconds(10);
            room = std::min(4.0, room + (i < 20'000 ? 0.8 : 0.2));
            const bool isSmall = random() % 10 == 0;
            const bool admitted = host.admit(isSmall ? "small" : "large", now);
            const bool served = admitted && room >= 1;
            room -= served ? 1 : 0;
            if (admitted) {
                host.ended(!served, now);
            }
            if (i >= 30'000) {
                auto &counts = isSmall ? small : large;
                counts.sent += 1;
                counts.served += served ? 1 : 0;
            }
        }
        EXPECT_GE(small.share(), 0.75)
            << seed; // Its even part is 10 of 20 requests/s, all it sends, but for the least share of the large one.
        EXPECT_GE(large.share() * 4, (small.served + large.served) / (small.sent + large.sent)) << seed;
    }
}
