#pragma once

#include <connection_input.h>
#include <peer_close_watch.h>
#include <socket_registry.h>

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace orioledrum
{

/// TCP socket of an accepted HTTP connection. It sends a response when the input is invalid or refused (RESTinio itself only closes the
/// connection), and it registers with the socket_registry while it waits for a request or for its client to take a response.
/// RESTinio uses it as the stream socket of its traits, so the functions have the names that Asio uses.
class server_socket : public asio::ip::tcp::socket
{
public:
    using base = asio::ip::tcp::socket;

    explicit server_socket(asio::io_context &context)
        : base(context)
        , m_context(&context)
        , m_registry(&asio::use_service<socket_registry>(context))
    {
    }

    server_socket(server_socket &&other) noexcept
        : base(std::move(other))
        , m_context(other.m_context)
        , m_registry(other.m_registry)
    {
    }

    server_socket &operator=(server_socket &&other) = delete;
    server_socket(const server_socket &) = delete;
    server_socket &operator=(const server_socket &) = delete;
    ~server_socket() { unregister(); }

    template<typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        beforeRead();
        auto executor = asio::get_associated_executor(handler, get_executor());
        base::async_read_some(
            buffers,
            asio::bind_executor(executor, [this, next = std::forward<Handler>(handler)](asio::error_code code, std::size_t size) mutable {
                if (is_open()) {
                    m_registry->removeIdle(native_handle());
                    m_registry->removeUnfinished(native_handle());
                }
                const bool parsing = !code && size > 0;
                const parsing_scope scope(*this, parsing);
                if (parsing && !m_input->receive(size)) {
                    code = asio::error::message_size;
                }
                next(code, size);
            }));
    }

    template<typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        const auto sentAhead = m_watch ? m_watch->takeSentAhead() : std::size_t{0};
        m_registry->addWriting(native_handle());
        auto executor = asio::get_associated_executor(handler, get_executor());
        base::async_write_some(
            withoutFirst(buffers, sentAhead),
            asio::bind_executor(
                executor, [this, sentAhead, next = std::forward<Handler>(handler)](const asio::error_code &code, std::size_t size) mutable {
                    if (is_open()) {
                        m_registry->removeWriting(native_handle());
                    }
                    m_input->recordTaken(size);
                    // RESTinio parses the next request in this handler when it has already read it.
                    const parsing_scope scope(*this, false);
                    next(code, code ? size : size + sentAhead);
                }));
    }

    /// RESTinio calls this before close(). It closes the socket while it parses input only when the input is invalid or was refused; the
    /// client then receives the reason.
    void shutdown(shutdown_type what, asio::error_code &code)
    {
        if (m_input && m_input->rejection() != 0) {
            sendRejection(m_input->rejection());
        } else if (m_input && m_input->isParsing()) {
            sendRejection(badRequest);
        } else {
            base::shutdown(what, code);
        }
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

    static constexpr int badRequest = 400;

    /// Makes the state of the connection known to the callbacks of the parser.
    class parsing_scope
    {
    public:
        /// @param parsing RESTinio parses input that has just been read.
        parsing_scope(server_socket &socket, bool parsing)
            : m_input(socket.m_input)
        {
            m_input->setParsing(parsing);
            connection_input::setCurrent(m_input.get());
            socket_registry::setCurrentWatch(socket.closeWatch());
        }
        parsing_scope(const parsing_scope &) = delete;
        parsing_scope &operator=(const parsing_scope &) = delete;
        ~parsing_scope()
        {
            socket_registry::setCurrentWatch(nullptr);
            connection_input::setCurrent(nullptr);
            m_input->setParsing(false);
        }

    private:
        std::shared_ptr<connection_input> m_input; // The socket may be destroyed before this object.
    };

    /// @return The buffers without their first bytes.
    template<typename Buffers>
    static std::vector<asio::const_buffer> withoutFirst(const Buffers &buffers, std::size_t bytes)
    {
        std::vector<asio::const_buffer> result;
        for (auto each = asio::buffer_sequence_begin(buffers); each != asio::buffer_sequence_end(buffers); ++each) {
            asio::const_buffer buffer(*each);
            const auto skipped = std::min(bytes, buffer.size());
            bytes -= skipped;
            buffer += skipped;
            if (buffer.size() > 0) {
                result.push_back(buffer);
            }
        }
        return result;
    }

    /// Registers the socket at its first read, and records what it waits for.
    void beforeRead();
    /// Sends a response without blocking, and lets the client take it: what it still sends is read and dropped for a bounded time.
    void sendRejection(int status);
    /// Removes the socket from the registry and detaches the watch.
    void unregister();

    asio::io_context *m_context;
    socket_registry *m_registry;
    std::shared_ptr<peer_close_watch> m_watch; ///< Created at the first read, because the socket is not moved after that.
    std::shared_ptr<connection_input> m_input; ///< Created at the first read, and with it the policy.
    std::shared_ptr<const request_policy> m_policy;
    bool m_unregistered = false;
};

} // namespace orioledrum
