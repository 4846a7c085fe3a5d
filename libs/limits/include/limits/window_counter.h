#pragma once

#include <base/monotonic_clock.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace orioledrum
{

/// Counts events in a sliding window, in slots of a fixed length, so that its size does not depend on their number. An event counts for
/// the window and at most one slot longer. Not thread-safe.
class window_counter
{
public:
    static constexpr std::size_t slotsPerWindow = 10;

    explicit window_counter(std::chrono::microseconds window);

    void add(std::uint32_t events, time_point now);
    [[nodiscard]] std::uint32_t count(time_point now);
    /// @return Time after which count() will be lower; the window when there are no events.
    [[nodiscard]] std::chrono::microseconds timeUntilLower(time_point now);

private:
    struct slot {
        std::int64_t number = -1;
        std::uint32_t events = 0;
    };

    [[nodiscard]] std::int64_t slotNumber(time_point now) const;
    [[nodiscard]] bool counts(const slot &each, std::int64_t current) const;

    std::chrono::microseconds m_slotLength;
    std::array<slot, slotsPerWindow + 1> m_slots;
};

} // namespace orioledrum
