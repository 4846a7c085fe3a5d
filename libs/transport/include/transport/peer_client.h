#pragma once

#include <base/error.h>
#include <transport/peer_stream_end.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace asio
{
class io_context;
}

namespace orioledrum
{

/// Timeouts, reconnect backoff and limits of a peer_client.
struct peer_client_settings {
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds pingInterval{1000};
    std::chrono::milliseconds pingTimeout{1000}; ///< Closes and replaces a connection whose PING is unanswered for this long.
    std::chrono::milliseconds initialBackoff{50}; ///< Delay after a failed connect, before jitter; doubles with each consecutive failure.
    std::chrono::milliseconds maxBackoff{1000}; ///< Limit of the doubled delay. Jitter shortens a delay by up to half.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; ///< A larger request fails with tooLarge.
    std::size_t maxFrameBytes = std::size_t{4} * 1024 * 1024; ///< A larger frame of a reply ends its stream with tooLarge.
    std::size_t maxStreams = 4096; ///< Maximum open streams per address; further streams fail with overloaded.
    std::uint64_t seed = 0; ///< Seed of the backoff jitter; 0: the system provides a random seed.
};

/// Identifies a stream of a peer_client.
enum class peer_stream_handle : std::uint64_t {};

/// Sends requests to peers over HTTP/2 without TLS (prior knowledge), with one connection per address.
/// A reply consists of frames: byte sequences that are delivered whole, independent of the HTTP/2 frames.
/// The first request to an address opens the connection. After a failed connect, requests fail at once with
/// `unreachable` until the backoff delay has passed. Not thread-safe: belongs to one io_context that one thread runs;
/// every function, including the destructor, must be called on that thread (or while the io_context does not run).
class peer_client
{
public:
    using settings = peer_client_settings;
    using on_frame = std::function<void(std::string_view)>;
    using on_stream_end = std::function<void(const peer_stream_end &)>;

    /// @param context Runs the streams; must outlive the client.
    /// @return The client, or invalidArgument when connectTimeout, pingInterval or pingTimeout is not greater than 0.
    static expected<std::unique_ptr<peer_client>> create(asio::io_context &context, const settings &settings);

    /// Closes all connections. The callbacks of open streams are not called.
    ~peer_client();
    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    /// Sends a request on a new stream.
    /// @param address "ip:port" of the peer; an IPv6 address in brackets.
    /// @param path Printable ASCII without spaces that starts with '/', for example "/search".
    /// @param timeout Time from send() to the end of the reply; afterwards the stream is reset and ends with deadlineExceeded.
    /// @param frame Called for each frame, in order; the view is valid only during the call. May be empty.
    /// @param end Called exactly once, after the last frame; may be empty. Neither callback is called from within send() or cancel().
    /// @return A handle for cancel().
    peer_stream_handle send(std::string_view address,
                            std::string_view path,
                            std::string body,
                            std::chrono::milliseconds timeout,
                            on_frame frame,
                            on_stream_end end);

    /// Resets a stream (RST_STREAM). No further frame is delivered and the stream ends with `cancelled`. No effect on a
    /// stream that has already ended.
    void cancel(peer_stream_handle handle);

    /// @return Number of streams whose end callback has not been called yet.
    [[nodiscard]] std::size_t openStreams() const;

    /// @return Number of established connections.
    [[nodiscard]] std::size_t connections() const;

    /// Refuses new streams with `draining`, waits for open streams and closes the connections with GOAWAY.
    /// @param timeout Time after which the remaining streams end with `cancelled`.
    /// @param done Called once, unless the client is destroyed before: true when every stream ended in time.
    void shutdown(std::chrono::milliseconds timeout, std::function<void(bool)> done);

private:
    class impl;
    explicit peer_client(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace orioledrum
