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

    /// Called on the server's thread when a request has been received completely.
    /// @param reply Sends the reply, during the call or later; see peer_reply for its use on other threads.
    virtual void onRequest(peer_request request, std::shared_ptr<peer_reply> reply) = 0;
};

} // namespace orioledrum
