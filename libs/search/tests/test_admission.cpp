#include <search/admission.h>
#include <search/latency_histogram.h>

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

const time_point begin{std::chrono::hours(1)};

} // namespace

// Guards against a customer that displaces another one by sending ten times as many queries as its share.
TEST(Admission, BurstDoesNotDisplaceAnotherCustomer)
{
    admission control({60, 60, 60});
    const customer_id bursting("bursting");
    const customer_id steady("steady");
    ASSERT_TRUE(control.admit(steady, {}, begin).has_value());
    control.release(steady, false, begin);
    int admitted = 0;
    for (int index = 0; index < 300; ++index) {
        admitted += control.admit(bursting, {}, begin).has_value() ? 1 : 0;
    }
    EXPECT_GE(admitted, 30);
    EXPECT_LE(admitted, 54) << "a customer of priority 1 must leave a tenth of the limit to the others";
    for (int index = 0; index < 30; ++index) {
        EXPECT_TRUE(control.admit(steady, {}, begin).has_value()) << index;
    }
    const auto refused = control.admit(bursting, {}, begin);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, error_code::overloaded);
}

// Guards against shares that ignore the weights.
TEST(Admission, SharesAreProportionalToWeights)
{
    admission control({40, 40, 40});
    const customer_id heavy("heavy");
    const customer_id light("light");
    ASSERT_TRUE(control.admit(heavy, {3, 1}, begin).has_value());
    int heavyCount = 1;
    int lightCount = 0;
    for (int index = 0; index < 100; ++index) {
        heavyCount += control.admit(heavy, {3, 1}, begin).has_value() ? 1 : 0;
        lightCount += control.admit(light, {1, 1}, begin).has_value() ? 1 : 0;
    }
    EXPECT_NEAR(heavyCount, 30, 1);
    EXPECT_GE(lightCount, 9);
    EXPECT_LE(lightCount, 20);
}

// Guards against a low-priority customer that takes the whole limit when the others leave it unused.
TEST(Admission, LowPriorityLeavesPartOfTheLimitUnused)
{
    admission control({40, 40, 40});
    const customer_id other("other");
    ASSERT_TRUE(control.admit(other, {1, 1}, begin).has_value());
    int admitted = 0;
    for (int index = 0; index < 100; ++index) {
        admitted += control.admit(customer_id("batch"), {1, 2}, begin).has_value() ? 1 : 0;
    }
    EXPECT_EQ(admitted, 29);
}

// Guards against a limit that does not fall under overload, falls below its minimum, or does not recover within seconds.
TEST(Admission, LimitAdaptsToOverload)
{
    admission control({100, 4, 200});
    const customer_id customer("c");
    auto now = begin;
    for (int index = 0; index < 1000; ++index) {
        now += 10ms;
        if (control.admit(customer, {}, now)) {
            control.release(customer, true, now);
        }
    }
    EXPECT_DOUBLE_EQ(control.limit(), 4.0);
    // Three seconds at full utilisation with queries of 20 ms.
    for (int step = 0; step < 150; ++step) {
        now += 20ms;
        int running = 0;
        while (control.admit(customer, {}, now)) {
            ++running;
        }
        for (; running > 0; --running) {
            control.release(customer, false, now);
        }
    }
    EXPECT_GE(control.limit(), 50.0);
    EXPECT_EQ(control.inProgress(), 0U);
}

// Guards against data races, and against queries that stay counted as in progress when threads admit and finish concurrently.
TEST(Admission, ConcurrentUseReleasesAllQueries)
{
    admission control({8, 8, 8});
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&control, index] {
            const customer_id customer("c" + std::to_string(index % 2));
            for (int round = 0; round < 2000; ++round) {
                const auto now = begin + std::chrono::milliseconds(round);
                if (control.admit(customer, {}, now)) {
                    control.release(customer, round % 7 == 0, now);
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    EXPECT_EQ(control.inProgress(), 0U);
}

// Guards against a weight of 0, for which no share can be computed.
TEST(Admission, RejectsZeroWeight)
{
    admission control({});
    const auto refused = control.admit(customer_id("c"), {0, 1}, begin);
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, error_code::invalidArgument);
    EXPECT_EQ(control.inProgress(), 0U);
}

// Guards against wrong bucket bounds, which would change every hedge delay.
TEST(LatencyHistogram, QuantilesAreWithinTheBucketError)
{
    latency_histogram histogram(1000000);
    for (int micros = 1; micros <= 100000; ++micros) {
        histogram.record(std::chrono::microseconds(micros));
    }
    for (const double quantile : {0.01, 0.5, 0.95, 0.99}) {
        const auto exact = quantile * 100000;
        const auto estimate = static_cast<double>(histogram.quantile(quantile).count());
        EXPECT_GE(estimate, exact * 0.999);
        EXPECT_LE(estimate, exact * 1.126);
    }
}

// Guards against old samples that keep their full weight after the latency has changed.
TEST(LatencyHistogram, OldSamplesLoseWeight)
{
    latency_histogram histogram(1024);
    for (int index = 0; index < 1000; ++index) {
        histogram.record(100ms);
    }
    for (int index = 0; index < 5000; ++index) {
        histogram.record(1ms);
    }
    EXPECT_LE(histogram.quantile(0.95), 2ms);
}
