#pragma once

#include <base/random_source.h>
#include <standin/backend_settings.h>

#include <chrono>
#include <optional>

namespace orioledrum::standin
{

/// Draws service times from a log-normal distribution, mixed with slow and unanswered calls. Equal seeds and equal calls yield equal
/// sequences.
class service_time_sampler
{
public:
    explicit service_time_sampler(std::uint64_t seed);

    /// @param cold True multiplies the service time by the cold factor.
    /// @return Service time of the next call, or std::nullopt when the call must never be answered.
    std::optional<std::chrono::microseconds> draw(const service_time_settings &settings, bool cold);

    /// Draws a random number only when the probability is positive.
    /// @return True with the given probability.
    bool nextBool(double probability);

private:
    random_source m_random;
};

} // namespace orioledrum::standin
