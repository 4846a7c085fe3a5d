#include <client_connection.h>

#include <peer_traffic_counters.h>

#include <reply_trailers.h>

#include <algorithm>
#include <array>

namespace orioledrum
{

namespace
{

// A timer that fires more than this after it was due shows that the process was paused. The timeout is then checked again
// after the same time, so that data that arrived during the pause is read first.
constexpr std::chrono::milliseconds processPauseGrace(100);

std::string_view toView(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

nghttp2_nv makeField(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            name.size(),
            value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// nghttp2 callbacks; the user data is the connection.
struct client_callbacks {
    static client_connection &from(void *user) { return *static_cast<client_connection *>(user); }

    static int beforeFrameSend(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            from(user).beforeHeadersSent(frame->hd.stream_id);
        } else if (frame->hd.type == NGHTTP2_GOAWAY && frame->goaway.error_code != NGHTTP2_NO_ERROR) {
            from(user).m_protocolError = true; // nghttp2 sends GOAWAY with an error when the peer violates HTTP/2.
        }
        return 0;
    }

    static int onFrameNotSent(nghttp2_session *, const nghttp2_frame *frame, int code, void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            from(user).requestNotSent(frame->hd.stream_id, code);
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
        const bool initial = frame->headers.cat == NGHTTP2_HCAT_RESPONSE;
        from(user).receiveHeader(frame->hd.stream_id, initial, toView(name, nameSize), toView(value, valueSize));
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t size, void *user)
    {
        from(user).receiveData(id, toView(data, size));
        return 0;
    }

    static int onHttp2Frame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        auto &connection = from(user);
        const auto flags = frame->hd.flags;
        switch (frame->hd.type) {
        case NGHTTP2_DATA:
        case NGHTTP2_HEADERS:
            if ((flags & NGHTTP2_FLAG_END_STREAM) != 0) {
                connection.receiveEndOfStream(frame->hd.stream_id);
            }
            break;
        case NGHTTP2_PING:
            if ((flags & NGHTTP2_FLAG_ACK) != 0) {
                connection.handlePingAck();
            }
            break;
        case NGHTTP2_GOAWAY:
            if (connection.m_observer != nullptr) {
                connection.m_observer->onNoNewStreams(connection);
            }
            break;
        default:
            break;
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user)
    {
        from(user).handleStreamClosed(id, code);
        return 0;
    }

    static ssize_t readRequestBody(nghttp2_session *,
                                   std::int32_t id,
                                   std::uint8_t *target,
                                   std::size_t size,
                                   std::uint32_t *flags,
                                   nghttp2_data_source *,
                                   void *user)
    {
        auto &connection = from(user);
        const auto found = connection.m_streams.find(id);
        if (found == connection.m_streams.end()) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        auto &stream = *found->second;
        const std::size_t copied = std::min(size, stream.body.size() - stream.bodySent);
        std::copy_n(stream.body.data() + stream.bodySent, copied, target);
        stream.bodySent += copied;
        if (stream.bodySent == stream.body.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            stream.body = {};
            stream.bodySent = 0;
        }
        return static_cast<ssize_t>(copied);
    }

    static nghttp2_session *makeSession(client_connection &connection)
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        if (nghttp2_session_callbacks_new(&callbacks) != 0) {
            return nullptr;
        }
        nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, &beforeFrameSend);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, &onFrameNotSent);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &onHttp2Frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &onStreamClose);
        nghttp2_session *session = nullptr;
        nghttp2_session_client_new(&session, callbacks, &connection);
        nghttp2_session_callbacks_del(callbacks);
        return session;
    }
};

client_connection::client_connection(asio::ip::tcp::socket socket,
                                     std::shared_ptr<h2_read_buffer> readBuffer,
                                     std::string address,
                                     ping_settings pingSettings,
                                     observer &connectionObserver)
    : h2_connection(std::move(socket), std::move(readBuffer))
    , m_address(std::move(address))
    , m_pingSettings(pingSettings)
    , m_observer(&connectionObserver)
    , m_pingTimer(this->socket().get_executor())
{
}

expected<void> client_connection::open()
{
    auto *created = client_callbacks::makeSession(*this);
    if (created == nullptr) {
        return makeError(error_code::internal, "connect to peer", "out of memory", m_address);
    }
    submitSettings(created, 0);
    start(created);
    armPingTimer(std::chrono::steady_clock::now() + m_pingSettings.pingInterval);
    return {};
}

void client_connection::submit(const std::shared_ptr<client_stream> &stream)
{
    const std::array fields{
        makeField(":method", "POST"),
        makeField(":scheme", "http"),
        makeField(":authority", m_address),
        makeField(":path", stream->path),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = &client_callbacks::readRequestBody;
    const bool hasBody = !stream->body.empty();
    const auto id = nghttp2_submit_request(session(), nullptr, fields.data(), fields.size(), hasBody ? &provider : nullptr, nullptr);
    if (id < 0) {
        // The 31-bit stream ids or the memory are exhausted. Later requests open a new connection with new ids.
        if (m_observer != nullptr) {
            m_observer->onNoNewStreams(*this);
            m_observer->onStreamEnd(*stream,
                                    {error{error_code::unreachable, nghttp2_strerror(id), "send to peer", m_address}, false, false});
        }
        return;
    }
    peer_traffic_counters::add(peer_traffic_counters::instance().requestsSent, 1);
    stream->id = id;
    stream->connection = std::static_pointer_cast<client_connection>(shared_from_this());
    m_streams[id] = stream;
    scheduleFlush();
}

void client_connection::reset(client_stream &stream)
{
    m_streams.erase(stream.id);
    if (!isClosed()) {
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_CANCEL);
        scheduleFlush();
    }
}

void client_connection::drain()
{
    if (!isClosed()) {
        closeWhenIdle();
        nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
        scheduleFlush();
    }
}

void client_connection::closeWithoutNotification()
{
    m_observer = nullptr;
    close({error_code::cancelled, "the client is gone", "send to peer", m_address});
}

void client_connection::onClosed(const error &reason)
{
    m_pingTimer.cancel();
    std::vector<std::shared_ptr<client_stream>> streams;
    for (auto &[id, stream] : m_streams) {
        streams.push_back(std::move(stream));
    }
    m_streams.clear();
    if (m_observer != nullptr) {
        const error peerError{error_code::protocolError, "the peer does not follow HTTP/2", reason.step, reason.peer};
        m_observer->onConnectionClosed(*this, streams, m_protocolError ? peerError : reason);
    }
}

void client_connection::beforeHeadersSent(std::int32_t id)
{
    if (const auto found = m_streams.find(id); found != m_streams.end()) {
        found->second->sendStarted = true;
    }
}

void client_connection::requestNotSent(std::int32_t id, int code)
{
    endStream(
        id,
        {error{error_code::unreachable, std::string("the request could not be sent: ") + nghttp2_strerror(code), "send to peer", m_address},
         false,
         false});
}

void client_connection::receiveHeader(std::int32_t id, bool initial, std::string_view name, std::string_view value)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || (initial && name == ":status")) {
        return;
    }
    found->second->replyFields.insert_or_assign(std::string(name), std::string(value));
}

void client_connection::receiveData(std::int32_t id, std::string_view bytes)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    const auto stream = found->second;
    const bool allConsumed = stream->frames.consume(bytes, [&](std::string_view frame) {
        if (stream->onFrame) {
            stream->onFrame(frame);
        }
        return !stream->ended; // The callback may have cancelled the stream.
    });
    if (!allConsumed && !stream->ended && !isClosed()) {
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        endStream(id, {error{error_code::tooLarge, "a frame of the reply exceeds the limit", "read reply", m_address}, true, false});
    }
}

void client_connection::receiveEndOfStream(std::int32_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    const auto stream = found->second;
    const auto trailerText = [&](std::string_view name) {
        const auto trailer = stream->replyFields.find(name);
        return trailer == stream->replyFields.end() ? std::string() : percentDecode(trailer->second);
    };
    const std::string status = trailerText(statusTrailer);
    peer_stream_end end{std::nullopt, true, true};
    if (!stream->frames.atFrameEnd() || status.empty()) {
        end = {error{error_code::protocolError, "the reply ended without a status", "read reply", m_address}, true, false};
    } else if (status != statusOk) {
        const auto code = parseErrorCode(status);
        end.failure = error{
            code.value_or(error_code::protocolError), trailerText(messageTrailer), trailerText(stepTrailer), trailerText(peerTrailer)};
    }
    if (!stream->body.empty()) {
        // The peer replied before it received the whole request.
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
    }
    endStream(id, std::move(end));
}

void client_connection::handleStreamClosed(std::int32_t id, std::uint32_t code)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    const bool refused = code == NGHTTP2_REFUSED_STREAM;
    const bool mayHaveReached = found->second->sendStarted && !refused;
    const std::string message = std::string("the peer ended the stream: ") + nghttp2_http2_strerror(code);
    endStream(
        id,
        {error{refused ? error_code::unreachable : error_code::protocolError, message, "wait for peer", m_address}, mayHaveReached, false});
}

void client_connection::endStream(std::int32_t id, peer_stream_end end)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return;
    }
    const auto stream = std::move(found->second);
    m_streams.erase(found);
    if (m_observer != nullptr) {
        m_observer->onStreamEnd(*stream, std::move(end));
    }
}

void client_connection::handlePingAck()
{
    if (std::exchange(m_pingOutstanding, false)) {
        armPingTimer(m_pingSentAt + m_pingSettings.pingInterval);
    }
}

void client_connection::armPingTimer(std::chrono::steady_clock::time_point due)
{
    m_pingTimer.expires_at(due);
    m_pingTimer.async_wait([weak = weak_from_this(), due](const asio::error_code &code) {
        const auto connection = std::static_pointer_cast<client_connection>(weak.lock());
        if (!code && connection && !connection->isClosed()) {
            connection->onPingTimer(due);
        }
    });
}

void client_connection::onPingTimer(std::chrono::steady_clock::time_point due)
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_pingOutstanding) {
        m_pingOutstanding = true;
        m_pingSentAt = now;
        nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
        scheduleFlush();
        armPingTimer(now + m_pingSettings.pingTimeout);
        return;
    }
    if (now - due > processPauseGrace) {
        // This process was paused; the PING ACK may have arrived but not been read yet.
        armPingTimer(now + processPauseGrace);
        return;
    }
    m_pingTimedOut = true;
    close({error_code::unreachable, "the connection is silent: a PING was not answered", "wait for peer", m_address});
}

} // namespace orioledrum
