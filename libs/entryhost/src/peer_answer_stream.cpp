#include "peer_answer_stream.h"

#include <transport/peer_reply.h>
#include <wire/codec.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace orioledrum
{

namespace
{
constexpr std::chrono::milliseconds coalesceDelay{1}; // From the first unsent answer to the frame that carries it.
} // namespace

peer_answer_stream::peer_answer_stream(asio::io_context &context, std::shared_ptr<peer_reply> reply, std::size_t answerCount)
    : m_context(context)
    , m_reply(std::move(reply))
    , m_outstanding(answerCount)
{
}

void peer_answer_stream::push(shard_answer answer)
{
    bool last = false;
    bool scheduleFlush = false;
    {
        const std::lock_guard lock(m_mutex);
        m_pending.push_back(std::move(answer));
        m_outstanding -= m_outstanding > 0 ? 1 : 0;
        last = m_outstanding == 0;
        scheduleFlush = !last && !m_flushScheduled;
        m_flushScheduled = m_flushScheduled || scheduleFlush;
    }
    if (last) {
        flush();
        m_reply->finish();
    } else if (scheduleFlush) {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, coalesceDelay);
        timer->async_wait([self = shared_from_this(), timer](const std::error_code &failure) {
            if (!failure) {
                self->flush();
            }
        });
    }
}

void peer_answer_stream::flush()
{
    shard_answers frame;
    {
        const std::lock_guard lock(m_mutex);
        m_flushScheduled = false;
        frame.answers.swap(m_pending);
    }
    if (!frame.answers.empty()) {
        // Ignored: sending fails only if the receiving host has reset the stream or is gone, and then needs no answer.
        (void)m_reply->sendFrame(encode(frame));
    }
}

} // namespace orioledrum
