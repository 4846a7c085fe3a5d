#include <retained_state.h>

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

using namespace orioledrum;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds returnTime{2000};

replica_entry entryOf(const std::string &id, double sequence, std::optional<int> born = 100, bool draining = false, int port = 1)
{
    replica_entry entry;
    entry.id = backend_id(id);
    entry.address = "10.0.0.1:" + std::to_string(port);
    entry.sequence = sequence;
    entry.draining = draining;
    if (born) {
        entry.startedAt = milliseconds(*born);
    }
    return entry;
}

/// A retained_state, and what a host has in use that applies what it lets through.
class RetainedStateTest : public testing::Test
{
protected:
    void list(std::optional<std::uint64_t> era, std::vector<published_change> changes)
    {
        follower_update update;
        update.isFullSnapshot = true;
        update.changes = std::move(changes);
        update = m_retained.filter(std::move(update), era, m_now);
        m_era = era;
        m_servers.clear();
        m_zones.clear();
        apply(update.changes);
    }

    void event(published_change change)
    {
        follower_update update;
        update.changes.push_back(std::move(change));
        update = m_retained.filter(std::move(update), m_era, m_now);
        apply(update.changes);
    }

    void pass(milliseconds time)
    {
        m_now += time;
        apply(m_retained.tick(m_now));
    }

    [[nodiscard]] bool drains(const std::string &id) const { return m_servers.at(id).draining; }
    [[nodiscard]] bool has(const std::string &id) const { return m_servers.contains(id); }
    [[nodiscard]] bool isOut(const std::string &zone) const { return m_zones.contains(zone); }

    static published_change published(const replica_entry &entry) { return replica_published{entry}; }
    static published_change removed(const std::string &id) { return replica_removed{backend_id(id)}; }
    static published_change zone(const std::string &name, bool excluded) { return zone_changed{zone_id(name), excluded}; }

    retained_state m_retained{returnTime};
    time_point m_now{seconds(3600)};

private:
    void apply(const std::vector<published_change> &changes)
    {
        for (const auto &change : changes) {
            if (const auto *entry = std::get_if<replica_published>(&change)) {
                m_servers[entry->entry.id.str()] = entry->entry;
            } else if (const auto *removal = std::get_if<replica_removed>(&change)) {
                m_servers.erase(removal->id.str());
            } else if (const auto *zone = std::get_if<zone_changed>(&change)) {
                if (zone->excluded) {
                    m_zones.insert(zone->zone.str());
                } else {
                    m_zones.erase(zone->zone.str());
                }
            }
        }
    }

    std::optional<std::uint64_t> m_era;
    std::map<std::string, replica_entry> m_servers;
    std::set<std::string> m_zones;
};

} // namespace

// Guards against a draining backend server that becomes ready again because the old copy, or what is written again in order, says so.
TEST_F(RetainedStateTest, anOlderEntryOfTheSameRunDoesNotReplaceANewerOne)
{
    list(1, {published(entryOf("a", 4))});
    event(published(entryOf("a", 5, 100, true)));
    list(2, {published(entryOf("a", 4))});
    EXPECT_TRUE(drains("a"));
    event(published(entryOf("a", 3)));
    EXPECT_TRUE(drains("a"));
    pass(returnTime * 3);
    event(published(entryOf("a", 4)));
    EXPECT_TRUE(drains("a"));
    event(published(entryOf("a", 6)));
    EXPECT_FALSE(drains("a"));
}

// Guards against a restarted backend server that is taken for an older entry, and against an earlier run that replaces it.
TEST_F(RetainedStateTest, aLaterStartReplacesAnEntryAndAnEarlierOneDoesNot)
{
    list(1, {published(entryOf("a", 9, 100, true))});
    list(2, {published(entryOf("a", 8, 100))});
    event(published(entryOf("a", 1, 200)));
    EXPECT_FALSE(drains("a"));
    event(published(entryOf("a", 10, 100, true)));
    EXPECT_FALSE(drains("a"));
}

// Guards against a backend server that has left and is called again because the old copy still has its entry.
TEST_F(RetainedStateTest, anEntryThatWasRemovedComesBackOnlyWhenItIsWrittenAnew)
{
    list(1, {published(entryOf("a", 4)), published(entryOf("b", 4)), published(entryOf("c", 4, std::nullopt))});
    for (const char *id : {"a", "b", "c"}) {
        event(removed(id));
    }
    const std::vector<published_change> copy{
        published(entryOf("a", 4)), published(entryOf("b", 3)), published(entryOf("c", 4, std::nullopt))};
    list(2, copy);
    EXPECT_FALSE(has("a") || has("b") || has("c"));
    pass(returnTime * 2);
    list(2, copy); // Read again, because the history is lost.
    list(3, copy);
    EXPECT_FALSE(has("a") || has("b") || has("c"));
    event(published(entryOf("a", 4)));
    EXPECT_FALSE(has("a"));
    event(published(entryOf("a", 5)));
    EXPECT_TRUE(has("a"));
    event(published(entryOf("b", 1, 200)));
    EXPECT_TRUE(has("b"));
    event(published(entryOf("c", 5, std::nullopt)));
    EXPECT_TRUE(has("c"));
}

// Guards against the same rule for entries that lapse after the return and are published again as they were.
TEST_F(RetainedStateTest, anEntryThatLapsesAfterTheReturnMayComeBackAsItWas)
{
    list(1, {published(entryOf("a", 4))});
    list(2, {published(entryOf("a", 4))});
    event(removed("a"));
    EXPECT_FALSE(has("a"));
    event(published(entryOf("a", 4)));
    EXPECT_TRUE(has("a"));
}

// Guards against backend servers that get no calls until they have published their entries again, and against those that never do.
TEST_F(RetainedStateTest, anEntryThatIsMissingInTheCopyIsKeptForTheReturnTime)
{
    list(1, {published(entryOf("a", 4)), published(entryOf("b", 4))});
    list(2, {});
    EXPECT_TRUE(has("a") && has("b"));
    pass(returnTime / 2);
    event(published(entryOf("b", 4)));
    pass(returnTime / 2 - milliseconds(1));
    EXPECT_TRUE(has("a") && has("b"));
    pass(milliseconds(1));
    EXPECT_FALSE(has("a"));
    EXPECT_TRUE(has("b"));
    event(published(entryOf("a", 4)));
    EXPECT_TRUE(has("a"));
    EXPECT_EQ(m_retained.nextTick(), time_point::max());
}

// Guards against what is kept after one return and lost by the next one.
TEST_F(RetainedStateTest, aSecondReturnBeginsTheTimeAnew)
{
    list(1, {published(entryOf("a", 4)), zone("z1", true)});
    list(2, {});
    pass(returnTime / 2);
    list(3, {});
    pass(returnTime - milliseconds(1));
    EXPECT_TRUE(has("a") && isOut("z1"));
    pass(milliseconds(1));
    EXPECT_FALSE(has("a") || isOut("z1"));
}

// Guards against a zone that gets calls again because the copy is older than its exclusion, and against one that stays excluded for longer
// than needed.
TEST_F(RetainedStateTest, aZoneStaysExcludedUntilTheOperatorHasWrittenAgain)
{
    list(1, {zone("z1", true), zone("z2", true), zone("z3", true)});
    list(2, {zone("z3", true)});
    EXPECT_TRUE(isOut("z1") && isOut("z2") && isOut("z3"));
    event(zone("z1", true));
    event(zone("z2", true));
    event(zone("z2", false));
    event(zone("z3", false));
    EXPECT_TRUE(isOut("z1"));
    EXPECT_FALSE(isOut("z2") || isOut("z3"));
    pass(returnTime);
    EXPECT_TRUE(isOut("z1")); // Written again.
}

// The same, when the list is read again within the return time.
TEST_F(RetainedStateTest, aListOfTheSameEraDoesNotEndWhatIsKept)
{
    list(1, {published(entryOf("a", 4)), zone("z1", true)});
    list(2, {});
    list(2, {});
    EXPECT_TRUE(has("a") && isOut("z1"));
    pass(returnTime);
    EXPECT_FALSE(has("a") || isOut("z1"));
}

// Guards against a decision without a start time: a restarted process counts anew, so a lower number may be newer. What was known stays in
// use for the return time.
TEST_F(RetainedStateTest, anEntryWithoutStartTimeIsDecidedAtTheEndOfTheReturnTime)
{
    list(1, {published(entryOf("a", 9, std::nullopt, true))});
    list(2, {published(entryOf("a", 8, std::nullopt))});
    EXPECT_TRUE(drains("a"));
    event(published(entryOf("a", 1, std::nullopt, false, 2)));
    EXPECT_TRUE(drains("a"));
    pass(returnTime);
    EXPECT_FALSE(drains("a"));
}

// Guards against an older, unreadable entry in the copy that ends the use of the known one.
TEST_F(RetainedStateTest, anUnreadableEntryOfTheCopyDoesNotEndTheKnownOne)
{
    list(1, {published(entryOf("a", 4))});
    list(2, {unreadable_change{backend_id("a"), {error_code::malformed, "read entry", "odd", "a"}}});
    EXPECT_TRUE(has("a"));
    pass(returnTime);
    EXPECT_FALSE(has("a"));
}

// Guards against other decisions where the source tells no era, or has never come back with older state.
TEST_F(RetainedStateTest, nothingChangesWithinAnEra)
{
    for (const auto era : {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(5)}) {
        list(era, {published(entryOf("a", 4)), published(entryOf("b", 4)), zone("z1", true)});
        event(published(entryOf("a", 3, 100, true)));
        EXPECT_TRUE(drains("a"));
        event(removed("b"));
        event(published(entryOf("b", 4)));
        EXPECT_TRUE(has("b"));
        list(era, {published(entryOf("a", 2))});
        EXPECT_FALSE(drains("a") || has("b") || isOut("z1"));
        EXPECT_EQ(m_retained.nextTick(), time_point::max());
    }
}

// Guards against memory for removed entries that grows without limit.
TEST_F(RetainedStateTest, removalsAreForgotten)
{
    list(1, {published(entryOf("a", 4))});
    event(removed("a"));
    pass(retained_state::removalMemory + seconds(1));
    list(2, {published(entryOf("a", 4))});
    EXPECT_TRUE(has("a"));
}
