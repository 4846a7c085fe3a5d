#pragma once

#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace orioledrum
{

/// Notices that the peer of an accepted connection has closed it while a request is being handled, when RESTinio does
/// not read. Used on the thread that runs the connection.
class peer_close_watch : public std::enable_shared_from_this<peer_close_watch>
{
public:
    /// @param socket The connection. detach() is called before it is destroyed.
    explicit peer_close_watch(asio::ip::tcp::socket &socket);

    /// @param onClose Called once when the peer has closed the connection.
    void start(std::function<void()> onClose);

    /// The request was answered: nothing is reported any more.
    void stop();

    /// The socket is about to be closed or destroyed.
    void detach();

private:
    void wait();
    void readable();

    asio::ip::tcp::socket *m_socket;
    std::function<void()> m_onClose;
    bool m_waiting = false; // A wait outlives stop(), since cancelling it would also cancel RESTinio's operations.
};

} // namespace orioledrum
