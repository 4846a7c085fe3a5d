#pragma once

#include <base/event.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace orioledrum
{

/// Ring buffer of the latest events of a process. Old events are overwritten. Thread-safe.
class event_ring
{
public:
    /// @param capacity Maximum number of stored events; 0 counts as 1.
    explicit event_ring(std::size_t capacity);
    ~event_ring();
    event_ring(const event_ring &) = delete;
    event_ring &operator=(const event_ring &) = delete;

    /// Stores an event. Sets its sequence, and its wall time if unset.
    void record(event entry);

    /// @param afterSequence Only events with a greater sequence are returned; 0 returns the stored events from the oldest.
    /// @param limit Maximum number of returned events. Later events are left out.
    /// @return The events in ascending order of their sequence.
    [[nodiscard]] std::vector<event> eventsAfter(std::uint64_t afterSequence, std::size_t limit) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
