#include <membership/freshness.h>

namespace orioledrum
{

freshness::freshness(std::chrono::milliseconds validity, std::chrono::milliseconds answerWait)
    : m_validity(validity)
    , m_answerWait(answerWait)
{
}

bool freshness::mayWork(time_point now)
{
    const freshness_state state = m_state.load(std::memory_order_acquire);
    if (state == freshness_state::isolated) {
        return true;
    }
    if (state == freshness_state::stale) {
        return false;
    }
    if (now < freshUntil()) {
        return true;
    }
    markStale();
    return false;
}

void freshness::markStale()
{
    m_state.store(freshness_state::stale, std::memory_order_release);
    m_marked.store(true, std::memory_order_release);
}

bool freshness::confirm(time_point askedAt, time_point now)
{
    // An answer that has been on its way for longer than the validity confirms nothing about the present.
    if (now - askedAt >= m_validity || (m_reported && askedAt < m_staleSince)) {
        return false;
    }
    const time_point until = askedAt + m_validity;
    if (until > freshUntil()) {
        m_freshUntil.store(until.time_since_epoch().count(), std::memory_order_release);
    }
    if (m_marked.load(std::memory_order_acquire) || (!m_reported && m_state.load(std::memory_order_acquire) != freshness_state::fresh)) {
        // Staleness that becameStale has not reported yet comes first, so that leases are ended.
        return false;
    }
    const bool changed = m_reported;
    m_reported = false;
    m_asked = false;
    m_state.store(freshness_state::fresh, std::memory_order_release);
    return changed;
}

bool freshness::becameStale(time_point now)
{
    const bool marked = m_marked.exchange(false, std::memory_order_acq_rel);
    const freshness_state state = m_state.load(std::memory_order_acquire);
    const bool passed = state == freshness_state::fresh && now >= freshUntil();
    if (!marked && !passed && (state == freshness_state::fresh || m_reported)) {
        return false;
    }
    m_state.store(freshness_state::stale, std::memory_order_release);
    m_reported = true;
    m_asked = false;
    m_staleSince = now;
    return true;
}

void freshness::asked(time_point now)
{
    m_asked = true;
    m_askedAt = now;
}

bool freshness::becameIsolated(time_point now)
{
    if (!m_reported || !m_asked || m_state.load(std::memory_order_acquire) != freshness_state::stale || now - m_askedAt < m_answerWait) {
        return false;
    }
    m_state.store(freshness_state::isolated, std::memory_order_release);
    return true;
}

time_point freshness::freshUntil() const
{
    return time_point(monotonic_clock::duration(m_freshUntil.load(std::memory_order_acquire)));
}

} // namespace orioledrum
