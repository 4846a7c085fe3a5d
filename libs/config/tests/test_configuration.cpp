#include <config/configuration.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>

using namespace orioledrum;

namespace
{

const std::string base = R"({
    "availabilityZones": {"a": {"state": "in"}, "b": {}},
    "backendServers": {
        "b1": {"zone": "a", "address": "10.0.0.1:80", "slots": 2, "connections": 25, "connectionCostMs": 1.5, "rampMs": 4000},
        "b2": {"zone": "b", "address": "[::1]:80", "slots": 3, "coldSlots": 2, "connections": 40},
        "b3": {"zone": "a", "address": "10.0.0.3:80", "slots": 1, "connections": 1}
    },
    "services": {
        "find": {"kind": "search", "layouts": {"1": {"shards": {"s1": ["b2", "b1"]}}}},
        "desk": {"kind": "order", "layouts": {"1": {"shards": {"all": ["b3"]}}}}
    },
    "customers": {"c": {"weight": 2.5, "priority": 7}}
})";

std::vector<config_problem> problemsOf(const config_files &files)
{
    auto result = loadConfiguration(files, 1);
    return result ? std::vector<config_problem>{} : std::move(result.error());
}

struct bad_case {
    std::string name;
    std::string text; ///< Merged over `base` as a second file.
    std::string file; ///< Expected config_problem::file.
    std::string keyPath; ///< Expected config_problem::keyPath.
    std::string found; ///< Expected part of config_problem::found.
    std::string allowed; ///< Expected part of config_problem::allowed.
};

std::ostream &operator<<(std::ostream &out, const bad_case &value)
{
    return out << value.name;
}

class InvalidConfigurationTest : public testing::TestWithParam<bad_case>
{
};

} // namespace

// Guards against lost values, defaults that differ from the documented ones, and failing lookups.
TEST(Configuration, LoadsEverySection)
{
    const config_files files{{"a.json", base}};
    const auto result = loadConfiguration(files, 7);
    ASSERT_TRUE(result) << describe(result.error());
    const auto &value = **result;
    EXPECT_EQ(value.revision(), 7U);
    EXPECT_EQ(value.hash(), hashOf(files));
    const auto *b1 = value.findBackendServer(backend_id("b1"));
    ASSERT_NE(b1, nullptr);
    EXPECT_EQ(b1->connectionCost, std::chrono::microseconds(1500));
    EXPECT_EQ(b1->warmUpTime, std::chrono::seconds(4));
    EXPECT_EQ(b1->coldSlots, 1U);
    const auto *find = value.findService(service_id("find"));
    ASSERT_NE(find, nullptr);
    EXPECT_EQ(find->kind, service_kind::search);
    EXPECT_EQ(find->policy.minCoverage, 0.99);
    EXPECT_EQ(find->policy.defaultDeadline, std::chrono::seconds(1));
    EXPECT_EQ(find->policy.hedgeBudget, 0.04);
    EXPECT_EQ(find->policy.extraWait.maximum, std::chrono::milliseconds(20));
    EXPECT_EQ(find->policy.extraWait.elapsedFactor, 1.0);
    const auto *layout = find->findLayout(1);
    ASSERT_NE(layout, nullptr);
    const auto *shard = layout->findShard(shard_id("s1"));
    ASSERT_NE(shard, nullptr);
    EXPECT_EQ(shard->replicas, (std::vector{backend_id("b2"), backend_id("b1")}));
    EXPECT_EQ(value.backendServers()[shard->replicaIndexes[0]].id, backend_id("b2"));
    EXPECT_EQ(find->backendIndexes, (std::vector<std::uint32_t>{0, 1}));
    EXPECT_EQ(value.serviceOf(backend_id("b3"))->id, service_id("desk"));
    EXPECT_EQ(value.findCustomer(customer_id("c"))->priority, 7U);
    EXPECT_TRUE(value.inService(zone_id("b")));
    EXPECT_FALSE(value.inService(zone_id("z")));
    EXPECT_EQ(value.findService(service_id("z")), nullptr);
    EXPECT_EQ(value.serviceOf(backend_id("z")), nullptr);
    EXPECT_EQ(layout->findShard(shard_id("z")), nullptr);
}

// Guards against a merge order other than that of the file names, and against naming the wrong file as a value's origin.
TEST(Configuration, LaterFilesOverrideAndAreNamedAsOrigin)
{
    const config_files files{
        {"10.json", base},
        {"20.json", R"({"backendServers": {"b1": {"zone": "a", "slots": 4}}, "availabilityZones": {"a": {"state": "out"}}})"},
        {"30.json", R"(/* nothing */ {"backendServers": {"b1": {"slots": 5}}})"}};
    const auto result = loadConfiguration(files, 1);
    ASSERT_TRUE(result) << describe(result.error());
    EXPECT_EQ((*result)->findBackendServer(backend_id("b1"))->slots, 5U);
    EXPECT_FALSE((*result)->inService(zone_id("a")));
    const auto values = mergedValues(files);
    ASSERT_TRUE(values);
    const auto originOf = [&values](std::string_view path) {
        const auto found =
            std::find_if(values->begin(), values->end(), [path](const merged_value &value) { return value.keyPath == path; });
        return found == values->end() ? std::string("missing") : found->file + "=" + found->value;
    };
    EXPECT_EQ(originOf("backendServers/b1/slots"), "30.json=5");
    EXPECT_EQ(originOf("backendServers/b1/connections"), "10.json=25");
    EXPECT_EQ(originOf("availabilityZones/a/state"), "20.json=\"out\"");
    EXPECT_EQ(originOf("services/find/layouts/1/shards/s1"), "10.json=[\"b2\",\"b1\"]");
}

// Guards against accepting an invalid value, or reporting it without its file, its key path and the allowed values.
TEST_P(InvalidConfigurationTest, IsRejectedWithFileAndKeyPath)
{
    const auto &param = GetParam();
    const auto problems = problemsOf({{"a.json", base}, {"b.json", param.text}});
    ASSERT_EQ(problems.size(), 1U) << describe(problems);
    EXPECT_EQ(problems[0].file, param.file);
    EXPECT_EQ(problems[0].keyPath, param.keyPath);
    EXPECT_NE(problems[0].found.find(param.found), std::string::npos) << problems[0].describe();
    EXPECT_NE(problems[0].allowed.find(param.allowed), std::string::npos) << problems[0].describe();
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    InvalidConfigurationTest,
    testing::Values(
        bad_case{"malformed", "{\n\"a\": }", "b.json", "", "line 2", "JSON"},
        bad_case{"empty", "", "b.json", "", "malformed", "JSON"},
        bad_case{"notAnObject", "[1]", "b.json", "", "[1]", "object"},
        bad_case{"numberTooLarge", R"({"customers": {"c": {"weight": 1e999}}})", "b.json", "", "malformed", "JSON"},
        bad_case{"unknownSection", R"({"service": {}})", "b.json", "service", "unknown key", "services, backendServers"},
        bad_case{"unknownKey", R"({"backendServers": {"b1": {"slot": 2}}})", "b.json", "backendServers/b1/slot", "unknown key", "slots"},
        bad_case{"wrongType", R"({"backendServers": {"b1": {"slots": "2"}}})", "b.json", "backendServers/b1/slots", "\"2\"", "1 to 1024"},
        bad_case{"fraction", R"({"backendServers": {"b1": {"slots": 2.5}}})", "b.json", "backendServers/b1/slots", "2.5", "whole number"},
        bad_case{"negative", R"({"backendServers": {"b1": {"rampMs": -1}}})", "b.json", "backendServers/b1/rampMs", "-1", "from 0"},
        bad_case{"null", R"({"customers": {"c": {"priority": null}}})", "b.json", "customers/c/priority", "null", "0 to 9"},
        bad_case{"objectExpected", R"({"services": {"x": 3}})", "b.json", "services/x", "3", "an object"},
        bad_case{"sectionType", R"({"customers": []})", "b.json", "customers", "[]", "an object"},
        bad_case{"badName", R"({"customers": {"a/b": {}}})", "b.json", "customers/a/b", "a/b", "letters"},
        bad_case{"duplicateKey", R"({"customers": {"c": {}, "c": {}}})", "b.json", "customers/c", "twice", "once"},
        bad_case{"immutableZone", R"({"backendServers": {"b1": {"zone": "b"}}})", "b.json", "backendServers/b1/zone", "in a.json", "same"},
        bad_case{"immutableKind", R"({"services": {"find": {"kind": "order"}}})", "b.json", "services/find/kind", "in b.json", "same"},
        bad_case{"immutableAddress",
                 R"({"backendServers": {"b1": {"address": "10.0.0.9:80"}}})",
                 "b.json",
                 "backendServers/b1/address",
                 "10.0.0.1:80",
                 "same"},
        bad_case{"hostName",
                 R"({"backendServers": {"x": {"zone": "a", "address": "host:80", "slots": 1, "connections": 1}}})",
                 "b.json",
                 "backendServers/x/address",
                 "host:80",
                 "IP address"},
        bad_case{"portZero",
                 R"({"backendServers": {"x": {"zone": "a", "address": "10.0.0.7:0", "slots": 1, "connections": 1}}})",
                 "b.json",
                 "backendServers/x/address",
                 "10.0.0.7:0",
                 "port"},
        bad_case{"sameAddress",
                 R"({"backendServers": {"x": {"zone": "a", "address": "10.0.0.1:80", "slots": 1, "connections": 1}}})",
                 "b.json",
                 "backendServers/x/address",
                 "\"b1\"",
                 "different"},
        bad_case{"missingSlots",
                 R"({"backendServers": {"x": {"zone": "a", "address": "10.0.0.7:1", "connections": 1}}})",
                 "b.json",
                 "backendServers/x/slots",
                 "no value",
                 "1 to 1024"},
        bad_case{"coldAboveSlots",
                 R"({"backendServers": {"b1": {"coldSlots": 3}}})",
                 "b.json",
                 "backendServers/b1/coldSlots",
                 "3",
                 "slots (2"},
        bad_case{"fewConnections",
                 R"({"backendServers": {"b1": {"connections": 1}}})",
                 "b.json",
                 "backendServers/b1/connections",
                 "1",
                 "at least slots"},
        bad_case{"undefinedZone",
                 R"({"backendServers": {"x": {"zone": "q", "address": "10.0.0.7:1", "slots": 1, "connections": 1}}})",
                 "b.json",
                 "backendServers/x/zone",
                 "\"q\"",
                 "availabilityZones"},
        bad_case{"unusedZone",
                 R"({"availabilityZones": {"A": {"state": "out"}}})",
                 "b.json",
                 "availabilityZones/A",
                 "without",
                 "at least one"},
        bad_case{"badState", R"({"availabilityZones": {"a": {"state": "off"}}})", "b.json", "availabilityZones/a/state", "off", "\"out\""},
        bad_case{"unknownReplica",
                 R"({"services": {"find": {"layouts": {"2": {"shards": {"x": ["b9"]}}}}}})",
                 "b.json",
                 "services/find/layouts/2/shards/x",
                 "\"b9\"",
                 "backendServers"},
        bad_case{"sharedReplica",
                 R"({"services": {"find": {"layouts": {"2": {"shards": {"x": ["b3"]}}}}}})",
                 "b.json",
                 "services/find/layouts/2/shards/x",
                 "\"desk\"",
                 "this service only"},
        bad_case{"repeatedReplica",
                 R"({"services": {"find": {"layouts": {"2": {"shards": {"x": ["b1", "b1"]}}}}}})",
                 "b.json",
                 "services/find/layouts/2/shards/x",
                 "b1",
                 "without repetition"},
        bad_case{"noShards",
                 R"({"services": {"find": {"layouts": {"2": {}}}}})",
                 "b.json",
                 "services/find/layouts/2/shards",
                 "no shard",
                 "one"},
        bad_case{"noLayouts", R"({"services": {"x": {"kind": "search"}}})", "b.json", "services/x/layouts", "no value", "one or two"},
        bad_case{"layoutName", R"({"services": {"find": {"layouts": {"01": {}}}}})", "b.json", "services/find/layouts/01", "01", "number"},
        bad_case{"threeLayouts",
                 R"({"services": {"find": {"layouts": {"2": {"shards": {"x": ["b1"]}}, "3": {"shards": {"x": ["b1"]}}}}}})",
                 "a.json",
                 "services/find/layouts",
                 "3 layouts",
                 "one or two"},
        bad_case{"hedgedOrders",
                 R"({"services": {"desk": {"policy": {"hedgeBudget": 0.01}}}})",
                 "b.json",
                 "services/desk/policy/hedgeBudget",
                 "orders",
                 "defaultDeadlineMs"}),
    [](const auto &test) { return test.param.name; });

// Guards against a check that reports only the first problem.
TEST(Configuration, AllProblemsAreReported)
{
    const auto problems = problemsOf({{"a.json", base},
                                      {"b.json", R"({"backendServers": {"b1": {"slots": 0}}, "customers": {"c": {"weight": 0}}, "x": 1})"},
                                      {"c.json", R"({"services": {"find": {"layouts": {"1": {"shards": {"s2": ["b7"]}}}}}})"}});
    EXPECT_EQ(problems.size(), 4U) << describe(problems);
}

// Guards against applying a file set that is empty or has no service, with which every request would be refused.
TEST(Configuration, ConfigurationWithoutServicesIsRejected)
{
    EXPECT_EQ(problemsOf({}).size(), 1U);
    EXPECT_EQ(problemsOf({{"a.json", "{}"}}).size(), 1U);
    EXPECT_EQ(problemsOf({{"a.txt", base}}).size(), 1U);
}

// Guards against a documented example configuration that the programs reject.
TEST(Configuration, ExampleFolderIsValid)
{
    const auto files = readConfigFolder(ORIOLEDRUM_EXAMPLE_CONFIG);
    ASSERT_TRUE(files) << files.error().describe();
    const auto result = loadConfiguration(*files, 1);
    ASSERT_TRUE(result) << describe(result.error());
    EXPECT_EQ((*result)->services().size(), 2U);
    EXPECT_EQ((*result)->availabilityZones().size(), 2U);
}

// Guards against a load time that is quadratic in the number of backend servers. A quadratic load of 24,000 took 7.6 s,
// longer than the time limit for activating a change on all hosts.
TEST(Configuration, LoadTimeGrowsLinearly)
{
    const auto makeFiles = [](int count) {
        std::string servers;
        std::string shards;
        for (int number = 0; number < count; ++number) {
            const auto name = std::to_string(number);
            const auto separator = number == 0 ? "" : ",";
            servers += separator + ("\"b" + name) + R"(": {"zone": "a", "address": "10.0.0.1:)" + std::to_string(1 + number)
                + R"(", "slots": 2, "connections": 25})";
            shards += separator + ("\"s" + name) + R"(": ["b)" + name + "\"]";
        }
        return config_files{{"a.json", R"({"availabilityZones": {"a": {}}, "backendServers": {)" + servers + "}}"},
                            {"b.json", R"({"services": {"s": {"kind": "search", "layouts": {"1": {"shards": {)" + shards + "}}}}}}"}};
    };
    const auto cpuTime = [](const config_files &files) {
        // Takes the shortest of three runs, because other programs may slow a run down by evicting its data from the caches.
        double shortest = 0;
        for (int run = 0; run < 3; ++run) {
            const auto before = std::clock();
            const auto result = loadConfiguration(files, 1);
            const auto time = static_cast<double>(std::clock() - before);
            EXPECT_TRUE(result) << describe(result.error());
            shortest = run == 0 ? time : std::min(shortest, time);
        }
        return shortest;
    };
    // With linear time, eight times as many servers take about 8 times as long. The quadratic parser took 28 to 37 times as long.
    EXPECT_LT(cpuTime(makeFiles(8000)), 20 * cpuTime(makeFiles(1000)));
}
