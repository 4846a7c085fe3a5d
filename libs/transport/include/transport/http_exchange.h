#pragma once

#include <transport/http_response.h>

#include <functional>

namespace orioledrum
{

/// Sends the response to one request that an http_server has received. respond() may be called on any thread as long as
/// onCallerDisconnected() is not used.
/// An exchange that is destroyed without a response sends status 500 with a JSON error.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends the response. Only the first call has an effect.
    /// @param response Replaced by status 500 with a JSON error when its status is not 200 to 599 or a header field is invalid.
    /// @return False when a response has already been sent.
    virtual bool respond(http_response response) = 0;

    /// Sets a callback for the case that the caller closes its connection before the response. A caller that only shuts down its writing
    /// side gets its response. The callback is called at most once,
    /// on the server's thread, and not after respond(). The close is not detected when the caller has already sent a
    /// further request on the connection. The detection is not synchronised with calls on other threads: to exclude data races,
    /// use a server with one thread, and call this function and respond() on that thread.
    /// @param callback Called when the connection is closed; it may call respond().
    virtual void onCallerDisconnected(std::function<void()> callback) = 0;
};

} // namespace orioledrum
