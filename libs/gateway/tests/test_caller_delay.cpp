#include <caller_delay.h>

#include <transport/client_network.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using std::chrono::microseconds;

namespace
{

constexpr microseconds configured(3000);

} // namespace

// Guards against urgent searches that lose time of their target to delays that their callers do not have: with a target of 40 ms, callers
// 1 ms away lost 8 ms on new connections and 10 ms on kept ones.
TEST(CallerDelayTest, nearbyCallersKeepTheirTime)
{
    EXPECT_EQ(caller_delay::of({microseconds(2000), false}, configured).total, microseconds(4000));
    EXPECT_EQ(caller_delay::of({microseconds(2000), true}, configured).total, microseconds(2000));
    EXPECT_EQ(caller_delay::of({microseconds(2000), true}, configured).oneWay, microseconds(1000));
}

// Guards against less time than before for callers whose delay is not known, or is greater than the configured one: a target that cannot
// be reached would be reached even less often.
TEST(CallerDelayTest, theConfiguredDelayIsTheUpperLimit)
{
    EXPECT_EQ(caller_delay::of({std::nullopt, false}, configured).total, microseconds(12'000));
    EXPECT_EQ(caller_delay::of({microseconds(80'000), false}, configured).total, microseconds(12'000));
    EXPECT_EQ(caller_delay::of({microseconds(80'000), true}, configured).oneWay, configured);
}
