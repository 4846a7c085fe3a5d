#pragma once

#include <client_stream.h>
#include <h2_connection.h>

#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Client side of an HTTP/2 connection to a peer; detects an unresponsive peer by PINGs.
class client_connection final : public h2_connection
{
public:
    /// Receives the events of a connection; implemented by peer_client.
    struct observer {
        virtual ~observer() = default;
        /// A stream has ended and was removed from the connection.
        virtual void onStreamEnd(client_stream &stream, peer_stream_end end) = 0;
        /// The connection accepts no new streams: GOAWAY was received, or a request could not be submitted because the stream
        /// ids or the memory are exhausted.
        virtual void onNoNewStreams(client_connection &connection) = 0;
        /// The connection was closed. `streams` were open on it; onStreamEnd() is not called for them.
        virtual void onConnectionClosed(client_connection &connection,
                                        const std::vector<std::shared_ptr<client_stream>> &streams,
                                        const error &reason) = 0;
    };

    struct ping_settings {
        std::chrono::milliseconds pingInterval;
        std::chrono::milliseconds pingTimeout;
    };

    /// @param connectionObserver Receives the events until closeWithoutNotification().
    client_connection(asio::ip::tcp::socket socket,
                      std::shared_ptr<h2_read_buffer> readBuffer,
                      std::string address,
                      ping_settings pingSettings,
                      observer &connectionObserver);

    /// Creates the HTTP/2 session and starts reading and sending PINGs.
    expected<void> open();

    /// Submits the request of a stream. If that fails, calls onNoNewStreams() and onStreamEnd() before it returns.
    void submit(const std::shared_ptr<client_stream> &stream);

    /// Removes a stream and resets it at the peer (RST_STREAM). onStreamEnd() is not called for it.
    void reset(client_stream &stream);

    /// Sends GOAWAY; the connection closes after its last stream has ended.
    void drain();

    /// Closes the connection; no event is passed to the observer any more.
    void closeWithoutNotification();

    [[nodiscard]] const std::string &address() const { return m_address; }
    /// @return True when the connection was closed because of an unanswered PING.
    [[nodiscard]] bool pingTimedOut() const { return m_pingTimedOut; }

private:
    friend struct client_callbacks;

    void onReceived() override {}
    void onClosed(const error &reason) override;

    void beforeHeadersSent(std::int32_t id);
    void requestNotSent(std::int32_t id, int code);
    void receiveHeader(std::int32_t id, bool initial, std::string_view name, std::string_view value);
    void receiveData(std::int32_t id, std::string_view bytes);
    void receiveEndOfStream(std::int32_t id);
    void handleStreamClosed(std::int32_t id, std::uint32_t code);
    void handlePingAck();
    void endStream(std::int32_t id, peer_stream_end end);
    void armPingTimer(std::chrono::steady_clock::time_point due);
    void onPingTimer(std::chrono::steady_clock::time_point due);

    const std::string m_address;
    const ping_settings m_pingSettings;
    observer *m_observer;
    std::unordered_map<std::int32_t, std::shared_ptr<client_stream>> m_streams;
    asio::steady_timer m_pingTimer;
    std::chrono::steady_clock::time_point m_pingSentAt;
    bool m_pingOutstanding = false;
    bool m_pingTimedOut = false;
    bool m_protocolError = false;
};

} // namespace orioledrum
