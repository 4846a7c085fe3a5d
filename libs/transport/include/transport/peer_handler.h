#pragma once

#include <transport/peer_request.h>

#include <memory>

namespace orioledrum
{

class peer_reply;

/// Receives the requests of a peer_server.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// Called for each complete request on the server's thread.
    /// @param request The request.
    /// @param reply Takes the frames and the end, now or later.
    virtual void onRequest(peer_request request, std::shared_ptr<peer_reply> reply) = 0;
};

} // namespace orioledrum
