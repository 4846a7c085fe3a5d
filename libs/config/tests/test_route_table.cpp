#include <config/route_table.h>

#include <gtest/gtest.h>

using namespace orioledrum;

namespace
{

route makeRoute(const std::string &name, const std::string &prefix)
{
    route made;
    made.name = name;
    made.host = "a.example";
    made.prefix = prefix;
    made.timeout = std::chrono::milliseconds(100);
    made.services = {{service_id("s"), 1}};
    return made;
}

} // namespace

// Guards against a shorter prefix winning over a longer one, and against prefixes that match in the middle of a segment.
TEST(RouteTableTest, findsTheLongestPrefix)
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

TEST(RouteTableTest, namesTheFieldThatIsWrong)
{
    auto badPrefix = makeRoute("r", "/a");
    EXPECT_NE(route_table::create(1, {badPrefix}, {}, {}).error().message.find("slash"), std::string::npos);
    auto both = makeRoute("r", "/a/");
    both.shards = {service_id("x")};
    EXPECT_FALSE(route_table::create(1, {both}, {}, {}));
    auto noTimeout = makeRoute("r", "/a/");
    noTimeout.timeout = std::chrono::milliseconds(0);
    EXPECT_NE(route_table::create(1, {noTimeout}, {}, {}).error().message.find("timeout"), std::string::npos);
    auto coverage = makeRoute("r", "/a/");
    coverage.services.clear();
    coverage.shards = {service_id("x")};
    coverage.minCoverage = 1.5;
    EXPECT_NE(route_table::create(1, {coverage}, {}, {}).error().message.find("coverage"), std::string::npos);
    EXPECT_FALSE(route_table::create(1, {makeRoute("a", "/a/"), makeRoute("b", "/a/")}, {}, {}));
}

TEST(RouteTableTest, unknownServicesHaveDefaults)
{
    route_service known;
    known.id = service_id("s");
    known.maxConnections = 26;
    const auto table = route_table::create(1, {makeRoute("r", "/a/")}, {known}, {});
    EXPECT_EQ((*table)->service(service_id("s")).maxConnections, 26U);
    EXPECT_EQ((*table)->service(service_id("other")).maxConnections, 0U);
}
