#include <server_stream.h>

#include <frame_parser.h>
#include <peer_status.h>
#include <server_connection.h>

#include <asio/post.hpp>

#include <algorithm>
#include <vector>

namespace orioledrum
{

namespace
{

// Sent bytes are dropped from the buffer once there are this many, so that not every read moves the rest.
constexpr std::size_t compactBytes = std::size_t{256} * 1024;

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

server_stream::server_stream(asio::io_context &context, std::weak_ptr<server_connection> connection, std::int32_t id, const limits &bounds)
    : m_context(context)
    , m_connection(std::move(connection))
    , m_id(id)
    , m_limits(bounds)
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
        const std::size_t unsent = m_waiting.size() - m_sent;
        if (unsent > 0 && unsent + frameHeaderBytes + frame.size() > m_limits.maxBufferedBytes) {
            return makeError(error_code::overloaded, step, "the client reads too slowly");
        }
        appendFrame(m_waiting, frame);
        if (std::exchange(m_active, true)) {
            return {};
        }
    }
    wake();
    return {};
}

void server_stream::end(std::optional<error> failure)
{
    std::function<void()> dropped; // Destroyed without the lock.
    {
        const std::lock_guard lock(m_mutex);
        if (m_cancelled || m_ended) {
            return;
        }
        m_ended = true;
        m_failure = std::move(failure);
        dropped = std::exchange(m_notify, nullptr);
        if (std::exchange(m_active, true)) {
            return;
        }
    }
    wake();
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
                m_notify.swap(notify);
            }
            return;
        }
    }
    asio::post(m_context, std::move(notify));
}

void server_stream::wake()
{
    if (m_context.get_executor().running_in_this_thread()) {
        if (const auto connection = m_connection.lock()) {
            connection->resume(*this);
        }
        return;
    }
    asio::post(m_context, [self = shared_from_this()] {
        if (const auto connection = self->m_connection.lock()) {
            connection->resume(*self);
        }
    });
}

ssize_t server_stream::read(nghttp2_session *session, std::uint8_t *target, std::size_t size, std::uint32_t *flags)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t copied = std::min(size, m_waiting.size() - m_sent);
    std::copy_n(m_waiting.data() + m_sent, copied, target);
    m_sent += copied;
    if (m_sent == m_waiting.size()) {
        m_waiting.clear();
        m_sent = 0;
        if (m_ended) {
            *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
            m_endRead = true;
            submitTrailers(session, m_id, m_failure);
        } else if (copied == 0) {
            m_active = false;
            return NGHTTP2_ERR_DEFERRED;
        }
    } else if (m_sent >= compactBytes) {
        m_waiting.erase(0, m_sent);
        m_sent = 0;
    }
    return static_cast<ssize_t>(copied);
}

void server_stream::closed()
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(m_mutex);
        if (m_endRead || m_cancelled) {
            return;
        }
        m_cancelled = true;
        m_waiting.clear();
        m_sent = 0;
        notify = std::exchange(m_notify, nullptr);
    }
    if (notify) {
        notify();
    }
}

} // namespace orioledrum
