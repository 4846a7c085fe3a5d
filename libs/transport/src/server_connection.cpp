#include <server_connection.h>

#include <peer_traffic_counters.h>

#include <transport/peer_handler.h>
#include <transport/peer_reply.h>

#include <asio/io_context.hpp>

#include <string>

namespace orioledrum
{

namespace
{

/// Reply object that the handler owns. Destroying it before the end of the reply fails the request.
class stream_reply final : public peer_reply
{
public:
    explicit stream_reply(std::shared_ptr<server_stream> stream)
        : m_stream(std::move(stream))
    {
    }

    stream_reply(const stream_reply &) = delete;
    stream_reply &operator=(const stream_reply &) = delete;
    ~stream_reply() override
    {
        m_stream->end(error{error_code::internal, "the request was dropped without an end of its reply", "handle request", {}});
    }

    expected<void> sendFrame(std::string frame) override
    {
        return m_stream->sendFrame(frame);
    } // NOLINT(performance-unnecessary-value-param)
    void finish() override { m_stream->end(std::nullopt); }
    void fail(const error &failure) override { m_stream->end(failure); }
    [[nodiscard]] bool cancelled() const override { return m_stream->cancelled(); }
    void onCancel(std::function<void()> notify) override { m_stream->onCancel(std::move(notify)); }

private:
    std::shared_ptr<server_stream> m_stream;
};

std::string_view toView(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

// A timer that fires more than this after it was due shows that the process was paused. The timeout is then checked again
// after the same time, so that data that arrived during the pause is read first.
constexpr std::chrono::milliseconds processPauseGrace(100);

} // namespace

/// nghttp2 callbacks; the user data is the connection.
struct server_callbacks {
    static server_connection &from(void *user) { return *static_cast<server_connection *>(user); }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            peer_traffic_counters::add(peer_traffic_counters::instance().requestsReceived, 1);
            from(user).beginStream(frame->hd.stream_id);
        }
        return 0;
    }

    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameSize,
                        const std::uint8_t *value,
                        std::size_t valueSize,
                        std::uint8_t,
                        void *user)
    {
        from(user).receiveHeader(frame->hd.stream_id, toView(name, nameSize), toView(value, valueSize));
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t size, void *user)
    {
        from(user).receiveData(id, toView(data, size));
        return 0;
    }

    static int onHttp2Frame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        const bool isRequestFrame = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (isRequestFrame && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            from(user).receiveEndOfStream(frame->hd.stream_id);
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t, void *user)
    {
        from(user).handleStreamClosed(id);
        return 0;
    }

    static ssize_t readReply(nghttp2_session *session,
                             std::int32_t,
                             std::uint8_t *target,
                             std::size_t size,
                             std::uint32_t *flags,
                             nghttp2_data_source *source,
                             void *)
    {
        return static_cast<server_stream *>(source->ptr)->read(session, target, size, flags);
    }

    static nghttp2_session *makeSession(server_connection &connection)
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        if (nghttp2_session_callbacks_new(&callbacks) != 0) {
            return nullptr;
        }
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &onHttp2Frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &onStreamClose);
        nghttp2_session *session = nullptr;
        nghttp2_session_server_new(&session, callbacks, &connection);
        nghttp2_session_callbacks_del(callbacks);
        return session;
    }
};

server_connection::server_connection(asio::ip::tcp::socket socket,
                                     std::shared_ptr<h2_read_buffer> readBuffer,
                                     dependencies serverDependencies)
    : h2_connection(std::move(socket), std::move(readBuffer))
    , m_dependencies(std::move(serverDependencies))
    , m_idleTimer(m_dependencies.context)
    , m_lastReceived(std::chrono::steady_clock::now())
{
}

std::shared_ptr<server_connection> server_connection::self()
{
    return std::static_pointer_cast<server_connection>(shared_from_this());
}

expected<void> server_connection::open()
{
    auto *created = server_callbacks::makeSession(*this);
    if (created == nullptr) {
        return makeError(error_code::internal, "accept peer", "out of memory", remote());
    }
    submitSettings(created, m_dependencies.settings.maxStreams);
    start(created);
    armIdleTimer(m_lastReceived + m_dependencies.settings.idleTimeout);
    return {};
}

void server_connection::sendShutdownNotice()
{
    nghttp2_submit_shutdown_notice(session());
    scheduleFlush();
}

void server_connection::drain()
{
    closeWhenIdle();
    nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session()), NGHTTP2_NO_ERROR, nullptr, 0);
    scheduleFlush();
}

void server_connection::resumeSending(server_stream &stream)
{
    if (isClosed() || !m_streams.contains(stream.id())) {
        return;
    }
    if (std::exchange(stream.responseSubmitted, true)) {
        nghttp2_session_resume_data(session(), stream.id());
    } else {
        nghttp2_nv status{reinterpret_cast<std::uint8_t *>(const_cast<char *>(":status")),
                          reinterpret_cast<std::uint8_t *>(const_cast<char *>("200")),
                          7,
                          3,
                          NGHTTP2_NV_FLAG_NONE};
        nghttp2_data_provider provider{};
        provider.source.ptr = &stream; // m_streams keeps it alive until the session has closed the stream.
        provider.read_callback = &server_callbacks::readReply;
        nghttp2_submit_response(session(), stream.id(), &status, 1, &provider);
    }
    scheduleFlush();
}

void server_connection::closeWithoutNotification()
{
    m_notificationDisabled = true;
    close({error_code::draining, "the server is stopping", "serve peer", remote()});
}

void server_connection::onReceived()
{
    m_lastReceived = std::chrono::steady_clock::now();
}

void server_connection::onClosed(const error &)
{
    m_idleTimer.cancel();
    // nghttp2 functions on the call stack may refer to the streams, so m_streams keeps them until the connection is
    // destroyed. The loop uses a copy because an onCancel() function may change the map.
    const auto streams = m_streams;
    for (const auto &[id, stream] : streams) {
        stream->onClosed();
    }
    m_openStreams = 0;
    if (!m_notificationDisabled) {
        m_dependencies.onClosed(*this);
    }
}

void server_connection::beginStream(std::int32_t id)
{
    if (isClosed()) {
        return;
    }
    const server_stream::limits limits{m_dependencies.settings.maxFrameBytes, m_dependencies.settings.maxBufferedBytes};
    m_streams[id] = std::make_shared<server_stream>(m_dependencies.context, self(), id, limits);
}

void server_connection::receiveHeader(std::int32_t id, std::string_view name, std::string_view value)
{
    const auto found = m_streams.find(id);
    if (found != m_streams.end() && name == ":path") {
        found->second->path = value;
    }
}

void server_connection::receiveData(std::int32_t id, std::string_view bytes)
{
    const auto found = m_streams.find(id);
    if (isClosed() || found == m_streams.end() || found->second->bodyTooLarge) {
        return;
    }
    auto &stream = *found->second;
    const std::size_t limit = m_dependencies.settings.maxBodyBytes;
    if (bytes.size() > limit - stream.body.size()) {
        stream.bodyTooLarge = true;
        stream.body = {};
        stream.end(error{error_code::tooLarge, "the request exceeds " + std::to_string(limit) + " bytes", "read request", remote()});
        return;
    }
    stream.body += bytes;
}

void server_connection::receiveEndOfStream(std::int32_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || found->second->bodyTooLarge || isClosed()) {
        return;
    }
    const auto stream = found->second;
    stream->dispatched = true;
    ++m_openStreams;
    m_dependencies.handler.onRequest({std::move(stream->path), std::move(stream->body), remote()}, std::make_shared<stream_reply>(stream));
}

void server_connection::handleStreamClosed(std::int32_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    const auto stream = std::move(found->second);
    m_streams.erase(found);
    if (stream->dispatched && m_openStreams > 0) {
        --m_openStreams;
    }
    stream->onClosed();
}

void server_connection::armIdleTimer(std::chrono::steady_clock::time_point due)
{
    m_idleTimer.expires_at(due);
    m_idleTimer.async_wait([weak = std::weak_ptr(self()), due](const asio::error_code &code) {
        const auto connection = weak.lock();
        if (code || !connection || connection->isClosed()) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const auto idleDeadline = connection->m_lastReceived + connection->m_dependencies.settings.idleTimeout;
        if (now < idleDeadline) {
            connection->armIdleTimer(idleDeadline);
        } else if (now - due > processPauseGrace) {
            connection->armIdleTimer(now + processPauseGrace);
        } else {
            connection->close(
                {error_code::unreachable, "the peer sent nothing within the idle timeout", "serve peer", connection->remote()});
        }
    });
}

} // namespace orioledrum
