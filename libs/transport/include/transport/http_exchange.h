#pragma once

#include <transport/http_response.h>

#include <functional>

namespace orioledrum
{

/// The open end of one request at an http_server. All functions may be called on any thread.
/// An exchange that is destroyed without an answer answers 500 with a JSON error.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends the answer. Only the first call has an effect.
    /// @param response The answer.
    /// @return False when the exchange was already answered.
    virtual bool respond(http_response response) = 0;

    /// Reports that the caller closed its connection before the answer. Called at most once, on the server's thread,
    /// and not after respond(). A caller that has already sent a further request is not watched any more.
    /// @param callback What to do; it may call respond().
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

} // namespace orioledrum
