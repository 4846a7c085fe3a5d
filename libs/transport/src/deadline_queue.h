#pragma once

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace asio
{
class io_context;
}

namespace orioledrum
{

/// Deadlines of many calls that share one timer. The timer is armed again only when it has expired or when a deadline is added
/// that is earlier than its expiry, so that starting and ending a call usually does not change the timer.
class deadline_queue
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @param context Runs the timer.
    /// @param onDue Called with the key of each deadline that has passed, after the deadline was removed. It may destroy
    /// the queue, and it is not called after the queue is destroyed.
    deadline_queue(asio::io_context &context, std::function<void(std::uint64_t key)> onDue);
    ~deadline_queue();
    deadline_queue(const deadline_queue &) = delete;
    deadline_queue &operator=(const deadline_queue &) = delete;

    /// Adds a deadline.
    /// @param key Passed to onDue; identifies the deadline together with its time.
    /// @param deadline Earliest time at which onDue is called.
    void add(std::uint64_t key, time_point deadline);
    /// Removes a deadline that was added with the same arguments. Has no effect when onDue was already called for it.
    void remove(std::uint64_t key, time_point deadline);

private:
    void arm();
    void fire();

    asio::steady_timer m_timer;
    std::function<void(std::uint64_t)> m_onDue;
    std::set<std::pair<time_point, std::uint64_t>> m_entries;
    time_point m_armedFor = time_point::max(); ///< max() while the timer is not armed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace orioledrum
