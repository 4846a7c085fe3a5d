#pragma once

#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace orioledrum
{

/// Detects that the client of an accepted HTTP connection closes it while a request is being handled; RESTinio does not read
/// during this time. Not thread-safe.
class peer_close_watch : public std::enable_shared_from_this<peer_close_watch>
{
public:
    /// @param socket The connection. detach() must be called before it is closed or destroyed.
    explicit peer_close_watch(asio::ip::tcp::socket &socket);

    /// Starts watching.
    /// @param onClose Called at most once, when the client has closed the connection. Not called when unread input precedes
    /// the close.
    void start(std::function<void()> onClose);

    /// Stops watching, because the request was answered. onClose is not called any more.
    void stop();

    /// Stops watching, because the socket is about to be closed or destroyed.
    void detach();

private:
    void waitForInput();
    void onReadable();

    asio::ip::tcp::socket *m_socket;
    std::function<void()> m_onClose;
    /// A wait for input is pending. stop() does not cancel it, because that would also cancel RESTinio's operations.
    bool m_waiting = false;
};

} // namespace orioledrum
