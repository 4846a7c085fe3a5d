#include "http_parser_state.h"

#include <string>

namespace orioledrum::standin
{

namespace
{

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 429:
        return "Too Many Requests";
    case 499:
        return "Cancelled";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

http_connection::http_connection(asio::ip::tcp::socket socket, http_handler &handler, std::uint64_t number)
    : m_socket(std::move(socket))
    , m_startTimer(m_socket.get_executor())
    , m_handler(handler)
    , m_number(number)
    , m_parser(std::make_unique<http_parser_state>(*this))
    , m_buffer()
{
}

http_connection::~http_connection() = default;

void http_connection::start(std::chrono::microseconds delay)
{
    if (delay.count() <= 0) {
        read();
        return;
    }
    m_startTimer.expires_after(delay);
    m_startTimer.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error) {
            self->read();
        }
    });
}

void http_connection::read()
{
    if (m_closed) {
        return;
    }
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](std::error_code error, std::size_t size) {
        if (error) {
            self->close(false);
            return;
        }
        if (!self->m_muted) {
            const int errorStatus = self->m_parser->feed(self->m_buffer.data(), size);
            if (errorStatus != 0) {
                self->m_closeAfterWrite = true;
                self->m_pendingRequests.clear();
                self->m_requestInProgress = true;
                self->respond(errorStatus == 413 ? errorResponse(413, "tooLarge", "The body is larger than 1 MB.")
                                                 : errorResponse(400, "malformed", "The request is not valid HTTP/1.1."));
                return;
            }
            self->dispatch();
        }
        // Keep reading while a request is in progress so that a close by the client is detected at once.
        self->read();
    });
}

void http_connection::dispatch()
{
    if (m_requestInProgress || m_closed || m_muted || m_pendingRequests.empty()) {
        return;
    }
    m_requestInProgress = true;
    const http_request request = std::move(m_pendingRequests.front());
    m_pendingRequests.pop_front();
    m_handler.onRequest(shared_from_this(), request);
}

void http_connection::respond(const http_response &response)
{
    if (m_closed || m_muted || m_responsesMuted || !m_requestInProgress) {
        return;
    }
    m_output = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    m_output += reasonPhrase(response.status);
    for (const auto &[name, value] : response.headers) {
        m_output.append("\r\n").append(name).append(": ").append(value);
    }
    if (response.status != 304) {
        m_output += "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size());
    }
    if (m_closeAfterWrite) {
        m_output += "\r\nConnection: close";
    }
    m_output += "\r\n\r\n";
    if (response.status != 304) {
        m_output += response.body;
    }
    write();
}

void http_connection::write()
{
    asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this()](std::error_code error, std::size_t /*size*/) {
        if (error || (self->m_closeAfterWrite && self->m_pendingRequests.empty())) {
            self->close(false);
            return;
        }
        self->m_requestInProgress = false;
        self->dispatch();
    });
}

void http_connection::close(bool reset)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    std::error_code ignored;
    m_startTimer.cancel();
    if (reset) {
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
    m_handler.onClose(shared_from_this());
}

} // namespace orioledrum::standin
