#include <server_socket.h>

#include <transport/http_response.h>

#include <sys/socket.h>

#include <array>
#include <string>

namespace orioledrum
{

void server_socket::sendBadRequest()
{
    const auto response =
        errorResponse(400, {error_code::malformed, "the request is not valid HTTP/1.1 or its header is too large", "read request", {}});
    const std::string text = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    const int descriptor = native_handle();
    // A client that does not read receives no response; the connection is closed in any case.
    if (::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL) < 0) {
        return;
    }
    ::shutdown(descriptor, SHUT_WR);
    // Closing a socket with unread input resets the connection, and the client may then lose the response. So the input is
    // read first.
    std::array<char, 16384> unreadInput; // NOLINT(cppcoreguidelines-pro-type-member-init): only a sink
    for (int reads = 0; reads < 64 && ::recv(descriptor, unreadInput.data(), unreadInput.size(), MSG_DONTWAIT) > 0; ++reads) {
    }
}

void server_socket::unregister()
{
    if (m_watch) {
        m_watch->detach();
        m_watch.reset();
    }
    if (is_open()) {
        m_registry->removeIdle(native_handle());
        m_registry->removeUnfinished(native_handle());
        m_registry->removeWriting(native_handle());
    }
    if (m_counted) {
        m_counted = false;
        m_registry->removeConnection();
    }
}

} // namespace orioledrum
