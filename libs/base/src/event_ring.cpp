#include <base/event_ring.h>

#include <algorithm>
#include <mutex>

namespace orioledrum
{

std::string_view toString(event_kind kind)
{
    switch (kind) {
    case event_kind::searchStarted:
        return "searchStarted";
    case event_kind::searchFinished:
        return "searchFinished";
    case event_kind::attemptSent:
        return "attemptSent";
    case event_kind::attemptAnswered:
        return "attemptAnswered";
    case event_kind::attemptFailed:
        return "attemptFailed";
    case event_kind::hedgeSent:
        return "hedgeSent";
    case event_kind::retrySent:
        return "retrySent";
    case event_kind::requestRefused:
        return "requestRefused";
    case event_kind::orderSent:
        return "orderSent";
    case event_kind::orderFinished:
        return "orderFinished";
    case event_kind::leaseAcquired:
        return "leaseAcquired";
    case event_kind::leaseLost:
        return "leaseLost";
    case event_kind::leaseReleased:
        return "leaseReleased";
    case event_kind::configApplied:
        return "configApplied";
    case event_kind::configRejected:
        return "configRejected";
    case event_kind::hostListApplied:
        return "hostListApplied";
    case event_kind::peerUp:
        return "peerUp";
    case event_kind::peerDown:
        return "peerDown";
    case event_kind::backendStateChanged:
        return "backendStateChanged";
    case event_kind::pauseDetected:
        return "pauseDetected";
    case event_kind::readinessChanged:
        return "readinessChanged";
    case event_kind::shutdownStarted:
        return "shutdownStarted";
    }
    return "unknown";
}

struct event_ring::impl {
    mutable std::mutex mutex;
    std::vector<event> entries;
    std::uint64_t nextSequence = 1;
};

event_ring::event_ring(std::size_t capacity)
    : m_impl(std::make_unique<impl>())
{
    m_impl->entries.resize(std::max<std::size_t>(capacity, 1));
}

event_ring::~event_ring() = default;

void event_ring::record(event entry)
{
    if (entry.wallTime == std::chrono::system_clock::time_point{}) {
        entry.wallTime = std::chrono::system_clock::now();
    }
    const std::lock_guard lock(m_impl->mutex);
    entry.sequence = m_impl->nextSequence++;
    auto &ringEntry = m_impl->entries[entry.sequence % m_impl->entries.size()];
    ringEntry = std::move(entry);
}

std::vector<event> event_ring::eventsAfter(std::uint64_t afterSequence, std::size_t limit) const
{
    const std::lock_guard lock(m_impl->mutex);
    const std::uint64_t capacity = m_impl->entries.size();
    const std::uint64_t oldest = m_impl->nextSequence > capacity ? m_impl->nextSequence - capacity : 1;
    std::vector<event> events;
    for (std::uint64_t sequence = std::max(oldest, afterSequence + 1); sequence < m_impl->nextSequence && events.size() < limit;
         ++sequence) {
        events.push_back(m_impl->entries[sequence % capacity]);
    }
    return events;
}

} // namespace orioledrum
