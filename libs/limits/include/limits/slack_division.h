#pragma once

#include <cstdint>

namespace orioledrum
{

/// Among how many hosts the slack of extra calls is divided, as one host sees it. Both numbers are at least 1.
struct slack_division {
    /// Bounds the tokens that a host may save up from its requests.
    std::uint32_t capacityHosts = 1;
    /// Bounds the tokens that a host gets without requests. Larger than capacityHosts after a start: an earlier process of the host may
    /// have used its part a moment ago.
    std::uint32_t grantHosts = 1;

    bool operator==(const slack_division &) const = default;
};

} // namespace orioledrum
