#pragma once

#include "answer_sink.h"

#include <base/ids.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class peer_reply;

/// Streams the answers of one search_request to the root, those of up to 1 ms in one frame.
class peer_answer_stream : public answer_sink, public std::enable_shared_from_this<peer_answer_stream>
{
public:
    /// @param context Runs the timer of the coalescing.
    /// @param reply The stream to the root.
    /// @param expected Number of answers after which the stream ends.
    peer_answer_stream(asio::io_context &context, std::shared_ptr<peer_reply> reply, std::size_t expected);

    void push(shard_answer answer) override;

private:
    void flush();

    asio::io_context &m_context;
    std::shared_ptr<peer_reply> m_reply;
    std::mutex m_mutex;
    std::vector<shard_answer> m_waiting;
    std::size_t m_missing;
    bool m_timerSet = false;
};

} // namespace orioledrum
