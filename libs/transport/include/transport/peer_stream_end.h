#pragma once

#include <base/error.h>

#include <optional>

namespace orioledrum
{

/// How a stream of a peer_client ended.
struct peer_stream_end {
    /// Empty on success. Otherwise the error that the peer sent, or a local error: unreachable (no connection, or it
    /// was lost or did not answer a PING), deadlineExceeded, cancelled, overloaded (too many open streams), tooLarge
    /// (request or frame of the reply), draining (shutdown has begun), invalidArgument (address or path), protocolError or
    /// internal.
    std::optional<error> failure;
    bool mayHaveReachedPeer = false; ///< False only when the peer certainly has not processed and will not process the request.
    bool endedByPeer = false; ///< True when the peer ended the reply, successfully or with `failure`.
};

} // namespace orioledrum
