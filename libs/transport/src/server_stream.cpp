#include <server_stream.h>

#include <frame_parser.h>
#include <reply_trailers.h>
#include <server_connection.h>

#include <asio/post.hpp>

#include <algorithm>
#include <vector>

namespace orioledrum
{

namespace
{

// Copied bytes are erased from the send buffer once there are this many, so that not every read moves the remaining bytes.
constexpr std::size_t minEraseBytes = std::size_t{256} * 1024;

nghttp2_nv makeField(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            name.size(),
            value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

void submitTrailers(nghttp2_session *session, std::int32_t id, const std::optional<error> &failure)
{
    if (!failure) {
        const nghttp2_nv field = makeField(statusTrailer, statusOk);
        nghttp2_submit_trailer(session, id, &field, 1);
        return;
    }
    const std::string message = percentEncode(failure->message);
    const std::string step = percentEncode(failure->step);
    const std::string peer = percentEncode(failure->peer);
    const std::vector<nghttp2_nv> fields{
        makeField(statusTrailer, toString(failure->code)),
        makeField(messageTrailer, message),
        makeField(stepTrailer, step),
        makeField(peerTrailer, peer),
    };
    nghttp2_submit_trailer(session, id, fields.data(), fields.size());
}

} // namespace

server_stream::server_stream(asio::io_context &context,
                             std::weak_ptr<server_connection> connection,
                             std::int32_t id,
                             const limits &streamLimits)
    : m_context(context)
    , m_connection(std::move(connection))
    , m_id(id)
    , m_limits(streamLimits)
{
}

expected<void> server_stream::sendFrame(std::string_view frame)
{
    constexpr auto step = "send frame";
    if (frame.size() > m_limits.maxFrameBytes) {
        return makeError(error_code::tooLarge, step, "the frame exceeds " + std::to_string(m_limits.maxFrameBytes) + " bytes");
    }
    {
        const std::lock_guard lock(m_mutex);
        if (m_cancelled || m_ended) {
            return makeError(error_code::cancelled, step, m_ended ? "the reply has ended" : "the client has reset the stream or is gone");
        }
        const std::size_t unsent = m_sendBuffer.size() - m_copiedBytes;
        if (unsent > 0 && unsent + frameHeaderBytes + frame.size() > m_limits.maxBufferedBytes) {
            return makeError(error_code::overloaded, step, "the client reads too slowly");
        }
        appendFrame(m_sendBuffer, frame);
        if (std::exchange(m_readScheduled, true)) {
            return {};
        }
    }
    resumeSending();
    return {};
}

void server_stream::end(std::optional<error> failure)
{
    std::function<void()> droppedOnCancel; // Destroyed after the lock is released.
    {
        const std::lock_guard lock(m_mutex);
        if (m_cancelled || m_ended) {
            return;
        }
        m_ended = true;
        m_failure = std::move(failure);
        droppedOnCancel = std::exchange(m_onCancel, nullptr);
        if (std::exchange(m_readScheduled, true)) {
            return;
        }
    }
    resumeSending();
}

bool server_stream::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

void server_stream::onCancel(std::function<void()> notify)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_cancelled) {
            if (!m_ended) {
                m_onCancel.swap(notify);
            }
            return;
        }
    }
    asio::post(m_context, std::move(notify));
}

void server_stream::resumeSending()
{
    if (m_context.get_executor().running_in_this_thread()) {
        if (const auto connection = m_connection.lock()) {
            connection->resumeSending(*this);
        }
        return;
    }
    asio::post(m_context, [self = shared_from_this()] {
        if (const auto connection = self->m_connection.lock()) {
            connection->resumeSending(*self);
        }
    });
}

ssize_t server_stream::read(nghttp2_session *session, std::uint8_t *target, std::size_t size, std::uint32_t *flags)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t copied = std::min(size, m_sendBuffer.size() - m_copiedBytes);
    std::copy_n(m_sendBuffer.data() + m_copiedBytes, copied, target);
    m_copiedBytes += copied;
    if (m_copiedBytes == m_sendBuffer.size()) {
        m_sendBuffer.clear();
        m_copiedBytes = 0;
        if (m_ended) {
            *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
            m_trailersSubmitted = true;
            submitTrailers(session, m_id, m_failure);
        } else if (copied == 0) {
            m_readScheduled = false;
            return NGHTTP2_ERR_DEFERRED;
        }
    } else if (m_copiedBytes >= minEraseBytes) {
        m_sendBuffer.erase(0, m_copiedBytes);
        m_copiedBytes = 0;
    }
    return static_cast<ssize_t>(copied);
}

void server_stream::onClosed()
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(m_mutex);
        if (m_trailersSubmitted || m_cancelled) {
            return;
        }
        m_cancelled = true;
        m_sendBuffer.clear();
        m_copiedBytes = 0;
        notify = std::exchange(m_onCancel, nullptr);
    }
    if (notify) {
        notify();
    }
}

} // namespace orioledrum
