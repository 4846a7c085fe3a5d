#pragma once

#include <wire/search_messages.h>

namespace orioledrum
{

/// Takes the answers of one search_request. Exactly one answer arrives for each call that is not cancelled.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Takes one answer. May be called on any worker thread.
    virtual void push(shard_answer answer) = 0;
};

} // namespace orioledrum
