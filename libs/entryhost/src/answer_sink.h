#pragma once

#include <wire/search_messages.h>

namespace orioledrum
{

/// Receives the answers to the calls of one search_request: one answer to each call that is not cancelled.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// May be called on any worker thread.
    virtual void push(shard_answer answer) = 0;
};

} // namespace orioledrum
