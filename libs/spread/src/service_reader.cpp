#include "service_reader.h"

#include <algorithm>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

/// The service bears 2,000 calls a second; fallback reads of the whole fleet take at most half of them.
constexpr std::size_t fallbackReadsPerSecond = 1000;
constexpr std::chrono::milliseconds minFallbackWindow = 1s;
/// Pause after a call that brought nothing; without it a stale or failing service would be called in a tight loop.
constexpr std::chrono::milliseconds retryPause = 500ms;
/// A whole set is up to 1 MB, which every 5 minutes is 3.5 KB/s on a reader, within its 28 KB/s.
constexpr std::chrono::minutes verifyInterval = 5min;
/// Time after the end of a call's wait at which a call that was never reported as finished is given up.
constexpr std::chrono::milliseconds callGrace = 1500ms;

} // namespace

service_reader::service_reader(std::chrono::milliseconds watchWait, random_source &random)
    : m_watchWait(watchWait)
    , m_random(random)
{
}

void service_reader::setRole(bool reader, std::size_t fleetSize, time_point now)
{
    m_fleetSize = std::max<std::size_t>(fleetSize, 1);
    if (!m_roleKnown) {
        // When a whole fleet starts at once, its first reads are spread like fallback reads.
        m_nextRead = now + randomBelow(std::chrono::nanoseconds(1s) * m_fleetSize / fallbackReadsPerSecond);
        m_nextVerify = m_nextRead + verifyInterval;
        m_roleKnown = true;
    }
    m_reader = reader;
}

std::optional<read_service_action> service_reader::poll(revision_number after, bool overdue, time_point now)
{
    if (m_outstanding && now > m_sentAt + m_wait + callGrace) {
        finish(m_lastCall, call_result::useless, now);
    }
    if (m_outstanding || !m_roleKnown || !due(overdue, now)) {
        return std::nullopt;
    }
    m_outstanding = true;
    m_startRead = false;
    m_sentAt = now;
    m_wait = m_reader ? m_watchWait : 0ms;
    if (m_reader && now >= m_nextVerify) {
        m_nextVerify = now + verifyInterval;
        after = 0;
    }
    return read_service_action{++m_lastCall, after, m_wait};
}

bool service_reader::due(bool overdue, time_point now)
{
    if (!overdue) {
        m_windowStart.reset();
    }
    if (m_reader || m_startRead) {
        return now >= m_nextRead;
    }
    if (!overdue) {
        return false;
    }
    if (!m_windowStart || now > *m_windowStart + 2 * window()) {
        m_windowStart = now;
        m_fallbackAt = now + randomBelow(window());
    }
    if (now < m_fallbackAt) {
        return false;
    }
    // One read in each window keeps the rate of the fleet at its bound for as long as the service is down.
    *m_windowStart += window();
    m_fallbackAt = *m_windowStart + randomBelow(window());
    return true;
}

bool service_reader::finish(std::uint64_t call, call_result result, time_point now)
{
    if (!isOutstanding(call)) {
        return false;
    }
    m_outstanding = false;
    switch (result) {
    case call_result::progress:
        m_nextRead = now;
        break;
    case call_result::unchanged:
        // A service that answers before the wait is over must not be called again at once.
        m_nextRead = std::max(now, m_sentAt + std::max(m_wait, retryPause));
        break;
    case call_result::useless:
        m_nextRead = now + retryPause + randomBelow(retryPause);
        break;
    }
    return true;
}

std::chrono::nanoseconds service_reader::window() const
{
    return std::max<std::chrono::nanoseconds>(minFallbackWindow, std::chrono::nanoseconds(1s) * m_fleetSize / fallbackReadsPerSecond);
}

std::chrono::nanoseconds service_reader::randomBelow(std::chrono::nanoseconds bound)
{
    return bound.count() <= 0 ? 0ns : std::chrono::nanoseconds(m_random.below(static_cast<std::uint64_t>(bound.count())));
}

} // namespace orioledrum
