#include <gateway/change_follower.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

change_page makePage(std::uint64_t revision, const std::string &nextPageToken = {}, std::vector<std::string> removedServers = {})
{
    change_page page;
    page.revision = revision;
    page.nextPageToken = nextPageToken;
    for (const auto &id : removedServers) {
        page.changes.emplace_back(replica_removed{backend_id(id)});
    }
    return page;
}

expected<change_page> failedRead(error_code code)
{
    return makeError(code, "read", "failed");
}

} // namespace

// Guards against a follower that misses changes made while it reads the pages of a list.
TEST(ChangeFollowerTest, watchesFromTheRevisionOfTheFirstPage)
{
    change_follower follower({});
    EXPECT_TRUE(follower.nextRead().listPage);
    EXPECT_FALSE(follower.readCompleted(makePage(10, "next", {"a"})).isFullSnapshot);
    EXPECT_FALSE(follower.synchronized());
    EXPECT_EQ(follower.nextRead().pageToken, "next");
    const auto update = follower.readCompleted(makePage(20, "", {"b"}));
    EXPECT_TRUE(update.isFullSnapshot);
    EXPECT_EQ(update.changes.size(), 2U);
    EXPECT_FALSE(follower.nextRead().listPage);
    EXPECT_EQ(follower.nextRead().after, 10U);
}

// Guards against a follower that permanently misses changes after the source has discarded its history, or that continues to watch
// from the old revision.
TEST(ChangeFollowerTest, listsAgainWhenHistoryIsLost)
{
    change_follower follower({});
    follower.readCompleted(makePage(10));
    follower.readCompleted(makePage(12, "", {"a"}));
    EXPECT_EQ(follower.nextRead().after, 12U);
    follower.readCompleted(failedRead(error_code::historyLost));
    EXPECT_TRUE(follower.nextRead().listPage);
    EXPECT_TRUE(follower.nextRead().pageToken.empty());
    EXPECT_TRUE(follower.readCompleted(makePage(50, "", {"a"})).isFullSnapshot);
    EXPECT_EQ(follower.nextRead().after, 50U);
}

// Guards against a host that overloads a failing platform with reads or waits ever longer before it reconnects, and against missing or
// repeated reports that contact with the platform was lost or regained.
TEST(ChangeFollowerTest, backsOffAndReportsDisconnectAndReconnectOnce)
{
    change_follower_settings settings;
    change_follower follower(settings);
    follower.readCompleted(makePage(10));
    EXPECT_TRUE(follower.readCompleted(failedRead(error_code::unreachable)).disconnected);
    EXPECT_FALSE(follower.readCompleted(failedRead(error_code::unreachable)).disconnected);
    EXPECT_EQ(follower.nextRead().delay, settings.initialRetryDelay * 2);
    for (int i = 0; i < 50; ++i) {
        follower.readCompleted(failedRead(error_code::unreachable));
    }
    EXPECT_EQ(follower.nextRead().delay, settings.maxRetryDelay);
    EXPECT_TRUE(follower.readCompleted(makePage(11)).reconnected);
    EXPECT_FALSE(follower.readCompleted(makePage(12)).reconnected);
    EXPECT_EQ(follower.nextRead().delay, milliseconds(0));
}

// Guards against losing the pages that were read before a failed read, and against reading them again.
TEST(ChangeFollowerTest, resumesAListAfterAFailedRead)
{
    change_follower follower({});
    follower.readCompleted(makePage(10, "next", {"a"}));
    follower.readCompleted(failedRead(error_code::deadlineExceeded));
    EXPECT_EQ(follower.nextRead().pageToken, "next");
    EXPECT_EQ(follower.readCompleted(makePage(11, "", {"b"})).changes.size(), 2U);
}

// Guards against one read per change when many changes are published close together.
TEST(ChangeFollowerTest, delaysTheReadAfterChanges)
{
    change_follower_settings settings;
    change_follower follower(settings);
    follower.readCompleted(makePage(10));
    EXPECT_EQ(follower.nextRead().delay, milliseconds(0));
    follower.readCompleted(makePage(11, "", {"a"}));
    EXPECT_EQ(follower.nextRead().delay, settings.batchDelay);
    follower.readCompleted(makePage(11));
    EXPECT_EQ(follower.nextRead().delay, milliseconds(0));
}
