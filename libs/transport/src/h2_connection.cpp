#include <h2_connection.h>

#include <peer_traffic_counters.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <charconv>

namespace orioledrum
{

namespace
{

// Flow-control windows; large enough for a message of 1 MB (request body or reply frame) to be sent without waiting for
// WINDOW_UPDATE.
constexpr std::int32_t streamWindowBytes = 4 * 1024 * 1024;
constexpr std::int32_t connectionWindowBytes = 64 * 1024 * 1024;
// No more output is collected for a write once it has this size. Larger writes would only delay a pending PING.
constexpr std::size_t writeBatchBytes = std::size_t{256} * 1024;
// Limits the reads of one event, so that a busy connection does not delay the other connections of its thread.
constexpr int maxReadsPerEvent = 4;

} // namespace

h2_connection::h2_connection(asio::ip::tcp::socket socket, std::shared_ptr<h2_read_buffer> readBuffer)
    : m_socket(std::move(socket))
    , m_readBuffer(std::move(readBuffer))
{
    peer_traffic_counters::add(peer_traffic_counters::instance().connections, 1);
    asio::error_code ignored;
    m_remote = describeEndpoint(m_socket.remote_endpoint(ignored));
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

h2_connection::~h2_connection()
{
    peer_traffic_counters::instance().connections.fetch_sub(1, std::memory_order_relaxed);
    nghttp2_session_del(m_session);
}

void h2_connection::start(nghttp2_session *session)
{
    m_session = session;
    waitForRead();
    scheduleFlush();
}

void h2_connection::scheduleFlush()
{
    if (m_flushPosted || m_closed || m_receiving || m_writing) {
        return;
    }
    m_flushPosted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void h2_connection::close(const error &reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    onClosed(reason);
}

void h2_connection::waitForRead()
{
    if (m_closed) {
        return;
    }
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code &code) {
        if (!code && !self->m_closed) {
            self->readAvailable();
        }
    });
}

void h2_connection::readAvailable()
{
    for (int i = 0; i < maxReadsPerEvent && !m_closed; ++i) {
        asio::error_code code;
        const std::size_t size = m_socket.read_some(asio::buffer(*m_readBuffer), code);
        if (code == asio::error::would_block || code == asio::error::try_again) {
            break;
        }
        if (code) {
            const std::string message =
                code == asio::error::eof ? "the peer closed the connection" : "the connection was lost: " + code.message();
            close({error_code::unreachable, message, "read from peer", m_remote});
            return;
        }
        peer_traffic_counters::add(peer_traffic_counters::instance().bytesReceived, size);
        m_receiving = true;
        const auto consumed = nghttp2_session_mem_recv(m_session, m_readBuffer->data(), size);
        if (consumed >= 0 && !m_closed) {
            onReceived();
        }
        m_receiving = false;
        if (m_closed) {
            return;
        }
        if (consumed < 0) {
            close({error_code::protocolError, nghttp2_strerror(static_cast<int>(consumed)), "read from peer", m_remote});
            return;
        }
        flush();
        if (size < m_readBuffer->size()) {
            break;
        }
    }
    waitForRead();
}

void h2_connection::flush()
{
    if (m_writing || m_closed || m_sendClosed) {
        return;
    }
    m_writeBuffer.clear();
    while (m_writeBuffer.size() < writeBatchBytes) {
        const std::uint8_t *data = nullptr;
        const auto size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0) {
            close({error_code::internal, nghttp2_strerror(static_cast<int>(size)), "write to peer", m_remote});
            return;
        }
        if (size == 0) {
            break;
        }
        m_writeBuffer.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    if (m_writeBuffer.empty()) {
        if (nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0) {
            if (m_closeWhenIdle) {
                m_sendClosed = true;
                asio::error_code ignored;
                m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            } else {
                close({error_code::unreachable, "the connection has ended", "write to peer", m_remote});
            }
        }
        return;
    }
    m_writing = true;
    peer_traffic_counters::add(peer_traffic_counters::instance().bytesSent, m_writeBuffer.size());
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), [self = shared_from_this()](const asio::error_code &code, std::size_t) {
        self->m_writing = false;
        if (self->m_closed) {
            return;
        }
        if (code) {
            self->close({error_code::unreachable, "the connection was lost: " + code.message(), "write to peer", self->m_remote});
            return;
        }
        self->flush();
    });
}

std::string describeEndpoint(const asio::ip::tcp::endpoint &endpoint)
{
    const auto address = endpoint.address().to_string();
    return (endpoint.address().is_v6() ? "[" + address + "]" : address) + ":" + std::to_string(endpoint.port());
}

expected<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text, std::string step)
{
    const auto invalidAddress = [&] {
        return makeError(error_code::invalidArgument, std::move(step), "the address is not of the form IP:port", std::string(text));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalidAddress();
    }
    auto ipText = text.substr(0, colon);
    const auto portDigits = text.substr(colon + 1);
    if (ipText.size() > 2 && ipText.front() == '[' && ipText.back() == ']') {
        ipText = ipText.substr(1, ipText.size() - 2);
    }
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portDigits.data(), portDigits.data() + portDigits.size(), port);
    asio::error_code code;
    const auto address = asio::ip::make_address(std::string(ipText), code);
    if (code || portDigits.empty() || parsed.ec != std::errc{} || parsed.ptr != portDigits.data() + portDigits.size()) {
        return invalidAddress();
    }
    return asio::ip::tcp::endpoint(address, port);
}

void submitSettings(nghttp2_session *session, std::uint32_t maxStreams)
{
    const std::array entries{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(streamWindowBytes)},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

} // namespace orioledrum
