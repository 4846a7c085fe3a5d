#include <standin/service_times.h>

#include <cmath>
#include <numbers>

namespace orioledrum::standin
{

service_time_sampler::service_time_sampler(std::uint64_t seed)
    : m_random(seed)
{
}

std::optional<std::chrono::microseconds> service_time_sampler::draw(const service_time_settings &settings, bool cold)
{
    const double selector = m_random.nextDouble();
    // Always draw three random numbers per call so that the random sequence does not depend on the service time settings.
    const double radius = std::sqrt(-2 * std::log(1 - m_random.nextDouble()));
    const double normal = radius * std::cos(2 * std::numbers::pi * m_random.nextDouble());
    if (selector < settings.unansweredShare) {
        return std::nullopt;
    }
    double milliseconds = settings.medianMs * std::exp(settings.sigma * normal);
    if (selector < settings.unansweredShare + settings.slowShare) {
        milliseconds = settings.slowMs;
    }
    if (cold) {
        milliseconds *= settings.coldFactor;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

bool service_time_sampler::nextBool(double probability)
{
    return probability > 0 && m_random.nextDouble() < probability;
}

} // namespace orioledrum::standin
