#include "peer_answer_stream.h"

#include <transport/peer_reply.h>
#include <wire/codec.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace orioledrum
{

namespace
{
constexpr std::chrono::milliseconds coalesceTime{1};
} // namespace

peer_answer_stream::peer_answer_stream(asio::io_context &context, std::shared_ptr<peer_reply> reply, std::size_t expected)
    : m_context(context)
    , m_reply(std::move(reply))
    , m_missing(expected)
{
}

void peer_answer_stream::push(shard_answer answer)
{
    bool last = false;
    bool startTimer = false;
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.push_back(std::move(answer));
        m_missing -= m_missing > 0 ? 1 : 0;
        last = m_missing == 0;
        startTimer = !last && !m_timerSet;
        m_timerSet = m_timerSet || startTimer;
    }
    if (last) {
        flush();
        m_reply->finish();
    } else if (startTimer) {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, coalesceTime);
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
        m_timerSet = false;
        frame.answers.swap(m_waiting);
    }
    if (!frame.answers.empty()) {
        // A failure means that the root has reset the stream or is gone; it then wants no answer.
        (void)m_reply->sendFrame(encode(frame));
    }
}

} // namespace orioledrum
