#pragma once

#include <base/error.h>

namespace orioledrum
{

/// Reports why an http_call ended without a complete reply.
struct http_failure {
    error failure; ///< Code unreachable, deadlineExceeded, cancelled, protocolError, tooLarge, invalidArgument or internal.
    bool mayHaveBeenSent = true; ///< False only if certainly no byte of the request was written to a connection.
};

} // namespace orioledrum
