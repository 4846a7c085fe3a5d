#pragma once

namespace orioledrum
{

class route_table;

/// A request that has no answer yet.
class open_request
{
public:
    open_request() = default;
    virtual ~open_request() = default;
    open_request(const open_request &) = delete;
    open_request &operator=(const open_request &) = delete;

    /// Answers 401 and ends all work for the request if the table requires keys and no longer holds the key of the caller. Does nothing
    /// once the request has an answer.
    virtual void endIfKeyWithdrawn(const route_table &current) = 0;

    /// Answers with a failure and ends all work for the request. Does nothing once the request has an answer. Called when this host stops
    /// before the request has an answer.
    virtual void giveUp() = 0;
};

} // namespace orioledrum
