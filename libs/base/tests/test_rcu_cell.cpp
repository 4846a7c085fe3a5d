#include <base/rcu_cell.h>

#include <gtest/gtest.h>

#include <array>
#include <thread>

using namespace orioledrum;

// Guards against a reader that sees a freed or partly written value while another thread publishes.
TEST(RcuCell, ReadersAlwaysSeeACompleteValue)
{
    using pair = std::array<int, 2>;
    rcu_cell<pair> cell(std::make_shared<const pair>(pair{0, 0}));
    std::atomic<bool> sawPartialValue{false};
    std::atomic<bool> stop{false};
    std::array<std::thread, 3> readers;
    for (auto &reader : readers) {
        reader = std::thread([&] {
            while (!stop) {
                const auto value = cell.read();
                if ((*value)[0] != (*value)[1]) {
                    sawPartialValue = true;
                }
            }
        });
    }
    for (int round = 1; round <= 300; ++round) {
        cell.publish(std::make_shared<const pair>(pair{round, round}));
    }
    stop = true;
    for (auto &reader : readers) {
        reader.join();
    }
    EXPECT_FALSE(sawPartialValue);
    EXPECT_EQ((*cell.read())[0], 300);
}

// Guards against freeing a value while a reader still holds it.
TEST(RcuCell, ValueOutlivesItsReplacement)
{
    rcu_cell<int> cell(std::make_shared<const int>(1));
    const auto held = cell.read();
    cell.publish(std::make_shared<const int>(2));
    EXPECT_EQ(*held, 1);
    EXPECT_EQ(*cell.read(), 2);
}
