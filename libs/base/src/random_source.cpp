#include <base/random_source.h>

#include <array>
#include <random>

namespace orioledrum
{

namespace
{
__extension__ using uint128 = unsigned __int128;
} // namespace

random_source::random_source(std::uint64_t seed)
    : m_state(seed)
{
}

random_source random_source::fromSystem()
{
    std::random_device device;
    return random_source((std::uint64_t{device()} << 32) ^ device());
}

std::uint64_t random_source::next()
{
    m_state += 0x9E3779B97F4A7C15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBU;
    return mixed ^ (mixed >> 31);
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    // Multiply-shift maps 64 random bits to [0, bound) with a bias below 2^-32 for bounds under 2^32.
    return static_cast<std::uint64_t>((static_cast<uint128>(next()) * bound) >> 64);
}

double random_source::nextDouble()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

std::string random_source::hexId()
{
    static constexpr std::array<char, 16> digits = {'0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    std::string text;
    text.reserve(32);
    for (int half = 0; half < 2; ++half) {
        std::uint64_t bits = next();
        for (int digit = 0; digit < 16; ++digit) {
            text.push_back(digits[bits & 15U]);
            bits >>= 4;
        }
    }
    return text;
}

} // namespace orioledrum
