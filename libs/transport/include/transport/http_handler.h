#pragma once

#include <transport/http_request.h>

#include <memory>

namespace orioledrum
{

class http_exchange;

/// Receives the requests of an http_server.
class http_handler
{
public:
    virtual ~http_handler() = default;

    /// Called for each complete request on one of the server's threads; with several threads, concurrently.
    /// It must not block for long: the other connections of that thread wait.
    /// @param request The request.
    /// @param exchange Takes the answer, now or later.
    virtual void handle(http_request request, std::shared_ptr<http_exchange> exchange) = 0;
};

} // namespace orioledrum
