#pragma once

#include <base/event.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace orioledrum
{

/// Bounded, thread-safe store of the latest events of a process. Old events are overwritten.
class event_ring
{
public:
    /// @param capacity Number of events kept, at least 1.
    explicit event_ring(std::size_t capacity);
    ~event_ring();
    event_ring(const event_ring &) = delete;
    event_ring &operator=(const event_ring &) = delete;

    /// Stores an event; the ring sets its sequence and, when it is unset, its wall time.
    void record(event entry);

    /// @param afterSequence Only events with a greater sequence are returned; 0 returns all that are kept.
    /// @param limit Greatest number of events returned, the oldest first.
    /// @return The events in order of their sequence.
    [[nodiscard]] std::vector<event> eventsAfter(std::uint64_t afterSequence, std::size_t limit) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
