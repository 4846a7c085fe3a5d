#pragma once

#include <base/random_source.h>
#include <standin/backend_settings.h>

#include <chrono>
#include <optional>

namespace orioledrum::standin
{

/// Draws service times from a seeded log-normal distribution with slow and unanswered calls.
class service_times
{
public:
    explicit service_times(std::uint64_t seed);

    /// @param cold True to apply the cold factor.
    /// @return The time of the next call; nothing when it must never be answered.
    std::optional<std::chrono::microseconds> draw(const service_time_settings &settings, bool cold);

    /// @return True with the given probability.
    bool chance(double share);

private:
    random_source m_random;
};

} // namespace orioledrum::standin
