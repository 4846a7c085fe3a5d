#include <base/random_source.h>

#include <gtest/gtest.h>

using namespace orioledrum;

// Guards against a sequence that is not reproducible, which would make seeded tests differ between runs.
TEST(RandomSource, EqualSeedsGiveEqualSequences)
{
    random_source left(7);
    random_source right(7);
    for (int round = 0; round < 100; ++round) {
        EXPECT_EQ(left.next(), right.next());
    }
}

// Guards against values outside the bound, against values that are never generated, and against ids of the wrong length.
TEST(RandomSource, BelowCoversItsRangeAndHexIdHas32Digits)
{
    random_source source(3);
    std::array<int, 5> counts{};
    for (int round = 0; round < 1000; ++round) {
        const auto value = source.below(5);
        ASSERT_LT(value, 5U);
        ++counts[value];
    }
    for (const int count : counts) {
        EXPECT_GT(count, 100);
    }
    EXPECT_EQ(source.hexId().size(), 32U);
}
