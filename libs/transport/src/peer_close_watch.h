#pragma once

// Before Asio, which allocates differently when the configuration of the standard library is not known to it.
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include <asio/ip/tcp.hpp>

namespace orioledrum
{

/// Detects that the client of an accepted HTTP connection closes it while a request is being handled; RESTinio does not read
/// during this time. A client that has only shut down its writing side still takes the response. TCP shows the difference only when bytes
/// are sent, so the first bytes of the response, which are always the same, are sent ahead: a closed client resets the connection then.
/// Not thread-safe.
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

    /// @return Number of bytes of the response that were sent ahead, once.
    [[nodiscard]] std::size_t takeSentAhead() { return std::exchange(m_sentAhead, 0); }

    /// Stops watching, because the socket is about to be closed or destroyed.
    void detach();

private:
    void waitForInput();
    void onReadable();
    /// The client has shut down its writing side or closed the connection.
    void onEndOfInput();

    asio::ip::tcp::socket *m_socket;
    std::function<void()> m_onClose;
    /// A wait for input is pending. stop() does not cancel it, because that would also cancel RESTinio's operations.
    bool m_waiting = false;
    bool m_endOfInput = false; ///< The client does not send any more; a wait for a reset is pending.
    std::size_t m_sentAhead = 0;
};

} // namespace orioledrum
