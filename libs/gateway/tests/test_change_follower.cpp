#include <gateway/change_follower.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

change_page makePage(std::uint64_t revision, const std::string &next = {}, std::vector<std::string> gone = {})
{
    change_page page;
    page.revision = revision;
    page.next = next;
    for (const auto &id : gone) {
        page.changes.emplace_back(replica_withdrawn{backend_id(id)});
    }
    return page;
}

expected<change_page> failure(error_code code)
{
    return makeError(code, "read", "failed");
}

} // namespace

// Guards against changes that are missed because they happen while the pages of a list are read.
TEST(ChangeFollowerTest, followsFromTheRevisionOfTheFirstPage)
{
    change_follower follower({});
    EXPECT_TRUE(follower.next().list);
    EXPECT_FALSE(follower.ended(makePage(10, "next", {"a"})).whole);
    EXPECT_FALSE(follower.synchronized());
    EXPECT_EQ(follower.next().from, "next");
    const auto news = follower.ended(makePage(20, "", {"b"}));
    EXPECT_TRUE(news.whole);
    EXPECT_EQ(news.changes.size(), 2U);
    EXPECT_FALSE(follower.next().list);
    EXPECT_EQ(follower.next().after, 10U);
}

TEST(ChangeFollowerTest, readsEverythingAgainWhenHistoryIsLost)
{
    change_follower follower({});
    follower.ended(makePage(10));
    follower.ended(makePage(12, "", {"a"}));
    EXPECT_EQ(follower.next().after, 12U);
    follower.ended(failure(error_code::historyLost));
    EXPECT_TRUE(follower.next().list);
    EXPECT_TRUE(follower.next().from.empty());
    EXPECT_TRUE(follower.ended(makePage(50, "", {"a"})).whole);
    EXPECT_EQ(follower.next().after, 50U);
}

// Guards against a host that floods a platform in trouble, and against one that never comes back.
TEST(ChangeFollowerTest, backsOffAndReportsLossAndReturnOnce)
{
    change_follower_settings settings;
    change_follower follower(settings);
    follower.ended(makePage(10));
    EXPECT_TRUE(follower.ended(failure(error_code::unreachable)).lost);
    EXPECT_FALSE(follower.ended(failure(error_code::unreachable)).lost);
    EXPECT_EQ(follower.next().delay, settings.retryFirst * 2);
    for (int i = 0; i < 50; ++i) {
        follower.ended(failure(error_code::unreachable));
    }
    EXPECT_EQ(follower.next().delay, settings.retryLongest);
    EXPECT_TRUE(follower.ended(makePage(11)).regained);
    EXPECT_FALSE(follower.ended(makePage(12)).regained);
    EXPECT_EQ(follower.next().delay, milliseconds(0));
}

// A failure in the middle of a list does not lose the pages that were read.
TEST(ChangeFollowerTest, goesOnInsideAList)
{
    change_follower follower({});
    follower.ended(makePage(10, "next", {"a"}));
    follower.ended(failure(error_code::deadlineExceeded));
    EXPECT_EQ(follower.next().from, "next");
    EXPECT_EQ(follower.ended(makePage(11, "", {"b"})).changes.size(), 2U);
}

// Guards against a call for each of many changes that come together.
TEST(ChangeFollowerTest, pausesAfterChanges)
{
    change_follower_settings settings;
    change_follower follower(settings);
    follower.ended(makePage(10));
    EXPECT_EQ(follower.next().delay, milliseconds(0));
    follower.ended(makePage(11, "", {"a"}));
    EXPECT_EQ(follower.next().delay, settings.batch);
    follower.ended(makePage(11));
    EXPECT_EQ(follower.next().delay, milliseconds(0));
}
