#pragma once

#include <peer_close_watch.h>
#include <socket_registry.h>

#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace orioledrum
{

/// TCP socket of an accepted HTTP connection. It sends a 400 response when RESTinio rejects the input (RESTinio itself only
/// closes the connection), and it registers with the socket_registry while it waits for a request or for its client to take a response.
/// RESTinio uses it as the stream socket of its traits, so the functions have the names that Asio uses.
class server_socket : public asio::ip::tcp::socket
{
public:
    using base = asio::ip::tcp::socket;

    explicit server_socket(asio::io_context &context)
        : base(context)
        , m_registry(&asio::use_service<socket_registry>(context))
    {
    }

    server_socket(server_socket &&other) noexcept
        : base(std::move(other))
        , m_registry(other.m_registry)
        , m_counted(std::exchange(other.m_counted, false))
        , m_inputSinceResponse(other.m_inputSinceResponse)
        , m_firstInputAt(other.m_firstInputAt)
    {
    }

    server_socket &operator=(server_socket &&other) = delete;
    server_socket(const server_socket &) = delete;
    server_socket &operator=(const server_socket &) = delete;
    ~server_socket() { unregister(); }

    template<typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        if (!m_counted) {
            m_counted = true;
            m_registry->addConnection();
        }
        if (m_inputSinceResponse) {
            m_registry->addUnfinished(native_handle(), m_firstInputAt);
        } else {
            m_registry->addIdle(native_handle());
        }
        auto executor = asio::get_associated_executor(handler, get_executor());
        base::async_read_some(
            buffers,
            asio::bind_executor(executor,
                                [this, next = std::forward<Handler>(handler)](const asio::error_code &code, std::size_t size) mutable {
                                    if (is_open()) {
                                        m_registry->removeIdle(native_handle());
                                        m_registry->removeUnfinished(native_handle());
                                    }
                                    m_parsing = !code && size > 0;
                                    if (!m_inputSinceResponse) {
                                        m_firstInputAt = std::chrono::steady_clock::now();
                                    }
                                    m_inputSinceResponse = m_inputSinceResponse || m_parsing;
                                    if (m_parsing) {
                                        m_registry->setCurrentWatch(closeWatch());
                                    }
                                    next(code, size);
                                    m_registry->setCurrentWatch(nullptr);
                                    m_parsing = false;
                                }));
    }

    template<typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        m_inputSinceResponse = false;
        m_registry->addWriting(native_handle());
        auto executor = asio::get_associated_executor(handler, get_executor());
        base::async_write_some(
            buffers,
            asio::bind_executor(executor,
                                [this, next = std::forward<Handler>(handler)](const asio::error_code &code, std::size_t size) mutable {
                                    if (is_open()) {
                                        m_registry->removeWriting(native_handle());
                                    }
                                    next(code, size);
                                }));
    }

    /// RESTinio calls this before close(). While it parses input (m_parsing), RESTinio closes the socket only when the input is
    /// invalid.
    void shutdown(shutdown_type what, asio::error_code &code)
    {
        if (m_parsing) {
            sendBadRequest();
        }
        base::shutdown(what, code);
    }

    void close()
    {
        unregister();
        asio::error_code ignored;
        base::close(ignored);
    }

private:
    const std::shared_ptr<peer_close_watch> &closeWatch()
    {
        if (!m_watch) {
            m_watch = std::make_shared<peer_close_watch>(*this);
        }
        return m_watch;
    }

    /// Sends the 400 response without blocking.
    void sendBadRequest();
    /// Removes the socket from the registry and detaches the watch.
    void unregister();

    socket_registry *m_registry;
    std::shared_ptr<peer_close_watch> m_watch; ///< Created at the first read, because the socket is not moved after that.
    bool m_counted = false; ///< Included in the connection count of the registry.
    bool m_parsing = false; ///< RESTinio is parsing input that has just been read.
    bool m_inputSinceResponse = false; ///< Input was read since the last response was written, so the socket is not idle.
    std::chrono::steady_clock::time_point m_firstInputAt; ///< When m_inputSinceResponse became true.
};

} // namespace orioledrum
