#include <base/processor_meter.h>

#include <algorithm>
#include <ctime>

namespace orioledrum
{

processor_meter::processor_meter(std::uint32_t millicores)
    : m_millicores(std::max(1U, millicores))
{
}

void processor_meter::sample(std::chrono::nanoseconds used, time_point now)
{
    if (!m_sampled) {
        m_sampled = true;
        m_lastUsed = used;
        m_lastAt = now;
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - m_lastAt).count();
    if (now - m_lastAt < minInterval) {
        return;
    }
    const auto cores = std::chrono::duration<double>(used - m_lastUsed).count() / elapsed;
    m_usedPercent = static_cast<std::uint32_t>(std::clamp(cores * 1000 / m_millicores * 100, 0.0, 100.0));
    m_lastUsed = used;
    m_lastAt = now;
}

std::chrono::nanoseconds processor_meter::processTime()
{
    timespec spec{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spec);
    return std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec);
}

} // namespace orioledrum
