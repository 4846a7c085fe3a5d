#pragma once

#include <transport/http_response.h>

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
};

} // namespace orioledrum
