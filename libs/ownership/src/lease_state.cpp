#include <ownership/lease_state.h>

namespace orioledrum
{

namespace
{

time_point load(const std::atomic<monotonic_clock::rep> &value)
{
    return time_point(monotonic_clock::duration(value.load(std::memory_order_acquire)));
}

void store(std::atomic<monotonic_clock::rep> &value, time_point time)
{
    value.store(time.time_since_epoch().count(), std::memory_order_release);
}

} // namespace

void lease_state::extend(time_point end)
{
    store(m_expiry, end);
}

void lease_state::setZoneVotesUntil(time_point end)
{
    store(m_zoneVotesUntil, end);
}

void lease_state::setIsolationWaitStart(time_point start)
{
    store(m_isolationWaitStart, start);
}

void lease_state::revoke()
{
    m_expiry.store(0, std::memory_order_release);
}

time_point lease_state::expiry() const
{
    return load(m_expiry);
}

time_point lease_state::zoneVotesUntil() const
{
    return load(m_zoneVotesUntil);
}

time_point lease_state::isolationWaitStart() const
{
    return load(m_isolationWaitStart);
}

} // namespace orioledrum
