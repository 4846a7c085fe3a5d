#pragma once

#include <cstddef>

namespace orioledrum
{

/// Size limits of one request that an http_server receives.
struct request_limits {
    std::size_t maxHeadBytes = 0; ///< Target and header fields, with 4 bytes for each field; a larger head gets 431.
    std::size_t maxBodyBytes = 0; ///< A larger body gets 413 as soon as that is known, and is not read to its end.
};

} // namespace orioledrum
