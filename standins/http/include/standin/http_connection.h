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

/// Receives the events of the connections of one server, on the server's io_context.
class http_handler
{
public:
    virtual ~http_handler() = default;

    /// @param connection Newly accepted.
    /// @return Time to wait before the first read, or a negative time to close the connection at once.
    virtual std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) = 0;

    /// Called for one request at a time for each connection; the next one follows after http_connection::respond.
    virtual void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) = 0;

    /// @param connection Closed by either side; called once.
    virtual void onClose(const std::shared_ptr<http_connection> &connection) = 0;
};

/// One accepted HTTP/1.1 connection. All calls must be made on the io_context of its server.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(asio::ip::tcp::socket socket, http_handler &handler, std::uint64_t number);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// @return Number of the connection within its server.
    [[nodiscard]] std::uint64_t number() const { return m_number; }

    /// Starts reading after a wait.
    void start(std::chrono::microseconds wait);

    /// Answers the request in progress; ignored when the connection is closed or muted.
    void respond(const http_response &response);

    /// Stops reading and writing for good without closing the socket.
    void mute() { m_muted = true; }

    /// Stops writing for good; requests are still read and handled.
    void muteAnswers() { m_answersMuted = true; }

    /// @param reset True to send a TCP reset instead of an orderly close.
    void close(bool reset);

private:
    friend class http_parser_state;

    void read();
    void dispatch();
    void write();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_startTimer;
    http_handler &m_handler;
    std::uint64_t m_number;
    std::unique_ptr<http_parser_state> m_parser;
    std::array<char, 8192> m_buffer;
    std::string m_output;
    std::deque<http_request> m_pending;
    bool m_busy = false;
    bool m_closeAfterWrite = false;
    bool m_muted = false;
    bool m_answersMuted = false;
    bool m_closed = false;
};

} // namespace orioledrum::standin
