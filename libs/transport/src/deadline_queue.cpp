#include <deadline_queue.h>

#include <asio/io_context.hpp>

namespace orioledrum
{

deadline_queue::deadline_queue(asio::io_context &context, std::function<void(std::uint64_t)> onDue)
    : m_timer(context)
    , m_onDue(std::move(onDue))
{
}

deadline_queue::~deadline_queue()
{
    *m_alive = false;
}

void deadline_queue::add(std::uint64_t key, time_point deadline)
{
    m_entries.emplace(deadline, key);
    arm();
}

void deadline_queue::remove(std::uint64_t key, time_point deadline)
{
    m_entries.erase({deadline, key});
}

void deadline_queue::arm()
{
    // A timer that is armed for an earlier time is left as it is; fire() arms it again.
    if (m_entries.empty() || m_armedFor <= m_entries.begin()->first) {
        return;
    }
    m_armedFor = m_entries.begin()->first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this, alive = m_alive](const asio::error_code &code) {
        if (!code && *alive) {
            fire();
        }
    });
}

void deadline_queue::fire()
{
    const auto alive = m_alive;
    m_armedFor = time_point::max();
    const auto now = std::chrono::steady_clock::now();
    while (!m_entries.empty() && m_entries.begin()->first <= now) {
        const auto key = m_entries.begin()->second;
        m_entries.erase(m_entries.begin());
        m_onDue(key);
        if (!*alive) {
            return;
        }
    }
    arm();
}

} // namespace orioledrum
