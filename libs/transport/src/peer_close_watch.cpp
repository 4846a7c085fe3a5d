#include <peer_close_watch.h>

#include <sys/socket.h>

#include <cerrno>
#include <string_view>
#include <utility>

namespace orioledrum
{

peer_close_watch::peer_close_watch(asio::ip::tcp::socket &socket)
    : m_socket(&socket)
{
}

void peer_close_watch::start(std::function<void()> onClose)
{
    m_onClose = std::move(onClose);
    waitForInput();
}

void peer_close_watch::stop()
{
    m_onClose = nullptr;
}

void peer_close_watch::detach()
{
    m_socket = nullptr;
    m_onClose = nullptr;
}

void peer_close_watch::waitForInput()
{
    if (m_waiting || m_endOfInput || m_socket == nullptr) {
        return;
    }
    m_waiting = true;
    m_socket->async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code &code) {
        self->m_waiting = false;
        if (!code) {
            self->onReadable();
        }
    });
}

void peer_close_watch::onReadable()
{
    if (m_socket == nullptr || !m_onClose) {
        return;
    }
    char byte = 0;
    const auto size = ::recv(m_socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
        return; // A further request has arrived; a close after it cannot be detected while its bytes are unread.
    }
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        waitForInput();
        return;
    }
    if (size == 0) {
        onEndOfInput();
        return;
    }
    const auto onClose = std::exchange(m_onClose, nullptr);
    onClose();
}

void peer_close_watch::onEndOfInput()
{
    if (std::exchange(m_endOfInput, true)) {
        return;
    }
    constexpr std::string_view versionOfResponse = "HTTP/1.1 ";
    const auto sent = ::send(m_socket->native_handle(), versionOfResponse.data(), versionOfResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    m_sentAhead = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    // Not a wait for input: the end of the input would end it at once.
    m_socket->async_wait(asio::ip::tcp::socket::wait_error, [self = shared_from_this()](const asio::error_code &code) {
        if (!code && self->m_socket != nullptr && self->m_onClose) {
            const auto onClose = std::exchange(self->m_onClose, nullptr);
            onClose();
        }
    });
}

} // namespace orioledrum
