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

/// Read buffer shared by all connections of one client or server; each read is processed completely before the next.
using h2_read_buffer = std::vector<std::uint8_t>;

/// Transfers bytes between a TCP socket and an nghttp2 session. The derived class creates the session and handles its events.
class h2_connection : public std::enable_shared_from_this<h2_connection>
{
public:
    h2_connection(const h2_connection &) = delete;
    h2_connection &operator=(const h2_connection &) = delete;
    virtual ~h2_connection();

    /// Schedules a write of the session's pending output, to run after the current handler.
    void scheduleFlush();

    /// Closes the socket and calls onClosed(). Has no effect when the connection is already closed.
    void close(const error &reason);

    [[nodiscard]] bool isClosed() const { return m_closed; }
    [[nodiscard]] nghttp2_session *session() const { return m_session; }

protected:
    h2_connection(asio::ip::tcp::socket socket, std::shared_ptr<h2_read_buffer> readBuffer);

    /// Takes ownership of the session, starts reading and schedules a write of its pending output.
    void start(nghttp2_session *session);

    /// Lets the connection close gracefully as soon as GOAWAY was sent or received and no stream is left. At first only the
    /// sending side is shut down; the socket is closed when the peer has closed its side. Data that arrives at a closed socket
    /// would reset the connection.
    void closeWhenIdle() { m_closeWhenIdle = true; }

    /// Called after the session has processed received bytes, before its output is written.
    virtual void onReceived() = 0;
    /// Called when the connection is closed. nghttp2 functions may be on the call stack, so what they refer to must not be destroyed.
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
    std::string m_writeBuffer;
    bool m_writing = false;
    bool m_flushPosted = false;
    bool m_receiving = false; ///< The session is processing received bytes; a flush follows.
    bool m_closeWhenIdle = false;
    bool m_sendClosed = false; ///< The sending side of the socket is shut down.
    bool m_closed = false;
};

/// @return "address:port" of an endpoint.
std::string describeEndpoint(const asio::ip::tcp::endpoint &endpoint);

/// @param text "address:port" with an IP address; IPv6 in brackets.
/// @param step Value of error::step on failure.
/// @return The endpoint, or an invalidArgument error.
expected<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text, std::string step);

/// Submits the SETTINGS frame and sets the flow-control window of the connection. Clients and servers use the same windows.
/// @param maxStreams Number of concurrent streams that the other side may open; a client announces 0.
void submitSettings(nghttp2_session *session, std::uint32_t maxStreams);

} // namespace orioledrum
