#pragma once

#include <base/error.h>

#include <asio/io_context.hpp>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace orioledrum
{

class server_connection;

/// Request and reply state of one stream, shared by the handler's threads and the connection.
class server_stream : public std::enable_shared_from_this<server_stream>
{
public:
    struct limits {
        std::size_t maxFrameBytes;
        std::size_t maxBufferedBytes;
    };

    server_stream(asio::io_context &context, std::weak_ptr<server_connection> connection, std::int32_t id, const limits &streamLimits);

    // Called on any thread; see peer_reply. An empty `failure` ends the reply successfully.
    expected<void> sendFrame(std::string_view frame);
    void end(std::optional<error> failure);
    [[nodiscard]] bool cancelled() const;
    void onCancel(std::function<void()> notify);

    // Called only on the thread of the io_context.

    /// Copies buffered bytes into a DATA frame. At the end of the reply sets the flags and submits the trailers.
    /// @return Number of bytes copied, or NGHTTP2_ERR_DEFERRED when none are buffered and the reply has not ended.
    ssize_t read(nghttp2_session *session, std::uint8_t *target, std::size_t size, std::uint32_t *flags);

    /// Called when the session has closed the stream or the connection is closed; cancels an unfinished reply.
    void onClosed();

    [[nodiscard]] std::int32_t id() const { return m_id; }

    // Used only by the connection.
    std::string path;
    std::string body;
    bool dispatched = false; ///< The request was passed to the handler.
    bool responseSubmitted = false; ///< The response headers were submitted to the session.
    bool bodyTooLarge = false; ///< The request was answered with tooLarge; further data of its body is ignored.

private:
    /// Makes the session call read() for the buffered bytes. Must be called without holding m_mutex.
    void resumeSending();

    asio::io_context &m_context;
    const std::weak_ptr<server_connection> m_connection;
    const std::int32_t m_id;
    const limits m_limits;

    mutable std::mutex m_mutex; // Guards the members below.
    std::string m_sendBuffer; ///< Serialized frames.
    std::size_t m_copiedBytes = 0; ///< Bytes of the send buffer that read() has already copied.
    bool m_readScheduled = false; ///< The session will call read() without a further resumeSending().
    bool m_ended = false;
    bool m_trailersSubmitted = false; ///< read() has reached the end of the reply; it can no longer be cancelled.
    bool m_cancelled = false;
    std::optional<error> m_failure;
    std::function<void()> m_onCancel;
};

} // namespace orioledrum
