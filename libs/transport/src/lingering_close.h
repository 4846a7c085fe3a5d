#pragma once

// Before Asio, which allocates differently when the configuration of the standard library is not known to it.
#include <chrono>
#include <cstddef>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace orioledrum
{

class socket_registry;

/// Closes the connection of a client that has received its last response but may still send. When a socket with unread input is closed, the
/// client may lose the response; so what it sends is read and dropped until it closes, but at most maxBytes and maxTime. Counts as a
/// connection meanwhile.
class lingering_close : public std::enable_shared_from_this<lingering_close>
{
public:
    /// A client that does not look at responses while it sends a moderately large body can end it, and sees its response.
    static constexpr std::size_t maxBytes = std::size_t{8} * 1024 * 1024;
    /// Long enough for a response to reach its client; a client that goes on sending is closed then.
    static constexpr std::chrono::milliseconds maxTime{1000};

    /// @param descriptor An open socket, which this object closes.
    static void start(asio::io_context &context, socket_registry &registry, asio::ip::tcp protocol, int descriptor);

    lingering_close(asio::io_context &context, socket_registry &registry);
    ~lingering_close();
    lingering_close(const lingering_close &) = delete;
    lingering_close &operator=(const lingering_close &) = delete;

private:
    void waitForInput();
    void drop();

    socket_registry &m_registry;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::size_t m_dropped = 0;
};

} // namespace orioledrum
