#include <first_state.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// The shortest time between questions, so that a very short bound does not make hosts ask without a pause.
constexpr std::chrono::milliseconds minRetryInterval{50};

} // namespace

first_state::timing first_state::timing::within(std::chrono::milliseconds bound)
{
    timing result;
    // Membership sends complete digests each 250 ms while it grows; with a bound of 3 s, the second exchange ends within it.
    result.peerWait = bound / 8;
    // Hosts that start together know one another after some tens of milliseconds, unless the machines are overloaded.
    result.aloneWait = bound / 32;
    result.retryInterval = std::max(minRetryInterval, bound / 20);
    result.deadline = bound / 4;
    return result;
}

first_state::first_state(const timing &times)
    : m_times(times)
{
}

void first_state::start(time_point now)
{
    m_startedAt = now;
}

void first_state::setReaders(std::vector<std::string> readers, bool selfIsReader, bool otherZonesKnown)
{
    if (readers != m_readers) {
        m_failed.clear();
        m_askAgainAt.reset();
    }
    m_readers = std::move(readers);
    m_selfIsReader = selfIsReader;
    m_otherZonesKnown = otherZonesKnown;
}

void first_state::readerFailed()
{
    m_failed.push_back(std::exchange(m_asked, {}));
}

first_state::decision first_state::next(time_point now)
{
    if (!m_startedAt || now >= *m_startedAt + m_times.deadline) {
        return read_source{};
    }
    const auto peersKnownAt = *readsSourceAt();
    if (m_selfIsReader && now >= peersKnownAt) {
        return read_source{};
    }
    if (!m_asked.empty()) {
        return wait{};
    }
    if (m_askAgainAt && now >= *m_askAgainAt) {
        m_failed.clear();
        m_askAgainAt.reset();
    }
    const auto reader = std::find_if(m_readers.begin(), m_readers.end(), [&](const std::string &address) {
        return std::find(m_failed.begin(), m_failed.end(), address) == m_failed.end();
    });
    if (reader == m_readers.end()) {
        if (now >= peersKnownAt) {
            return read_source{};
        }
        if (!m_readers.empty() && !m_askAgainAt) {
            m_askAgainAt = now + m_times.retryInterval;
        }
        return wait{};
    }
    m_asked = *reader;
    // Of two readers that start together, none must wait for the other one. Any other host can wait: a reader that ends breaks its
    // connection, and for one that freezes the deadline remains.
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*m_startedAt + m_times.deadline - now);
    return ask{m_asked, m_selfIsReader ? std::chrono::milliseconds(0) : left, left};
}

std::optional<time_point> first_state::readsSourceAt() const
{
    if (!m_startedAt) {
        return std::nullopt;
    }
    return *m_startedAt + (m_readers.empty() && m_otherZonesKnown ? m_times.aloneWait : m_times.peerWait);
}

time_point first_state::nextTick() const
{
    if (!m_startedAt) {
        return time_point::max();
    }
    if (m_selfIsReader || m_asked.empty()) {
        return std::min(*readsSourceAt(), m_askAgainAt.value_or(time_point::max()));
    }
    return *m_startedAt + m_times.deadline;
}

} // namespace orioledrum
