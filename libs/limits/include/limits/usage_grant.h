#pragma once

#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// Answer to a request for tokens of an organisation.
struct usage_grant {
    enum class kind : std::uint8_t {
        granted,
        refused, ///< The cap is reached.
        unavailable, ///< The asked host may not hand out tokens now, or does not know the organisation.
    };

    kind result = kind::unavailable;
    std::uint32_t tokens = 0; ///< Number of tokens, at least 1 when granted.
    std::chrono::microseconds retryAfter{0}; ///< When refused: time after which a token is expected to be available.

    bool operator==(const usage_grant &) const = default;
};

} // namespace orioledrum
