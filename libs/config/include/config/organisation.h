#pragma once

#include <config/key_digest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// A customer whose requests carry one of its keys.
struct organisation {
    std::string name;
    std::vector<key_digest> keys;
    std::optional<std::uint32_t> priority; ///< 0 is the highest; takes precedence over route::priority.
    double requestsPerSecond = 0; ///< Cap over all hosts together; 0: none.
    double burst = 0; ///< Requests allowed at once in addition to the rate.

    /// @return True when the requests of the organisation are limited.
    [[nodiscard]] bool capped() const { return requestsPerSecond > 0; }
};

} // namespace orioledrum
