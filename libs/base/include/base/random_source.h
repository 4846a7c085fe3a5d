#pragma once

#include <cstdint>
#include <string>

namespace orioledrum
{

/// Seeded pseudo-random number generator (SplitMix64). Not thread-safe, and not suitable for secrets.
class random_source
{
public:
    /// @param seed Initial state; equal seeds give equal sequences.
    explicit random_source(std::uint64_t seed);

    /// @return A generator seeded by the operating system.
    static random_source fromSystem();

    /// @return The next 64 pseudo-random bits.
    std::uint64_t next();

    /// @param bound Exclusive upper bound, greater than 0.
    /// @return An integer in [0, bound), uniformly distributed except for a negligible bias.
    std::uint64_t below(std::uint64_t bound);

    /// @return A number in [0, 1), uniformly distributed.
    double nextDouble();

    /// @return 32 lower-case hexadecimal digits, for example for an incarnation_id.
    std::string hexId();

private:
    std::uint64_t m_state;
};

} // namespace orioledrum
