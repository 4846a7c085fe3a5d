#include <config/route_table.h>

#include <gtest/gtest.h>

using namespace orioledrum;

namespace
{

route makeRoute(const std::string &name, const std::string &prefix)
{
    route newRoute;
    newRoute.name = name;
    newRoute.host = "a.example";
    newRoute.prefix = prefix;
    newRoute.timeout = std::chrono::milliseconds(100);
    newRoute.services = {{service_id("s"), 1}};
    return newRoute;
}

} // namespace

// Guards against preferring a shorter prefix to a longer one, and against prefixes that match within a path segment.
TEST(RouteTableTest, FindsTheLongestMatchingPrefix)
{
    const auto table = route_table::create(1, {makeRoute("short", "/a/"), makeRoute("long", "/a/b/"), makeRoute("root", "/")}, {}, {});
    ASSERT_TRUE(table);
    EXPECT_EQ((*table)->find("a.example", "/a/b/c")->name, "long");
    EXPECT_EQ((*table)->find("a.example", "/a/bc")->name, "short");
    EXPECT_EQ((*table)->find("a.example", "/a")->name, "root");
    EXPECT_EQ((*table)->find("a.example", "/x/y")->name, "root");
    EXPECT_EQ((*table)->find("b.example", "/a/b/c"), nullptr);
    EXPECT_EQ((*table)->find("a.example", ""), nullptr);
}

// Guards against accepting an invalid route, and against error messages that do not name an invalid prefix, timeout or coverage.
TEST(RouteTableTest, RejectsInvalidRoutes)
{
    auto badPrefix = makeRoute("r", "/a");
    EXPECT_NE(route_table::create(1, {badPrefix}, {}, {}).error().message.find("slash"), std::string::npos);
    auto servicesAndShards = makeRoute("r", "/a/");
    servicesAndShards.shards = {service_id("x")};
    EXPECT_FALSE(route_table::create(1, {servicesAndShards}, {}, {}));
    auto noTimeout = makeRoute("r", "/a/");
    noTimeout.timeout = std::chrono::milliseconds(0);
    EXPECT_NE(route_table::create(1, {noTimeout}, {}, {}).error().message.find("timeout"), std::string::npos);
    auto longTarget = makeRoute("r", "/a/");
    longTarget.targetLatency = route::maxTime + std::chrono::milliseconds(1);
    EXPECT_NE(route_table::create(1, {longTarget}, {}, {}).error().message.find("target latency"), std::string::npos);
    auto coverageAboveOne = makeRoute("r", "/a/");
    coverageAboveOne.services.clear();
    coverageAboveOne.shards = {service_id("x")};
    coverageAboveOne.minCoverage = 1.5;
    EXPECT_NE(route_table::create(1, {coverageAboveOne}, {}, {}).error().message.find("coverage"), std::string::npos);
    EXPECT_FALSE(route_table::create(1, {makeRoute("a", "/a/"), makeRoute("b", "/a/")}, {}, {}));
}

// Guards against default settings, without limits, for a service that has no entry, and against losing the settings of one that has.
TEST(RouteTableTest, UnknownServicesHaveNoSettings)
{
    route_service configured;
    configured.id = service_id("s");
    configured.maxConnections = 26;
    const auto table = route_table::create(1, {makeRoute("r", "/a/")}, {configured}, {});
    ASSERT_NE((*table)->findService(service_id("s")), nullptr);
    EXPECT_EQ((*table)->findService(service_id("s"))->maxConnections, 26U);
    EXPECT_EQ((*table)->findService(service_id("other")), nullptr);
}
