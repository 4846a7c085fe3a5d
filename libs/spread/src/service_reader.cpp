#include "service_reader.h"

#include <algorithm>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

/// Limit for the whole fleet: half of the 2,000 calls per second that the configuration service can handle.
constexpr std::size_t fallbackReadsPerSecond = 1000;
constexpr std::chrono::milliseconds minFallbackWindow = 1s;
/// Minimum delay after a call without a new revision. Without it a stale or failing service would be called in a tight loop.
constexpr std::chrono::milliseconds retryDelay = 500ms;
/// A full set of files has up to 1 MB. One set every 5 minutes is 3.5 KB/s for a reader, within its budget of 28 KB/s.
constexpr std::chrono::minutes unconditionalReadInterval = 5min;
/// A call whose result is not reported within this time after the end of its long poll counts as failed.
constexpr std::chrono::milliseconds unreportedCallGrace = 1500ms;

} // namespace

service_reader::service_reader(std::chrono::milliseconds maxLongPollWait, random_source &random)
    : m_maxLongPollWait(maxLongPollWait)
    , m_random(random)
{
}

void service_reader::setRole(bool reader, std::size_t fleetSize, time_point now)
{
    m_fleetSize = std::max<std::size_t>(fleetSize, 1);
    if (!m_roleKnown) {
        // The whole fleet may start at once. The random delay limits the rate of start reads to that of fallback reads.
        m_nextRead = now + randomBelow(std::chrono::nanoseconds(1s) * m_fleetSize / fallbackReadsPerSecond);
        m_nextUnconditionalRead = m_nextRead + unconditionalReadInterval;
        m_roleKnown = true;
    }
    m_isReader = reader;
}

std::optional<fetch_config_action> service_reader::startDueCall(revision_number after, bool confirmationOverdue, time_point now)
{
    if (m_outstanding && now > m_sentAt + m_longPollWait + unreportedCallGrace) {
        finishCall(m_lastCall, call_result::failed, now);
    }
    if (m_outstanding || !m_roleKnown || !checkCallDue(confirmationOverdue, now)) {
        return std::nullopt;
    }
    m_outstanding = true;
    m_startReadPending = false;
    m_sentAt = now;
    m_longPollWait = m_isReader ? m_maxLongPollWait : 0ms;
    if (m_isReader && now >= m_nextUnconditionalRead) {
        m_nextUnconditionalRead = now + unconditionalReadInterval;
        after = 0;
    }
    return fetch_config_action{++m_lastCall, after, m_longPollWait};
}

bool service_reader::checkCallDue(bool confirmationOverdue, time_point now)
{
    if (!confirmationOverdue) {
        m_fallbackWindowStart.reset();
    }
    if (m_isReader || m_startReadPending) {
        return now >= m_nextRead;
    }
    if (!confirmationOverdue) {
        return false;
    }
    if (!m_fallbackWindowStart || now > *m_fallbackWindowStart + 2 * fallbackWindow()) {
        m_fallbackWindowStart = now;
        m_nextFallbackRead = now + randomBelow(fallbackWindow());
    }
    if (now < m_nextFallbackRead) {
        return false;
    }
    // One read per host in each window keeps the fleet within fallbackReadsPerSecond while the service is down.
    *m_fallbackWindowStart += fallbackWindow();
    m_nextFallbackRead = *m_fallbackWindowStart + randomBelow(fallbackWindow());
    return true;
}

bool service_reader::finishCall(std::uint64_t call, call_result result, time_point now)
{
    if (!isOutstanding(call)) {
        return false;
    }
    m_outstanding = false;
    switch (result) {
    case call_result::newRevision:
        m_nextRead = now;
        break;
    case call_result::unchanged:
        // If the service answers before the end of the long poll, the next call still waits for that end, or for retryDelay.
        m_nextRead = std::max(now, m_sentAt + std::max(m_longPollWait, retryDelay));
        break;
    case call_result::failed:
        m_nextRead = now + retryDelay + randomBelow(retryDelay);
        break;
    }
    return true;
}

std::chrono::nanoseconds service_reader::fallbackWindow() const
{
    return std::max<std::chrono::nanoseconds>(minFallbackWindow, std::chrono::nanoseconds(1s) * m_fleetSize / fallbackReadsPerSecond);
}

std::chrono::nanoseconds service_reader::randomBelow(std::chrono::nanoseconds bound)
{
    return bound.count() <= 0 ? 0ns : std::chrono::nanoseconds(m_random.below(static_cast<std::uint64_t>(bound.count())));
}

} // namespace orioledrum
