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

/// Streams the answers of one search_request to the host that coordinates the search. Answers that arrive within 1 ms are sent in
/// one frame (a length-prefixed message in the body of the reply). Thread-safe.
class peer_answer_stream : public answer_sink, public std::enable_shared_from_this<peer_answer_stream>
{
public:
    /// @param context Runs the timer that delays a frame; must outlive the stream.
    /// @param reply The stream to the coordinating host.
    /// @param answerCount Number of answers after which the stream is finished. A cancelled call gets no answer, so the stream then
    /// stays open until the coordinating host cancels it or its timeout expires.
    peer_answer_stream(asio::io_context &context, std::shared_ptr<peer_reply> reply, std::size_t answerCount);

    void push(shard_answer answer) override;

private:
    /// Sends all pending answers in one frame.
    void flush();

    asio::io_context &m_context;
    std::shared_ptr<peer_reply> m_reply;
    std::mutex m_mutex;
    std::vector<shard_answer> m_pending; ///< Received and not sent yet.
    std::size_t m_outstanding; ///< Answers that have not been received yet.
    bool m_flushScheduled = false;
};

} // namespace orioledrum
