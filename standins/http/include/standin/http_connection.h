#pragma once

#include <standin/http_message.h>

#include <asio.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace orioledrum::standin
{

class http_connection;
class http_parser_state;

/// Receives the connection events of one server, on the thread of the server's io_context.
class http_handler
{
public:
    virtual ~http_handler() = default;

    /// Called after a connection is accepted.
    /// @return Delay before the first read, or a negative duration to close the connection at once.
    virtual std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) = 0;

    /// Called for each request. A connection passes its next request only after the response to the previous one has been written.
    virtual void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) = 0;

    /// Called once when either side has closed the connection.
    virtual void onClose(const std::shared_ptr<http_connection> &connection) = 0;
};

/// One accepted HTTP/1.1 connection. All calls must be made on the thread of its server's io_context.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    /// @param handler Must outlive the connection.
    /// @param number Unique within the server.
    http_connection(asio::ip::tcp::socket socket, http_handler &handler, std::uint64_t number);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// @return Sequence number that identifies the connection within its server.
    [[nodiscard]] std::uint64_t number() const { return m_number; }

    /// Starts reading after the given delay.
    void start(std::chrono::microseconds delay);

    /// Sends the response to the request in progress. Does nothing when the connection is closed, its responses are
    /// muted or no request is in progress.
    void respond(const http_response &response);

    /// Permanently discards further requests and all responses without closing the socket.
    void mute() { m_muted = true; }

    /// Permanently discards responses. The request in progress (or the next request, if none is in progress) is still handled.
    /// Its response is never written, so later requests stay queued.
    void muteResponses() { m_responsesMuted = true; }

    /// @param reset True sends a TCP reset instead of an orderly close.
    void close(bool reset);

private:
    friend class http_parser_state;

    void read();
    /// Passes the oldest pending request to the handler, unless a request is in progress.
    void dispatch();
    void write();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_startTimer;
    http_handler &m_handler;
    std::uint64_t m_number;
    std::unique_ptr<http_parser_state> m_parser;
    std::array<char, 8192> m_buffer;
    std::string m_output;
    std::deque<http_request> m_pendingRequests;
    bool m_requestInProgress = false;
    bool m_closeAfterWrite = false; ///< Close when a response is written and no request is pending.
    bool m_muted = false;
    bool m_responsesMuted = false;
    bool m_closed = false;
};

} // namespace orioledrum::standin
