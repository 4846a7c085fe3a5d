#pragma once

#include <base/error.h>

namespace orioledrum
{

/// Why an http_call has no complete reply.
struct http_failure {
    error failure; ///< Code unreachable, deadlineExceeded, cancelled, protocolError, tooLarge or invalidArgument.
    bool mayHaveBeenSent = true; ///< False only if surely no byte of the request was handed to a connection.
};

} // namespace orioledrum
