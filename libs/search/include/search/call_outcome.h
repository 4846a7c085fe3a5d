#pragma once

#include <search/replica.h>

#include <chrono>
#include <string>

namespace orioledrum
{

/// How a call to a backend server ended, as seen by the request that made it.
struct call_outcome {
    attempt_end end = attempt_end::broken;
    std::string proof; ///< Text by which the backend server vouches for the answer; set when served.
    std::string body; ///< Body of the answer; set when served.
    std::chrono::microseconds latency{0}; ///< From sending to the end.
};

} // namespace orioledrum
