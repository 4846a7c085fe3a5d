#include <base/event_ring.h>

#include <gtest/gtest.h>

using namespace orioledrum;

// Guards against returning events out of order, and against losing the latest events instead of the oldest.
TEST(EventRing, KeepsTheLatestEventsInOrder)
{
    event_ring ring(4);
    for (int index = 0; index < 10; ++index) {
        event entry;
        entry.detail = std::to_string(index);
        ring.record(std::move(entry));
    }
    const auto kept = ring.eventsAfter(0, 100);
    ASSERT_EQ(kept.size(), 4U);
    EXPECT_EQ(kept.front().detail, "6");
    EXPECT_EQ(kept.back().detail, "9");
    EXPECT_EQ(kept.back().sequence, 10U);
}

// Guards against pages that exceed the limit or repeat events that the reader has already fetched.
TEST(EventRing, ReturnsOnlyLaterEventsUpToTheLimit)
{
    event_ring ring(8);
    for (int index = 0; index < 6; ++index) {
        ring.record({});
    }
    const auto page = ring.eventsAfter(2, 3);
    ASSERT_EQ(page.size(), 3U);
    EXPECT_EQ(page.front().sequence, 3U);
    EXPECT_TRUE(ring.eventsAfter(6, 3).empty());
}
