#pragma once

#include <base/error.h>

#include <asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace orioledrum
{

/// Buffer that the connections of one object read into; its content is used up before the next read.
using h2_read_buffer = std::vector<std::uint8_t>;

/// Moves bytes between a TCP socket and an nghttp2 session. The derived class creates the session and handles its events.
class h2_connection : public std::enable_shared_from_this<h2_connection>
{
public:
    h2_connection(const h2_connection &) = delete;
    h2_connection &operator=(const h2_connection &) = delete;
    virtual ~h2_connection();

    /// Writes what the session has to send, after the current handler.
    void scheduleFlush();

    /// Closes the socket. Calls onClosed() once.
    void close(const error &reason);

    [[nodiscard]] bool isClosed() const { return m_closed; }
    [[nodiscard]] nghttp2_session *session() const { return m_session; }

protected:
    h2_connection(asio::ip::tcp::socket socket, std::shared_ptr<h2_read_buffer> readBuffer);

    /// Takes over a session, sends what it has and starts to read.
    void start(nghttp2_session *session);

    /// Lets the connection end by itself once GOAWAY was sent or received and no stream is left: the sending side is
    /// closed first, so that no data of the peer meets a closed socket and resets the connection.
    void endWhenIdle() { m_endWhenIdle = true; }

    /// Called after bytes were received, before the answer to them is written.
    virtual void onReceived() = 0;
    /// Called when the connection is closed. Functions of nghttp2 may be on the stack.
    virtual void onClosed(const error &reason) = 0;

    [[nodiscard]] const std::string &remote() const { return m_remote; }
    [[nodiscard]] asio::ip::tcp::socket &socket() { return m_socket; }

private:
    void waitForRead();
    void readAvailable();
    void flush();

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<h2_read_buffer> m_readBuffer;
    std::string m_remote;
    nghttp2_session *m_session = nullptr;
    std::string m_outgoing;
    bool m_writing = false;
    bool m_flushPosted = false;
    bool m_receiving = false;
    bool m_endWhenIdle = false;
    bool m_sendingEnded = false;
    bool m_closed = false;
};

/// @return "address:port" of an endpoint.
std::string describeEndpoint(const asio::ip::tcp::endpoint &endpoint);

/// @param text "address:port" with an IP address; IPv6 in brackets.
/// @param step Step of the error.
/// @return The endpoint, or invalidArgument.
expected<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text, std::string step);

/// SETTINGS and the window of the connection, equal on both sides.
/// @param session The session.
/// @param maxStreams Limit of concurrent streams that is announced.
void submitSettings(nghttp2_session *session, std::uint32_t maxStreams);

} // namespace orioledrum
