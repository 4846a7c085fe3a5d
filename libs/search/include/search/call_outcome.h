#pragma once

#include <search/replica.h>

#include <chrono>
#include <string>

namespace orioledrum
{

/// Result of one call to a backend server.
struct call_outcome {
    attempt_end end = attempt_end::broken;
    std::string signature; ///< Opaque signature that the backend server attaches to a valid answer; set when `end` is `served`.
    std::string body; ///< Response body; set when `end` is `served`.
    std::chrono::microseconds latency{0}; ///< From sending the call to its end.
};

} // namespace orioledrum
