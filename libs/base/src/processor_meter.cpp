#include <base/processor_meter.h>

#include <sys/resource.h>

#include <algorithm>

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
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto toDuration = [](const timeval &time) { return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec); };
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

} // namespace orioledrum
