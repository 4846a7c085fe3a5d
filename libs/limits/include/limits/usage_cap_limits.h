#pragma once

#include <chrono>

namespace orioledrum
{

/// Bound on the requests of an organisation with a cap, over all hosts: in any window at most
/// (rate * window + burst) * (1 + overshoot) + slack requests may run.
struct usage_cap_limits {
    std::chrono::milliseconds window{0}; ///< Length of the sliding window.
    double overshoot = 0; ///< Allowed excess as a share of what the cap allows in a window.
    double slack = 0; ///< Allowed excess in requests a window.
};

} // namespace orioledrum
