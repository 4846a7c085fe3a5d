#include <memory_account.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kib = 1024;
constexpr std::size_t budget = 2048 * kib;
constexpr std::size_t large = 256 * kib;

class MemoryAccountTest : public testing::Test
{
protected:
    using phase = memory_account::phase;

    /// A connection that holds the given bytes of a request and made progress at the given time.
    memory_account::holder_id receive(std::size_t bytes, std::chrono::milliseconds at)
    {
        const auto id = account.add(start + at);
        account.set(id, phase::receiving, 0, start + at);
        account.grow(id, bytes, start + at);
        return id;
    }

    std::vector<memory_account::holder_id> closed()
    {
        std::vector<memory_account::holder_id> ids;
        for (const auto &each : account.takeClosed()) {
            ids.push_back(each.id);
        }
        return ids;
    }

    memory_account account{budget};
    memory_account::time_point start{};
};

} // namespace

// Guards against bytes that are still counted after their connection has ended, until no request is served any more.
TEST_F(MemoryAccountTest, BytesOfEndedConnectionsDoNotCount)
{
    for (int round = 0; round < 3; ++round) {
        const auto first = receive(large, 0ms);
        const auto second = receive(10, 0ms);
        EXPECT_EQ(account.used(), large + 10 + 2 * memory_account::connectionBytes);
        account.set(second, phase::sending, 500, start);
        EXPECT_EQ(account.used(), large + 500 + 2 * memory_account::connectionBytes);
        account.remove(first);
        account.remove(second);
        account.remove(second);
        EXPECT_EQ(account.used(), 0U);
    }
}

// Guards against a wrong order of refusal: new large requests before any client is closed, the slowest clients next.
TEST_F(MemoryAccountTest, RefusesNewLargeRequestsBeforeItClosesTheSlowest)
{
    const auto stalled = receive(large, 0ms);
    EXPECT_TRUE(account.admitsLarge(large));
    const auto middle = receive(large, 100ms);
    receive(large, 200ms);
    EXPECT_TRUE(account.admitsLarge(large));
    receive(large, 300ms);
    EXPECT_FALSE(account.admitsLarge(large));
    EXPECT_TRUE(closed().empty());
    receive(large, 300ms);
    receive(large, 300ms);
    receive(large, 300ms);
    EXPECT_TRUE(closed().empty());
    receive(large, 400ms); // 2048 KiB and what the connections take.
    EXPECT_EQ(closed(), std::vector{stalled});
    EXPECT_TRUE(account.grow(middle, 10, start + 500ms));
    EXPECT_TRUE(closed().empty());
    account.remove(stalled);
    EXPECT_EQ(account.used(), 7 * (large + memory_account::connectionBytes) + 10);
}

// Guards against an ordinary request that is refused, and against one that is closed while a large one can be.
TEST_F(MemoryAccountTest, OrdinaryRequestsAreNotRefused)
{
    const auto slowButOrdinary = receive(1 * kib, 0ms);
    std::vector<memory_account::holder_id> others;
    for (int i = 0; i < 8; ++i) {
        others.push_back(receive(large, 1000ms));
    }
    EXPECT_EQ(closed().size(), 1U);
    for (const auto id : others) {
        account.set(id, phase::handling, large, start + 1000ms);
    }
    for (int i = 0; i < 4; ++i) {
        const auto id = account.add(start + 2000ms);
        account.set(id, phase::handling, large, start + 2000ms);
    }
    EXPECT_GT(account.used(), budget); // By requests that may run.
    const auto ordinary = account.add(start + 2000ms);
    account.set(ordinary, phase::receiving, 0, start + 2000ms);
    EXPECT_TRUE(account.grow(ordinary, 16 * kib, start + 2000ms));
    EXPECT_FALSE(account.grow(ordinary, 17 * kib, start + 2000ms)) << "it is large now";
    EXPECT_EQ(closed(), std::vector{slowButOrdinary}) << "only what still waits for its client can be closed";
}

// Guards against a request that is closed while it runs, and against a wait for a request that is closed in place of one.
TEST_F(MemoryAccountTest, ClosesOnlyWhatWaitsForItsClient)
{
    const auto handled = account.add(start);
    account.set(handled, phase::handling, budget / 2, start);
    const auto idle = account.add(start);
    account.set(idle, phase::idle, 0, start);
    const auto sending = account.add(start + 10ms);
    account.set(sending, phase::sending, budget / 2, start + 10ms);
    const auto next = account.add(start + 20ms);
    account.set(next, phase::sending, budget / 4, start + 20ms);
    EXPECT_EQ(closed(), std::vector{sending});
}

// Guards against a request that runs after its client was told that it never does.
TEST_F(MemoryAccountTest, AClosedRequestIsNotHandled)
{
    const auto late = receive(1 * kib, 0ms);
    account.close(late);
    account.close(late);
    EXPECT_EQ(account.used(), 0U);
    EXPECT_FALSE(account.set(late, phase::handling, 1 * kib, start));
    EXPECT_EQ(account.used(), 0U);
    account.remove(late);
    EXPECT_EQ(account.used(), 0U);
}

// Guards against clients that count as making progress although they send or take single bytes.
TEST_F(MemoryAccountTest, SingleBytesAreNoProgress)
{
    const auto dribbling = receive(large, 0ms);
    for (int i = 1; i <= 100; ++i) {
        account.recordTransfer(dribbling, 1, start + i * 1s);
    }
    EXPECT_EQ(account.lastProgress(dribbling), start);
    account.recordTransfer(dribbling, memory_account::progressBytes, start + 101s);
    EXPECT_EQ(account.lastProgress(dribbling), start + 101s);
}

// Guards against a process with little memory that never serves a request within the limits, and against a limit where none is set.
TEST_F(MemoryAccountTest, ASingleRequestIsAdmitted)
{
    EXPECT_TRUE(account.admitsLarge(budget));
    receive(large + 1, 0ms);
    EXPECT_FALSE(account.admitsLarge(budget));
    memory_account unlimited(0);
    const auto id = unlimited.add(start);
    EXPECT_TRUE(unlimited.grow(id, std::size_t{1} << 40, start));
    EXPECT_TRUE(unlimited.admitsLarge(std::size_t{1} << 40));
}
