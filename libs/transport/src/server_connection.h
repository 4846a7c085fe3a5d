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

/// A connection that a peer_server accepted.
class server_connection final : public h2_connection
{
public:
    /// What a connection needs of its server.
    struct environment {
        asio::io_context &context;
        const peer_server_settings &settings;
        peer_handler &handler;
        std::function<void(server_connection &)> onClosed;
    };

    /// @param surroundings Must outlive the connection's last event; see detach().
    server_connection(asio::ip::tcp::socket socket, std::shared_ptr<h2_read_buffer> readBuffer, environment surroundings);

    expected<void> open();

    /// Announces that no new stream will be accepted; the peer may not know yet.
    void announceEnd();
    /// Refuses new streams, and ends the connection after the last stream.
    void refuseStreams();

    /// Lets the session read the waiting bytes of a stream.
    void resume(server_stream &stream);

    /// The server is gone or going: closes without telling it.
    void detach();

    /// @return Streams whose request the handler got and whose reply has not been written.
    [[nodiscard]] std::size_t openStreams() const { return m_openStreams; }

private:
    friend struct server_callbacks;

    void onReceived() override;
    void onClosed(const error &reason) override;

    void beginStream(std::int32_t id);
    void receiveHeader(std::int32_t id, std::string_view name, std::string_view value);
    void receiveData(std::int32_t id, std::string_view bytes);
    void receiveEnd(std::int32_t id);
    void closeStream(std::int32_t id);
    void watchIdle(std::chrono::steady_clock::time_point at);

    [[nodiscard]] std::shared_ptr<server_connection> self();

    environment m_environment;
    std::unordered_map<std::int32_t, std::shared_ptr<server_stream>> m_streams;
    asio::steady_timer m_idleTimer;
    std::chrono::steady_clock::time_point m_lastReceived;
    std::size_t m_openStreams = 0;
    bool m_detached = false;
};

} // namespace orioledrum
