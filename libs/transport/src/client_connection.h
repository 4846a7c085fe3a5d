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

/// An established connection of a peer_client.
class client_connection final : public h2_connection
{
public:
    /// Events that the client handles.
    struct observer {
        virtual ~observer() = default;
        /// A stream has ended; it is no longer known to the connection.
        virtual void onStreamEnd(client_stream &stream, peer_end end) = 0;
        /// The peer takes no new streams on this connection.
        virtual void onGoaway(client_connection &connection) = 0;
        /// The connection is gone; the given streams, which it had, have no end yet.
        virtual void onConnectionClosed(client_connection &connection,
                                        const std::vector<std::shared_ptr<client_stream>> &streams,
                                        const error &reason) = 0;
    };

    struct times {
        std::chrono::milliseconds pingInterval;
        std::chrono::milliseconds pingTimeout;
    };

    /// @param listener Gets the events until detach().
    client_connection(asio::ip::tcp::socket socket,
                      std::shared_ptr<h2_read_buffer> readBuffer,
                      std::string address,
                      times intervals,
                      observer &listener);

    expected<void> open();

    /// Sends a request.
    void submit(const std::shared_ptr<client_stream> &stream);

    /// Forgets a stream and resets it at the peer.
    void reset(client_stream &stream);

    /// Sends GOAWAY; the connection closes after its last stream.
    void finish();

    /// Closes without further events.
    void detach();

    [[nodiscard]] const std::string &address() const { return m_address; }
    /// @return True when the connection was closed because of an unanswered PING.
    [[nodiscard]] bool isSilent() const { return m_silent; }

private:
    friend struct client_callbacks;

    void onReceived() override {}
    void onClosed(const error &reason) override;

    void beforeHeadersSent(std::int32_t id);
    void requestNotSent(std::int32_t id, int code);
    void receiveHeader(std::int32_t id, bool initial, std::string_view name, std::string_view value);
    void receiveData(std::int32_t id, std::string_view bytes);
    void receiveEnd(std::int32_t id);
    void closeStream(std::int32_t id, std::uint32_t code);
    void receivePong();
    void endStream(std::int32_t id, peer_end end);
    void armPing(std::chrono::steady_clock::time_point at);
    void onPingTimer(std::chrono::steady_clock::time_point at);

    const std::string m_address;
    const times m_times;
    observer *m_observer;
    std::unordered_map<std::int32_t, std::shared_ptr<client_stream>> m_streams;
    asio::steady_timer m_pingTimer;
    std::chrono::steady_clock::time_point m_pingSent;
    bool m_pingOpen = false;
    bool m_silent = false;
    bool m_protocolFault = false;
};

} // namespace orioledrum
