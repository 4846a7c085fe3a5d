#pragma once

#include <base/error.h>

#include <optional>

namespace orioledrum
{

/// How a stream of a peer_client ended.
struct peer_stream_end {
    /// Empty on success. Otherwise the error that the peer sent, or a local error: unreachable (no connection, connection lost,
    /// PING not answered, or stream refused by the peer), deadlineExceeded, cancelled, overloaded (too many open streams), tooLarge
    /// (request or frame of the reply), draining (shutdown has begun), invalidArgument (address or path), protocolError or
    /// internal.
    std::optional<error> failure;
    bool mayHaveReachedPeer = false; ///< False only when the peer certainly has not processed and will not process the request.
    bool endedByPeer = false; ///< True when the reply arrived with its status: success, or the peer's error in `failure`.
};

} // namespace orioledrum
