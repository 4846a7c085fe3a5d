#pragma once

#include <transport/http_request.h>

#include <memory>

namespace orioledrum
{

class http_exchange;

/// Handles the requests that an http_server receives.
class http_handler
{
public:
    virtual ~http_handler() = default;

    /// Called for each complete request whose body is within the limit, on one of the server's threads; with several threads, concurrently.
    /// It must not block for long, because the other connections of that thread wait. A std::exception that it throws
    /// is answered with status 500.
    /// @param exchange Sends the response, from within this function or later.
    virtual void handle(http_request request, std::shared_ptr<http_exchange> exchange) = 0;
};

} // namespace orioledrum
