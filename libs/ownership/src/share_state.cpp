#include <ownership/share_state.h>

namespace orioledrum
{

void share_state::allow(std::uint32_t hosts, time_point until)
{
    m_hosts.store(hosts, std::memory_order_relaxed);
    m_until.store(until.time_since_epoch().count(), std::memory_order_release);
}

void share_state::revoke()
{
    m_until.store(0, std::memory_order_release);
}

std::uint32_t share_state::divisor(time_point now) const
{
    const time_point until{monotonic_clock::duration(m_until.load(std::memory_order_acquire))};
    return now < until ? m_hosts.load(std::memory_order_relaxed) : 0;
}

} // namespace orioledrum
