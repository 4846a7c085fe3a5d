#pragma once

#include <base/error.h>

#include <optional>

namespace orioledrum
{

/// How a stream of a peer_client ended.
struct peer_end {
    /// Empty on success. Otherwise the error that the peer sent, or an error of this side: unreachable (no connection,
    /// or it was lost or silent), deadlineExceeded, cancelled, overloaded (too many open streams), tooLarge,
    /// draining (shutdown has begun) or protocolError.
    std::optional<error> failure;
    bool mayHaveReachedPeer = false; ///< False only if surely the peer has not seen and will not see the request.
    bool fromPeer = false; ///< True when the peer itself ended the reply, with success or with `failure`.
};

} // namespace orioledrum
