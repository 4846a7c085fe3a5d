#include <change_journal.h>
#include <list_copy.h>
#include <reader_selection.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

const time_point start{std::chrono::hours(1)};

std::string address(std::size_t host)
{
    return "10.0.0." + std::to_string(host) + ":1";
}

std::vector<std::string> addresses(std::size_t hosts)
{
    std::vector<std::string> result;
    for (std::size_t host = 0; host < hosts; ++host) {
        result.push_back(address(host));
    }
    return result;
}

} // namespace

// Load pattern: 118 hosts in 6 zones follow the platform. Guards against a number of calls that grows with the number of hosts.
TEST(ReaderSelectionTest, twoHostsOfAZoneReadThePlatform)
{
    std::size_t readers = 0;
    std::map<std::string, int> askedBy;
    for (std::size_t host = 0; host < 20; ++host) {
        reader_selection selection(address(host));
        selection.setZoneHosts(addresses(20));
        readers += selection.isReader() ? 1 : 0;
        if (const auto reader = selection.readerToAsk(start)) {
            ++askedBy[*reader];
        }
    }
    EXPECT_EQ(readers, reader_selection::readersPerZone);
    EXPECT_EQ(askedBy.size(), 1U); // The other reader is asked when this one fails.
}

// Guards against a host that follows nobody: without a view of its zone, or when all readers have failed, it reads the platform.
TEST(ReaderSelectionTest, readsThePlatformWhenAllReadersHaveFailed)
{
    reader_selection selection(address(0));
    EXPECT_TRUE(selection.isReader());
    for (std::size_t host = 0; host < 20; ++host) {
        selection = reader_selection(address(host));
        selection.setZoneHosts(addresses(20));
        if (!selection.isReader()) {
            break;
        }
    }
    const auto first = selection.readerToAsk(start);
    ASSERT_TRUE(first);
    selection.failed(*first, start);
    const auto second = selection.readerToAsk(start);
    ASSERT_TRUE(second);
    EXPECT_NE(*second, *first);
    selection.failed(*second, start);
    EXPECT_FALSE(selection.readerToAsk(start));
    EXPECT_EQ(selection.readerToAsk(start + reader_selection::failureBackoff), first);
}

// Guards against changes that a following host misses: from any revision, the pages contain each later change, or the journal says that
// it does not reach back that far.
RC_GTEST_PROP(ChangeJournalTest, pagesContainAllLaterChanges, ())
{
    change_journal journal;
    std::uint64_t revision = *rc::gen::inRange<std::uint64_t>(0, 5);
    journal.restart({7, revision});
    const auto journalStart = revision;
    std::map<std::uint64_t, std::string> pages; // By the last revision of the page.
    auto now = start;
    const auto steps = *rc::gen::inRange(1, 30);
    for (int i = 0; i < steps; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 4000));
        const auto added = *rc::gen::inRange<std::uint64_t>(0, 3);
        revision += added;
        const auto page = added == 0 ? std::string() : "page to " + std::to_string(revision);
        if (added > 0) {
            pages[revision] = page;
        }
        journal.add(revision, page, now);
    }
    RC_ASSERT(journal.revision().number == revision);
    for (std::uint64_t after = 0; after <= revision; ++after) {
        const auto result = journal.pagesAfter({7, after});
        if (!result) {
            continue;
        }
        RC_ASSERT(after >= journalStart);
        std::vector<std::string> wanted;
        for (auto page = pages.upper_bound(after); page != pages.end(); ++page) {
            wanted.push_back(page->second);
        }
        RC_ASSERT(*result == wanted);
    }
    RC_ASSERT(journal.pagesAfter({7, revision}).has_value());
}

// Guards against a journal that grows without limit, and against one that is restarted but still hands out earlier pages.
TEST(ChangeJournalTest, dropsOldPages)
{
    change_journal journal;
    journal.restart({7, 10});
    journal.add(11, "old", start);
    journal.add(12, "new", start + change_journal::maxAge + milliseconds(1));
    EXPECT_FALSE(journal.pagesAfter({7, 10}));
    EXPECT_EQ(journal.pagesAfter({7, 11}), std::vector<std::string>{"new"});
    journal.add(13, std::string(change_journal::maxBytes, 'x'), start + change_journal::maxAge + milliseconds(2));
    EXPECT_FALSE(journal.pagesAfter({7, 11}));
    journal.restart({7, 20});
    EXPECT_FALSE(journal.pagesAfter({7, 13}));
    EXPECT_TRUE(journal.pagesAfter({7, 20})->empty());
}

// Guards against hosts that all read the full list when the platform drops its history: the pages of a reader's list are passed on while
// they and the journal contain everything, and not longer.
TEST(ChangeJournalTest, keepsTheListWhileItIsComplete)
{
    change_journal journal;
    journal.restart({7, 10}, {"list"});
    journal.add(11, "change", start);
    EXPECT_FALSE(journal.pagesAfter({7, 9}));
    EXPECT_EQ(journal.listPages(), std::vector<std::string>{"list"});
    EXPECT_EQ(journal.pagesAfter(journal.startRevision()), std::vector<std::string>{"change"});
    journal.add(12, "", start + change_journal::maxAge + milliseconds(1));
    EXPECT_TRUE(journal.listPages().empty());
    journal.restart({7, 20});
    EXPECT_TRUE(journal.listPages().empty());
}

// Guards against pages of one numbering for a host that follows another: after the source has come back with older state, the same
// revisions stand for other changes.
TEST(ChangeJournalTest, hasNoPagesForAnotherEra)
{
    change_journal journal;
    journal.restart({7, 10}, {"list"});
    journal.add(11, "change", start);
    EXPECT_TRUE(journal.pagesAfter({7, 10}));
    EXPECT_FALSE(journal.pagesAfter({6, 10}));
    EXPECT_FALSE(journal.pagesAfter({8, 10}));
    EXPECT_FALSE(journal.pagesAfter({std::nullopt, 10}));
    journal.restart({8, 4});
    EXPECT_FALSE(journal.pagesAfter({7, 11}));
    EXPECT_TRUE(journal.pagesAfter({8, 4}));
}

namespace
{

change_page listPage(std::uint64_t era, std::uint64_t revision, const std::string &nextPageToken, const std::string &encoded)
{
    change_page page;
    page.era = era;
    page.revision = revision;
    page.nextPageToken = nextPageToken;
    page.encoded = encoded;
    return page;
}

} // namespace

// Guards against a state for another host that lacks changes: the list must be whole, of the era of the journal, and no older than what the
// journal has.
TEST(ListCopyTest, isAWholeStateOnlyWithTheChangesSince)
{
    change_journal journal;
    journal.restart({7, 10});
    list_copy copy;
    ASSERT_TRUE(copy.begin(start));
    copy.pageRead(listPage(7, 12, "next", "a"));
    EXPECT_FALSE(copy.completes(journal, start));
    EXPECT_EQ(copy.nextRead(milliseconds(100)).pageToken, "next");
    copy.pageRead(listPage(7, 14, "", "b"));
    EXPECT_TRUE(copy.completes(journal, start));
    EXPECT_EQ(copy.revision(), (published_revision{7, 12}));
    EXPECT_EQ(copy.pages(), (std::vector<std::string>{"a", "b"}));
    EXPECT_FALSE(copy.completes(journal, start + change_journal::maxAge + milliseconds(1)));
    journal.restart({7, 13});
    EXPECT_FALSE(copy.completes(journal, start));
    journal.restart({8, 5});
    EXPECT_FALSE(copy.completes(journal, start));
}

// Guards against pages of two eras in one list, and against lists that are read one after the other without a pause while the journal is
// still of the earlier era.
TEST(ListCopyTest, beginsAgainOnlyAfterAPause)
{
    list_copy copy;
    ASSERT_TRUE(copy.begin(start));
    copy.pageRead(listPage(7, 12, "next", "a"));
    copy.pageRead(listPage(8, 9, "", "b"));
    EXPECT_FALSE(copy.reading());
    EXPECT_TRUE(copy.pages().empty());
    EXPECT_FALSE(copy.begin(start + list_copy::minInterval - milliseconds(1)));
    EXPECT_TRUE(copy.begin(start + list_copy::minInterval));
    copy.pageRead(makeError(error_code::unreachable, "read", "refused"));
    EXPECT_FALSE(copy.reading());
    change_journal journal;
    journal.restart({7, 10});
    const auto later = start + 2 * list_copy::minInterval;
    ASSERT_TRUE(copy.begin(later));
    copy.pageRead(listPage(8, 9, "", "whole"));
    EXPECT_FALSE(copy.completes(journal, later));
    EXPECT_FALSE(copy.begin(later + milliseconds(5)));
}
