#include <standin/service_times.h>

#include <cmath>
#include <numbers>

namespace orioledrum::standin
{

service_times::service_times(std::uint64_t seed)
    : m_random(seed)
{
}

std::optional<std::chrono::microseconds> service_times::draw(const service_time_settings &settings, bool cold)
{
    const double kind = m_random.nextDouble();
    // Three numbers are drawn for each call so that the sequence does not depend on the settings.
    const double radius = std::sqrt(-2 * std::log(1 - m_random.nextDouble()));
    const double normal = radius * std::cos(2 * std::numbers::pi * m_random.nextDouble());
    if (kind < settings.neverShare) {
        return std::nullopt;
    }
    double milliseconds = settings.medianMs * std::exp(settings.sigma * normal);
    if (kind < settings.neverShare + settings.slowShare) {
        milliseconds = settings.slowMs;
    }
    if (cold) {
        milliseconds *= settings.coldFactor;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

bool service_times::chance(double share)
{
    return share > 0 && m_random.nextDouble() < share;
}

} // namespace orioledrum::standin
