#include <membership/freshness.h>

namespace orioledrum
{

freshness::freshness(std::chrono::milliseconds validity, std::chrono::milliseconds answerTimeout)
    : m_validity(validity)
    , m_answerTimeout(answerTimeout)
{
}

bool freshness::mayStartWork(time_point now)
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
    m_markedStale.store(true, std::memory_order_release);
}

bool freshness::confirm(time_point requestedAt, time_point now)
{
    // Two kinds of answers are too old to confirm the configuration: those whose validity has already ended, and those to
    // requests that were sent before the host became stale.
    if (now - requestedAt >= m_validity || (m_staleReported && requestedAt < m_staleSince)) {
        return false;
    }
    const time_point until = requestedAt + m_validity;
    if (until > freshUntil()) {
        m_freshUntil.store(until.time_since_epoch().count(), std::memory_order_release);
    }
    if (m_markedStale.load(std::memory_order_acquire)
        || (!m_staleReported && m_state.load(std::memory_order_acquire) != freshness_state::fresh)) {
        // becameStale() must report the change to stale before the state can become fresh again, so that the leases are ended.
        return false;
    }
    const bool changed = m_staleReported;
    m_staleReported = false;
    m_revalidationSent = false;
    m_state.store(freshness_state::fresh, std::memory_order_release);
    return changed;
}

bool freshness::becameStale(time_point now)
{
    const bool markedStale = m_markedStale.exchange(false, std::memory_order_acq_rel);
    const freshness_state state = m_state.load(std::memory_order_acquire);
    const bool expired = state == freshness_state::fresh && now >= freshUntil();
    if (!markedStale && !expired && (state == freshness_state::fresh || m_staleReported)) {
        return false;
    }
    m_state.store(freshness_state::stale, std::memory_order_release);
    m_staleReported = true;
    m_revalidationSent = false;
    m_staleSince = now;
    return true;
}

void freshness::recordRevalidationSent(time_point now)
{
    m_revalidationSent = true;
    m_revalidationSentAt = now;
}

bool freshness::becameIsolated(time_point now)
{
    if (!m_staleReported || !m_revalidationSent || m_state.load(std::memory_order_acquire) != freshness_state::stale
        || now - m_revalidationSentAt < m_answerTimeout) {
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
