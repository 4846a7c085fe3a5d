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

/// State of one reply, shared by the handler's threads and the connection.
class server_stream : public std::enable_shared_from_this<server_stream>
{
public:
    struct limits {
        std::size_t maxFrameBytes;
        std::size_t maxBufferedBytes;
    };

    server_stream(asio::io_context &context, std::weak_ptr<server_connection> connection, std::int32_t id, const limits &bounds);

    // Called on any thread.
    expected<void> sendFrame(std::string_view frame);
    void end(std::optional<error> failure);
    [[nodiscard]] bool cancelled() const;
    void onCancel(std::function<void()> notify);

    // Called on the thread of the io_context.

    /// Copies waiting bytes into a DATA frame.
    /// @return Bytes copied, or NGHTTP2_ERR_DEFERRED when there are none; flags and trailers are set at the end.
    ssize_t read(nghttp2_session *session, std::uint8_t *target, std::size_t size, std::uint32_t *flags);

    /// The stream no longer exists in the session.
    void closed();

    [[nodiscard]] std::int32_t id() const { return m_id; }

    // Used by the connection only.
    std::string path;
    std::string body;
    bool dispatched = false; ///< The handler has the request.
    bool responseSubmitted = false;
    bool bodyTooLarge = false;

private:
    /// Lets the connection read the waiting bytes. Called without the lock.
    void wake();

    asio::io_context &m_context;
    const std::weak_ptr<server_connection> m_connection;
    const std::int32_t m_id;
    const limits m_limits;

    mutable std::mutex m_mutex; // Guards the members below.
    std::string m_waiting;
    std::size_t m_sent = 0; ///< Bytes of m_waiting that were copied out.
    bool m_active = false; ///< The session reads without a further wake().
    bool m_ended = false;
    bool m_endRead = false;
    bool m_cancelled = false;
    std::optional<error> m_failure;
    std::function<void()> m_notify;
};

} // namespace orioledrum
