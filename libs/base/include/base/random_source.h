#pragma once

#include <cstdint>
#include <string>

namespace orioledrum
{

/// Seeded pseudo-random generator (SplitMix64). Not thread-safe and not for secrets.
class random_source
{
public:
    /// @param seed Start state; equal seeds give equal sequences.
    explicit random_source(std::uint64_t seed);

    /// @return A source seeded by the operating system.
    static random_source fromSystem();

    /// @return The next 64 random bits.
    std::uint64_t next();

    /// @param bound Exclusive upper bound, greater than 0.
    /// @return A number in [0, bound).
    std::uint64_t below(std::uint64_t bound);

    /// @return A number in [0, 1).
    double unit();

    /// @return 32 hexadecimal digits.
    std::string hexId();

private:
    std::uint64_t m_state;
};

} // namespace orioledrum
