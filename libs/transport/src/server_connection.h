#pragma once

#include <h2_connection.h>
#include <server_stream.h>
#include <transport/peer_server.h>

#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <unordered_map>

namespace orioledrum
{

class peer_handler;

/// Server side of an HTTP/2 connection from a peer; closes itself after the idle timeout.
class server_connection final : public h2_connection
{
public:
    /// Objects of the server that a connection uses.
    struct dependencies {
        asio::io_context &context;
        const peer_server_settings &settings;
        peer_handler &handler;
        std::function<void(server_connection &)> onClosed; ///< Not called after closeWithoutNotification().
    };

    /// @param serverDependencies The context must outlive the connection; the other objects must exist until the connection is
    /// closed, for example by closeWithoutNotification().
    server_connection(asio::ip::tcp::socket socket, std::shared_ptr<h2_read_buffer> readBuffer, dependencies serverDependencies);

    /// Creates the HTTP/2 session and starts reading and watching for the idle timeout.
    expected<void> open();

    /// Sends the GOAWAY shutdown notice. Streams that the peer opens before it receives the notice are still accepted.
    void sendShutdownNotice();
    /// Sends the final GOAWAY: new streams are refused, and the connection closes after its last stream has ended.
    void drain();

    /// Makes the session read the buffered bytes of a stream; the first call also submits the response headers.
    void resumeSending(server_stream &stream);

    /// Closes the connection without calling dependencies::onClosed, because the server is stopping or being destroyed.
    void closeWithoutNotification();

    /// @return Number of streams whose request was passed to the handler and whose reply has not been sent completely.
    [[nodiscard]] std::size_t openStreams() const { return m_openStreams; }

private:
    friend struct server_callbacks;

    void onReceived() override;
    void onClosed(const error &reason) override;

    void beginStream(std::int32_t id);
    void receiveHeader(std::int32_t id, std::string_view name, std::string_view value);
    void receiveData(std::int32_t id, std::string_view bytes);
    void receiveEndOfStream(std::int32_t id);
    void handleStreamClosed(std::int32_t id);
    void armIdleTimer(std::chrono::steady_clock::time_point due);

    [[nodiscard]] std::shared_ptr<server_connection> self();

    dependencies m_dependencies;
    std::unordered_map<std::int32_t, std::shared_ptr<server_stream>> m_streams;
    asio::steady_timer m_idleTimer;
    std::chrono::steady_clock::time_point m_lastReceived;
    std::size_t m_openStreams = 0;
    bool m_notificationDisabled = false; ///< dependencies::onClosed is not called.
};

} // namespace orioledrum
