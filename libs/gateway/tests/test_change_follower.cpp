#include <gateway/change_follower.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

const time_point start{std::chrono::hours(1)};

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
    EXPECT_FALSE(follower.readCompleted(makePage(10, "next", {"a"}), start).isFullSnapshot);
    EXPECT_FALSE(follower.synchronized());
    EXPECT_EQ(follower.nextRead().pageToken, "next");
    const auto update = follower.readCompleted(makePage(20, "", {"b"}), start);
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
    follower.readCompleted(makePage(10), start);
    follower.readCompleted(makePage(12, "", {"a"}), start);
    EXPECT_EQ(follower.nextRead().after, 12U);
    follower.readCompleted(failedRead(error_code::historyLost), start);
    EXPECT_TRUE(follower.nextRead().listPage);
    EXPECT_TRUE(follower.nextRead().pageToken.empty());
    EXPECT_TRUE(follower.readCompleted(makePage(50, "", {"a"}), start).isFullSnapshot);
    EXPECT_EQ(follower.nextRead().after, 50U);
}

// Guards against a follower that asks again and again for changes that do not fit into one answer, after a long absence.
TEST(ChangeFollowerTest, listsAgainWhenTheChangesAreTooLargeForOneAnswer)
{
    change_follower follower({});
    follower.readCompleted(makePage(10), start);
    EXPECT_FALSE(follower.readCompleted(failedRead(error_code::tooLarge), start).disconnected);
    EXPECT_TRUE(follower.nextRead().listPage);
    EXPECT_TRUE(follower.readCompleted(failedRead(error_code::tooLarge), start).disconnected); // A page of the list that is too large.
    EXPECT_TRUE(follower.nextRead().listPage);
    EXPECT_TRUE(follower.readCompleted(makePage(50, "", {"a"}), start).isFullSnapshot);
    EXPECT_EQ(follower.nextRead().after, 50U);
}

// Guards against a host that overloads a failing platform with reads or waits ever longer before it reconnects, and against missing or
// repeated reports that contact with the platform was lost or regained.
TEST(ChangeFollowerTest, backsOffAndReportsDisconnectAndReconnectOnce)
{
    change_follower_settings settings;
    change_follower follower(settings);
    follower.readCompleted(makePage(10), start);
    EXPECT_TRUE(follower.readCompleted(failedRead(error_code::unreachable), start).disconnected);
    EXPECT_FALSE(follower.readCompleted(failedRead(error_code::unreachable), start).disconnected);
    EXPECT_EQ(follower.nextRead().delay, settings.initialRetryDelay * 2);
    for (int i = 0; i < 50; ++i) {
        follower.readCompleted(failedRead(error_code::unreachable), start);
    }
    EXPECT_EQ(follower.nextRead().delay, settings.maxRetryDelay);
    EXPECT_TRUE(follower.readCompleted(makePage(11), start).reconnected);
    EXPECT_FALSE(follower.readCompleted(makePage(12), start).reconnected);
    EXPECT_EQ(follower.nextRead().delay, milliseconds(0));
}

// Guards against losing the pages that were read before a failed read, and against reading them again.
TEST(ChangeFollowerTest, resumesAListAfterAFailedRead)
{
    change_follower follower({});
    follower.readCompleted(makePage(10, "next", {"a"}), start);
    follower.readCompleted(failedRead(error_code::deadlineExceeded), start);
    EXPECT_EQ(follower.nextRead().pageToken, "next");
    EXPECT_EQ(follower.readCompleted(makePage(11, "", {"b"}), start).changes.size(), 2U);
}

// Guards against one read per change when many changes are published close together.
TEST(ChangeFollowerTest, delaysTheReadAfterChanges)
{
    change_follower_settings settings;
    change_follower follower(settings);
    follower.readCompleted(makePage(10), start);
    EXPECT_EQ(follower.nextRead().delay, milliseconds(0));
    follower.readCompleted(makePage(11, "", {"a"}), start);
    EXPECT_EQ(follower.nextRead().delay, settings.batchDelay);
    follower.readCompleted(makePage(11), start);
    EXPECT_EQ(follower.nextRead().delay, milliseconds(0));
}

// Load pattern: on a day with trouble, entries of hundreds of backend servers change all the time. Guards against a number of calls that
// grows with the number of changes, and against isolated changes that are read late.
TEST(ChangeFollowerTest, readsASeriesOfChangesInFewCalls)
{
    change_follower_settings settings;
    settings.maxBatchDelay = milliseconds(1000);
    change_follower follower(settings);
    follower.readCompleted(makePage(10), start);
    auto now = start;
    int reads = 0;
    for (std::uint64_t revision = 11; now < start + std::chrono::seconds(30); ++revision, ++reads) {
        follower.readCompleted(makePage(revision, "", {"a"}), now);
        EXPECT_LE(follower.nextRead().delay, settings.maxBatchDelay);
        now += follower.nextRead().delay + milliseconds(10);
    }
    EXPECT_LE(reads, 33);
    now += std::chrono::seconds(2);
    follower.readCompleted(makePage(100, "", {"a"}), now);
    EXPECT_EQ(follower.nextRead().delay, settings.batchDelay);
}

// Load pattern: after 9 s without the platform, 6,000 changes wait, of which a read returns 500. Guards against a host that is still behind
// when its bounds on configuration and draining backend servers have passed (11 s behind).
TEST(ChangeFollowerTest, catchesUpWithABacklogWithoutDelays)
{
    change_follower_settings settings;
    settings.maxBatchDelay = milliseconds(1000);
    change_follower follower(settings);
    follower.readCompleted(makePage(10), start);
    auto now = start;
    for (std::uint64_t revision = 500; revision <= 6000; revision += 500) {
        follower.readCompleted(makePage(revision, "", std::vector<std::string>(500, "a")), now);
        EXPECT_EQ(follower.nextRead().delay, milliseconds(0));
        now += milliseconds(20);
    }
    follower.readCompleted(makePage(6003, "", {"a"}), now);
    EXPECT_EQ(follower.nextRead().delay, settings.batchDelay);
}

// Guards against an old list of another host that brings back entries that have gone.
TEST(ChangeFollowerTest, ignoresAnOlderListOfAnotherHost)
{
    change_follower follower({});
    follower.readCompleted(makePage(10), start);
    EXPECT_FALSE(follower.listReceived(std::move(makePage(9, "", {"a"}).changes), {std::nullopt, 9}).isFullSnapshot);
    EXPECT_EQ(follower.revision(), 10U);
    EXPECT_TRUE(follower.listReceived(std::move(makePage(12, "", {"a"}).changes), {std::nullopt, 12}).isFullSnapshot);
    EXPECT_EQ(follower.nextRead().after, 12U);
}

// Guards against a configuration or an excluded zone that takes effect only with the last of dozens of pages, when a running host reads
// the list again. Zones that are no longer excluded and backend servers need the whole list.
TEST(ChangeFollowerTest, appliesExcludedZonesOfAListThatIsReadAgainWithTheirPage)
{
    const auto pageWithZones = [] {
        auto page = makePage(20, "next", {"a"});
        page.changes.emplace_back(zone_changed{zone_id("z1"), true});
        page.changes.emplace_back(routes_published{});
        return page;
    };
    change_follower follower({});
    EXPECT_TRUE(follower.readCompleted(pageWithZones(), start).changes.empty()); // A host that starts uses nothing before the end.
    follower.readCompleted(makePage(20), start);
    follower.readCompleted(failedRead(error_code::historyLost), start);
    const auto update = follower.readCompleted(pageWithZones(), start);
    EXPECT_FALSE(update.isFullSnapshot);
    EXPECT_EQ(update.changes.size(), 2U);
    EXPECT_EQ(follower.readCompleted(makePage(20), start).changes.size(), 3U);
}

// Guards against a list that is never complete: many hosts that read large pages at once would each time out again and again.
TEST(ChangeFollowerTest, allowsMoreTimeForAPageThatHasTimedOut)
{
    change_follower follower({});
    const auto first = follower.nextRead().timeout;
    follower.readCompleted(failedRead(error_code::deadlineExceeded), start);
    EXPECT_EQ(follower.nextRead().timeout, 2 * first);
    follower.readCompleted(makePage(5), start);
    const auto watch = follower.nextRead();
    EXPECT_EQ(watch.timeout - watch.wait, first);
}

// Guards against a follower that waits for revisions above those of before, when the source has come back with an older copy; one that
// mixes pages of two eras in a list; and one that goes back to an earlier era because of a late answer.
TEST(ChangeFollowerTest, readsTheListOfANewEra)
{
    const auto page = [](std::uint64_t era, std::uint64_t revision, const std::string &nextPageToken = {}) {
        auto result = makePage(revision, nextPageToken);
        result.era = era;
        return result;
    };
    change_follower follower({});
    const auto complete = [&](change_page &&answer) {
        auto checked = follower.checkEra(std::move(answer), follower.nextRead());
        const auto code = checked ? std::optional<error_code>() : checked.error().code;
        follower.readCompleted(std::move(checked), start);
        return code;
    };
    EXPECT_FALSE(complete(page(3, 10)));
    EXPECT_EQ(complete(page(4, 12)), error_code::historyLost); // A watch.
    EXPECT_EQ(follower.position(), (published_revision{3, 10}));
    EXPECT_TRUE(follower.nextRead().listPage);
    EXPECT_FALSE(complete(page(4, 6, "next")));
    EXPECT_EQ(complete(page(5, 5)), error_code::historyLost); // The second page.
    EXPECT_TRUE(follower.nextRead().pageToken.empty());
    EXPECT_FALSE(complete(page(5, 5)));
    EXPECT_EQ(follower.position(), (published_revision{5, 5}));
    EXPECT_EQ(complete(page(4, 20)), error_code::notReady);
    EXPECT_EQ(complete(makePage(20)), error_code::notReady); // Without an era.
    EXPECT_EQ(follower.position(), (published_revision{5, 5}));
    EXPECT_FALSE(follower.listReceived({}, {4, 30}).isFullSnapshot);
    EXPECT_TRUE(follower.listReceived({}, {6, 2}).isFullSnapshot);
    EXPECT_EQ(follower.position(), (published_revision{6, 2}));
}
