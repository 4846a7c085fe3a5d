#include <limits/window_counter.h>

#include <algorithm>

namespace orioledrum
{

window_counter::window_counter(std::chrono::microseconds window)
    : m_slotLength(std::max(std::chrono::microseconds(1), window / static_cast<std::int64_t>(slotsPerWindow)))
{
}

void window_counter::add(std::uint32_t events, time_point now)
{
    const auto current = slotNumber(now);
    auto &target = m_slots[static_cast<std::size_t>(current) % m_slots.size()];
    if (target.number != current) {
        target = {current, 0};
    }
    target.events += events;
}

std::uint32_t window_counter::count(time_point now)
{
    const auto current = slotNumber(now);
    std::uint32_t sum = 0;
    for (const auto &each : m_slots) {
        sum += counts(each, current) ? each.events : 0;
    }
    return sum;
}

std::chrono::microseconds window_counter::timeUntilLower(time_point now)
{
    const auto current = slotNumber(now);
    auto oldest = current;
    for (const auto &each : m_slots) {
        if (counts(each, current) && each.events > 0) {
            oldest = std::min(oldest, each.number);
        }
    }
    const auto end = time_point(m_slotLength * (oldest + static_cast<std::int64_t>(m_slots.size())));
    return std::chrono::ceil<std::chrono::microseconds>(end - now);
}

std::int64_t window_counter::slotNumber(time_point now) const
{
    return now.time_since_epoch() / m_slotLength;
}

bool window_counter::counts(const slot &each, std::int64_t current) const
{
    return each.number >= 0 && current - each.number < static_cast<std::int64_t>(m_slots.size());
}

} // namespace orioledrum
