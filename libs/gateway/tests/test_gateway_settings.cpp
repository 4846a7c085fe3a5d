#include <gateway/gateway_settings.h>
#include <host_counter.h>
#include <service_split.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <map>

using namespace orioledrum;

namespace
{

nlohmann::json makeSettings()
{
    return {{"host", "h1"},
            {"zone", "z1"},
            {"callers", "127.0.0.1:8001"},
            {"readiness", "127.0.0.1:8002"},
            {"hosts", "127.0.0.1:8003"},
            {"metrics", "127.0.0.1:8004"},
            {"seeds", {"127.0.0.1:8003"}},
            {"platform", "127.0.0.1:9000"},
            {"maxDescriptors", 4096},
            {"extraCallShare", 0.2},
            {"extraCallSlack", 58},
            {"coldFactor", 1.5},
            {"coldSlack", 5},
            {"configurationInForceMs", 3000},
            {"contactLossMs", 4000},
            {"stopTimeMs", 6000},
            {"lapsedReturnMs", 2200},
            {"callerDelayMs", 3}};
}

} // namespace

TEST(GatewaySettingsTest, acceptsAllFieldsAndComments)
{
    const auto settings = gateway_settings::parse("// comment\n" + makeSettings().dump(), "f");
    ASSERT_TRUE(settings) << settings.error().describe();
    EXPECT_EQ(settings->callers.text(), "127.0.0.1:8001");
    EXPECT_EQ(settings->seeds.size(), 1U);
    EXPECT_EQ(settings->stopTime, std::chrono::milliseconds(6000));
    EXPECT_DOUBLE_EQ(settings->extraCalls.slack, 58);
}

// Guards against a zone that is used after its bound where all other bounds are longer: changes of all kinds are read together, so the
// shortest bound decides how often.
TEST(GatewaySettingsTest, theShortestBoundDecidesWhenChangesAreRead)
{
    const auto shortest = [](const std::map<std::string, int> &bounds) {
        auto settings = makeSettings();
        for (const auto &[key, value] : bounds) {
            settings[key] = value;
        }
        return gateway_settings::parse(settings.dump(), "f")->shortestChangeBound().count();
    };
    EXPECT_EQ(shortest({}), 3000); // Without a time for draining backend servers and excluded zones.
    const std::map<std::string, int> all{
        {"configurationInForceMs", 6000}, {"contactLossMs", 6000}, {"drainMs", 6000}, {"zoneOutOfUseMs", 5000}};
    EXPECT_EQ(shortest(all), 5000);
    for (const auto &[key, value] : all) {
        auto bounds = all;
        bounds[key] = 4000;
        EXPECT_EQ(shortest(bounds), 4000) << key;
    }
}

// Guards against requests whose key was withdrawn that go on longer than strict revocation allows, because the withdrawal is read too late.
TEST(GatewaySettingsTest, strictRevocationShortensTheReadingOfChanges)
{
    auto settings = makeSettings();
    const auto shortest = [&] { return gateway_settings::parse(settings.dump(), "f")->shortestChangeBound().count(); };
    settings["revocationMs"] = 1500;
    EXPECT_EQ(shortest(), 3000) << "without strict revocation, requests in progress go on";
    settings["strictRevocation"] = true;
    EXPECT_EQ(shortest(), 1500);
    settings["revocationMs"] = 9000;
    EXPECT_EQ(shortest(), 3000);
}

// Guards against starting with a missing or invalid field: the error must name the field.
TEST(GatewaySettingsTest, namesEachMissingOrInvalidField)
{
    const auto validSettings = makeSettings();
    for (const auto &[key, value] : validSettings.items()) {
        auto missing = validSettings;
        missing.erase(key);
        auto result = gateway_settings::parse(missing.dump(), "f");
        ASSERT_FALSE(result) << key;
        EXPECT_NE(result.error().message.find("'" + key + "'"), std::string::npos) << result.error().message;
        auto invalid = validSettings;
        invalid[key] = nlohmann::json::object();
        result = gateway_settings::parse(invalid.dump(), "f");
        ASSERT_FALSE(result) << key;
        EXPECT_NE(result.error().message.find("'" + key + "'"), std::string::npos) << result.error().message;
    }
}

// Guards against a stop time with a fraction of a second that becomes some milliseconds, so that all open requests are given up at once.
TEST(GatewaySettingsTest, stopTimeMayHaveAFractionOfASecond)
{
    auto inSeconds = makeSettings();
    inSeconds.erase("stopTimeMs");
    inSeconds["stopTimeS"] = 6.5;
    const auto settings = gateway_settings::parse(inSeconds.dump(), "f");
    ASSERT_TRUE(settings) << settings.error().describe();
    EXPECT_EQ(settings->stopTime, std::chrono::milliseconds(6500));
    inSeconds["stopTimeMs"] = 6000;
    const auto both = gateway_settings::parse(inSeconds.dump(), "f");
    ASSERT_FALSE(both);
    EXPECT_NE(both.error().message.find("'stopTimeS'"), std::string::npos) << both.error().message;
}

// Guards against calls to draining backend servers in a deployment whose settings do not say how long these are allowed.
TEST(GatewaySettingsTest, drainTimeIsZeroUnlessItIsGiven)
{
    auto withDrainTime = makeSettings();
    EXPECT_EQ(gateway_settings::parse(withDrainTime.dump(), "f")->drainTime, std::chrono::milliseconds(0));
    withDrainTime["drainMs"] = 900;
    EXPECT_EQ(gateway_settings::parse(withDrainTime.dump(), "f")->drainTime, std::chrono::milliseconds(900));
}

// Guards against a restarted host that gets its whole part of the slack before the deployment's window is over, in which its earlier
// process may have used that part.
TEST(GatewaySettingsTest, aRestartedHostWaitsForTheWindowOfTheDeployment)
{
    auto longWindow = makeSettings();
    longWindow["extraCallWindowS"] = 20.5;
    const auto settings = gateway_settings::parse(longWindow.dump(), "f");
    ASSERT_TRUE(settings) << settings.error().describe();
    const time_point start(std::chrono::hours(1));
    host_counter counter(start, settings->extraCalls.slack, settings->extraCallWindow);
    counter.update(4, start);
    counter.update(4, start + std::chrono::seconds(5));
    EXPECT_EQ(counter.slackDivision(start + std::chrono::milliseconds(20400)).grantHosts, 29U); // 58 / restartTokens
    EXPECT_EQ(counter.slackDivision(start + std::chrono::milliseconds(20500)).grantHosts, 4U);
    longWindow["extraCallWindowS"] = "long";
    EXPECT_FALSE(gateway_settings::parse(longWindow.dump(), "f"));
}

// Guards against a default that stands in for a value that the deployment does not give, and against a value that is ignored.
TEST(GatewaySettingsTest, optionalSettingsAreEmptyUnlessTheyAreGiven)
{
    const auto without = gateway_settings::parse(makeSettings().dump(), "f");
    ASSERT_TRUE(without) << without.error().describe();
    EXPECT_FALSE(without->memoryBytes || without->processorShare || without->processors || without->usageCaps || without->revocationTime);
    EXPECT_FALSE(without->strictRevocation);
    EXPECT_TRUE(without->learnedLimits);
    auto given = makeSettings();
    given.update({{"memoryMb", 112},
                  {"processorShare", 0.084},
                  {"processors", 1},
                  {"usageCapWindowS", 5},
                  {"usageCapOvershoot", 0.25},
                  {"usageCapSlack", 20},
                  {"strictRevocation", true},
                  {"revocationMs", 5000},
                  {"learnedLimits", false}});
    const auto settings = gateway_settings::parse(given.dump(), "f");
    ASSERT_TRUE(settings) << settings.error().describe();
    EXPECT_EQ(settings->memoryBytes, 112U * 1024 * 1024);
    EXPECT_DOUBLE_EQ(settings->processorShare.value_or(0), 0.084);
    EXPECT_DOUBLE_EQ(settings->processors.value_or(0), 1);
    ASSERT_TRUE(settings->usageCaps);
    EXPECT_EQ(settings->usageCaps->window, std::chrono::seconds(5));
    EXPECT_DOUBLE_EQ(settings->usageCaps->overshoot, 0.25);
    EXPECT_DOUBLE_EQ(settings->usageCaps->slack, 20);
    EXPECT_TRUE(settings->strictRevocation);
    EXPECT_EQ(settings->revocationTime, std::chrono::milliseconds(5000));
    EXPECT_FALSE(settings->learnedLimits);
    for (const char *key : {"memoryMb", "processorShare", "usageCapOvershoot", "usageCapSlack", "strictRevocation", "learnedLimits"}) {
        auto invalid = given;
        invalid[key] = "x";
        EXPECT_FALSE(gateway_settings::parse(invalid.dump(), "f")) << key;
    }
    given.erase("usageCapSlack");
    EXPECT_FALSE(gateway_settings::parse(given.dump(), "f")) << "a bound with one value missing";
}

TEST(GatewaySettingsTest, rejectsInvalidFiles)
{
    EXPECT_FALSE(gateway_settings::parse("", "f"));
    EXPECT_FALSE(gateway_settings::parse("[]", "f"));
    EXPECT_FALSE(gateway_settings::parse("{\"host\": ", "f"));
    EXPECT_FALSE(gateway_settings::load("/nonexistent/settings"));
    auto badPort = makeSettings();
    badPort["callers"] = "127.0.0.1:99999";
    EXPECT_FALSE(gateway_settings::parse(badPort.dump(), "f"));
}

// Guards against a service that gets more or fewer requests than its share by weight: over 100 requests, the counts are exact.
TEST(ServiceSplitTest, distributesRequestsByWeight)
{
    route splitRoute;
    splitRoute.name = "r";
    splitRoute.services = {{service_id("a"), 7}, {service_id("b"), 2}, {service_id("c"), 1}};
    service_split split;
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[split.next(splitRoute, 1).str()];
    }
    EXPECT_EQ(counts["a"], 70);
    EXPECT_EQ(counts["b"], 20);
    EXPECT_EQ(counts["c"], 10);
}

TEST(ServiceSplitTest, sendsNothingToAServiceWithWeightZero)
{
    route splitRoute;
    splitRoute.name = "r";
    splitRoute.services = {{service_id("a"), 0}, {service_id("b"), 3}};
    service_split split;
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(split.next(splitRoute, 1).str(), "b");
    }
}
