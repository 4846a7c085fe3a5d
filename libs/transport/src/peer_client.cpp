#include <transport/peer_client.h>

#include <client_connection.h>
#include <deadline_queue.h>

#include <base/random_source.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

namespace
{

constexpr std::size_t readBufferBytes = std::size_t{256} * 1024;
// Time after which an unused peer_link without a connection or open streams is removed. This is checked when an address is
// added and there are at least minLinksToSweep links.
constexpr std::chrono::seconds linkRetention(60);
constexpr std::size_t minLinksToSweep = 64;

/// Connection state of one peer address.
struct peer_link {
    asio::ip::tcp::endpoint endpoint;
    std::shared_ptr<client_connection> connection; ///< Connection for new streams; empty while there is none.
    std::shared_ptr<asio::ip::tcp::socket> connectingSocket; ///< Socket of the connect in progress, if any.
    std::vector<std::shared_ptr<client_stream>> waitingStreams; ///< Requests to submit once the connection is established.
    std::size_t openStreams = 0;
    unsigned consecutiveFailures = 0;
    std::string lastFailure; ///< Message of the last failed connect.
    std::chrono::steady_clock::time_point nextConnectTime{}; ///< End of the backoff delay; until then new requests fail.
    std::chrono::steady_clock::time_point lastUsed{};
};

bool isValidPath(std::string_view path)
{
    return path.starts_with('/') && std::all_of(path.begin(), path.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

} // namespace

class peer_client::impl : public std::enable_shared_from_this<peer_client::impl>, public client_connection::observer
{
public:
    impl(asio::io_context &context, const settings &settings)
        : m_context(context)
        , m_settings(settings)
        , m_random(settings.seed == 0 ? random_source::fromSystem() : random_source(settings.seed))
        , m_deadlines(context, [this](std::uint64_t handle) { onDeadline(handle); })
        , m_shutdownTimer(context)
        , m_readBuffer(std::make_shared<h2_read_buffer>(readBufferBytes))
    {
    }

    peer_stream_handle send(std::string_view address,
                            std::string_view path,
                            std::string body,
                            std::chrono::milliseconds timeout,
                            on_frame frame,
                            on_stream_end end)
    {
        constexpr auto step = "send to peer";
        const auto stream = std::make_shared<client_stream>(m_settings.maxFrameBytes);
        stream->handle = ++m_lastHandle;
        stream->address = address;
        stream->path = path;
        stream->body = std::move(body);
        stream->deadline = std::chrono::steady_clock::now() + timeout;
        stream->onFrame = std::move(frame);
        stream->onEnd = std::move(end);
        m_streams[stream->handle] = stream;

        const auto refuse = [&](error_code code, std::string message) {
            postEnd(stream, {error{code, std::move(message), step, stream->address}, false, false});
            return peer_stream_handle{stream->handle};
        };
        if (m_shuttingDown) {
            return refuse(error_code::draining, "the client is stopping");
        }
        if (!isValidPath(path)) {
            return refuse(error_code::invalidArgument, "the path is not valid");
        }
        if (stream->body.size() > m_settings.maxBodyBytes) {
            return refuse(error_code::tooLarge, "the request exceeds " + std::to_string(m_settings.maxBodyBytes) + " bytes");
        }
        auto *link = findOrAddLink(stream->address);
        if (link == nullptr) {
            return refuse(error_code::invalidArgument, "the address is not of the form IP:port");
        }
        link->lastUsed = std::chrono::steady_clock::now();
        if (link->openStreams >= m_settings.maxStreams) {
            return refuse(error_code::overloaded, "too many open streams to this peer");
        }
        const bool connected = link->connection != nullptr;
        if (!connected && !link->connectingSocket && link->lastUsed < link->nextConnectTime) {
            return refuse(error_code::unreachable, "connecting is being retried after: " + link->lastFailure);
        }
        ++link->openStreams;
        stream->countedAsOpen = true;
        m_deadlines.add(stream->handle, stream->deadline);
        if (connected) {
            link->connection->submit(stream);
        } else {
            link->waitingStreams.push_back(stream);
            if (!link->connectingSocket) {
                connect(stream->address, *link);
            }
        }
        return peer_stream_handle{stream->handle};
    }

    void cancel(std::uint64_t handle)
    {
        const auto found = m_streams.find(handle);
        if (found == m_streams.end() || found->second->ended) {
            return;
        }
        const auto stream = found->second;
        resetOrDequeue(*stream);
        postEnd(stream,
                {error{error_code::cancelled, "the request was cancelled", "wait for peer", stream->address}, stream->sendStarted, false});
    }

    [[nodiscard]] std::size_t openStreams() const { return m_streams.size(); }

    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

    void shutdown(std::chrono::milliseconds timeout, std::function<void(bool)> done)
    {
        m_shuttingDown = true;
        m_shutdownDone = std::move(done);
        m_shutdownTimer.expires_after(timeout);
        m_shutdownTimer.async_wait([weak = weak_from_this()](const asio::error_code &code) {
            if (const auto self = weak.lock(); self && !code && !self->m_closed) {
                self->forceShutdown();
            }
        });
        const auto connections = m_connections;
        for (const auto &[key, connection] : connections) {
            connection->drain();
        }
        reportShutdownIfDone();
    }

    void close()
    {
        m_closed = true;
        m_shutdownTimer.cancel();
        for (auto &[address, link] : m_links) {
            link.waitingStreams.clear();
            closeSocket(link);
        }
        const auto connections = std::exchange(m_connections, {});
        for (const auto &[key, connection] : connections) {
            connection->closeWithoutNotification();
        }
        m_links.clear();
        m_streams.clear();
    }

private:
    peer_link *findOrAddLink(const std::string &address)
    {
        if (const auto found = m_links.find(address); found != m_links.end()) {
            return &found->second;
        }
        const auto endpoint = parseEndpoint(address, "send to peer");
        if (!endpoint) {
            return nullptr;
        }
        if (m_links.size() >= minLinksToSweep) {
            const auto oldestKept = std::chrono::steady_clock::now() - linkRetention;
            std::erase_if(m_links, [&](const auto &entry) {
                const auto &link = entry.second;
                return !link.connection && !link.connectingSocket && link.openStreams == 0 && link.lastUsed < oldestKept;
            });
        }
        auto &link = m_links[address];
        link.endpoint = *endpoint;
        return &link;
    }

    static void closeSocket(peer_link &link)
    {
        if (link.connectingSocket) {
            asio::error_code ignored;
            link.connectingSocket->close(ignored);
            link.connectingSocket.reset();
        }
    }

    void connect(const std::string &address, peer_link &link)
    {
        const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
        const auto timer = std::make_shared<asio::steady_timer>(m_context, m_settings.connectTimeout);
        link.connectingSocket = socket;
        timer->async_wait([weak = weak_from_this(), address, socket](const asio::error_code &code) {
            const auto self = weak.lock();
            if (!code && self && !self->m_closed) {
                self->onConnect(address, socket, asio::error::timed_out);
            }
        });
        socket->async_connect(link.endpoint, [weak = weak_from_this(), address, socket, timer](const asio::error_code &code) {
            timer->cancel();
            const auto self = weak.lock();
            if (self && !self->m_closed) {
                self->onConnect(address, socket, code);
            }
        });
    }

    void onConnect(const std::string &address, const std::shared_ptr<asio::ip::tcp::socket> &socket, const asio::error_code &code)
    {
        const auto found = m_links.find(address);
        if (found == m_links.end() || found->second.connectingSocket != socket) {
            return; // This connect has already timed out or was aborted.
        }
        auto &link = found->second;
        link.connectingSocket.reset();
        const auto waitingStreams = std::exchange(link.waitingStreams, {});
        if (code) {
            asio::error_code ignored;
            socket->close(ignored);
            onConnectFailed(link, code.message());
            failAll(waitingStreams, "connecting failed: " + link.lastFailure);
            return;
        }
        const client_connection::ping_settings pingSettings{m_settings.pingInterval, m_settings.pingTimeout};
        const auto connection = std::make_shared<client_connection>(std::move(*socket), m_readBuffer, address, pingSettings, *this);
        if (const auto opened = connection->open(); !opened) {
            onConnectFailed(link, opened.error().message);
            failAll(waitingStreams, "connecting failed: " + link.lastFailure);
            return;
        }
        link.consecutiveFailures = 0;
        link.connection = connection;
        m_connections[connection.get()] = connection;
        for (const auto &stream : waitingStreams) {
            if (!stream->ended) {
                connection->submit(stream);
            }
        }
        if (m_shuttingDown) {
            connection->drain();
        }
    }

    void onConnectFailed(peer_link &link, std::string message)
    {
        link.lastFailure = std::move(message);
        const unsigned doublings = std::min(link.consecutiveFailures, 16U);
        ++link.consecutiveFailures;
        const auto maxDelay = std::min(m_settings.maxBackoff, m_settings.initialBackoff * (1U << doublings));
        // Half of the delay is random, so that many clients do not reconnect at the same time.
        const auto delay = std::chrono::duration<double, std::milli>(maxDelay) * (0.5 + 0.5 * m_random.nextDouble());
        link.nextConnectTime = std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay);
    }

    void failAll(const std::vector<std::shared_ptr<client_stream>> &streams, const std::string &message)
    {
        const auto self = shared_from_this();
        for (const auto &stream : streams) {
            endStream(*stream, {error{error_code::unreachable, message, "connect to peer", stream->address}, false, false});
        }
    }

    void onStreamEnd(client_stream &stream, peer_stream_end end) override { endStream(stream, end); }

    void onNoNewStreams(client_connection &connection) override
    {
        const auto found = m_links.find(connection.address());
        if (found != m_links.end() && found->second.connection.get() == &connection) {
            found->second.connection.reset();
        }
    }

    void onConnectionClosed(client_connection &connection,
                            const std::vector<std::shared_ptr<client_stream>> &streams,
                            const error &reason) override
    {
        const auto self = shared_from_this();
        const bool unresponsive = connection.pingTimedOut();
        const std::string address = connection.address();
        onNoNewStreams(connection);
        m_connections.erase(&connection);
        const auto found = m_links.find(address);
        if (unresponsive && !m_shuttingDown && found != m_links.end() && !found->second.connection && !found->second.connectingSocket) {
            connect(address, found->second);
        }
        for (const auto &stream : streams) {
            if (m_closed) {
                return;
            }
            endStream(*stream, {error{reason.code, reason.message, "wait for peer", address}, stream->sendStarted, false});
        }
        reportShutdownIfDone();
    }

    /// Resets a stream on its connection, or removes it from the streams that wait for a connection.
    void resetOrDequeue(client_stream &stream)
    {
        if (const auto connection = stream.connection.lock()) {
            connection->reset(stream);
        } else if (const auto found = m_links.find(stream.address); found != m_links.end()) {
            std::erase_if(found->second.waitingStreams, [&](const auto &entry) { return entry.get() == &stream; });
        }
    }

    /// Marks a stream as ended, removes its deadline and no longer counts it as open. Does not call onEnd.
    void markEnded(client_stream &stream)
    {
        stream.ended = true;
        stream.onFrame = nullptr;
        m_deadlines.remove(stream.handle, stream.deadline);
        if (std::exchange(stream.countedAsOpen, false)) {
            if (const auto found = m_links.find(stream.address); found != m_links.end()) {
                --found->second.openStreams;
            }
        }
    }

    /// Ends a stream and calls its onEnd. Has no effect when the stream has already ended.
    void endStream(client_stream &endedStream, const peer_stream_end &end)
    {
        const auto self = shared_from_this();
        const auto found = m_streams.find(endedStream.handle);
        if (found == m_streams.end() || endedStream.ended) {
            return;
        }
        const auto stream = std::move(found->second);
        m_streams.erase(found);
        markEnded(*stream);
        if (stream->onEnd) {
            stream->onEnd(end);
        }
        reportShutdownIfDone();
    }

    /// Ends a stream; its onEnd is called from a posted handler, so that it never runs within send() or cancel().
    void postEnd(const std::shared_ptr<client_stream> &stream, peer_stream_end end)
    {
        markEnded(*stream);
        asio::post(m_context, [weak = weak_from_this(), stream, end = std::move(end)] {
            const auto self = weak.lock();
            if (!self || self->m_closed) {
                return;
            }
            self->m_streams.erase(stream->handle);
            if (stream->onEnd) {
                stream->onEnd(end);
            }
            self->reportShutdownIfDone();
        });
    }

    void onDeadline(std::uint64_t handle)
    {
        const auto found = m_streams.find(handle);
        if (found == m_streams.end() || found->second->ended) {
            return;
        }
        const auto stream = found->second;
        resetOrDequeue(*stream);
        endStream(*stream,
                  {error{error_code::deadlineExceeded, "no end of the reply within the timeout", "wait for peer", stream->address},
                   stream->sendStarted,
                   false});
    }

    void reportShutdownIfDone()
    {
        if (m_shutdownDone && !m_closed && m_streams.empty() && m_connections.empty()) {
            m_shutdownTimer.cancel();
            reportShutdown(true);
        }
    }

    void forceShutdown()
    {
        const auto self = shared_from_this();
        const bool complete = m_streams.empty();
        std::vector<std::uint64_t> openHandles;
        for (const auto &[handle, stream] : m_streams) {
            openHandles.push_back(handle);
        }
        for (const auto handle : openHandles) {
            cancel(handle);
        }
        for (auto &[address, link] : m_links) {
            closeSocket(link);
            link.connection.reset();
        }
        const auto connections = std::exchange(m_connections, {});
        for (const auto &[key, connection] : connections) {
            connection->closeWithoutNotification();
        }
        reportShutdown(complete);
    }

    /// Posts the callback of shutdown(), so that it runs after the end callbacks of the streams.
    void reportShutdown(bool complete)
    {
        if (!m_shutdownDone) {
            return;
        }
        asio::post(m_context, [weak = weak_from_this(), done = std::exchange(m_shutdownDone, nullptr), complete] {
            if (const auto self = weak.lock(); self && !self->m_closed) {
                done(complete);
            }
        });
    }

    asio::io_context &m_context;
    settings m_settings;
    random_source m_random;
    deadline_queue m_deadlines;
    asio::steady_timer m_shutdownTimer;
    std::shared_ptr<h2_read_buffer> m_readBuffer;
    std::unordered_map<std::string, peer_link> m_links;
    std::unordered_map<client_connection *, std::shared_ptr<client_connection>> m_connections;
    std::unordered_map<std::uint64_t, std::shared_ptr<client_stream>> m_streams;
    std::function<void(bool)> m_shutdownDone;
    std::uint64_t m_lastHandle = 0;
    bool m_shuttingDown = false;
    bool m_closed = false;
};

expected<std::unique_ptr<peer_client>> peer_client::create(asio::io_context &context, const settings &settings)
{
    if (settings.pingInterval.count() <= 0 || settings.pingTimeout.count() <= 0 || settings.connectTimeout.count() <= 0) {
        return makeError(error_code::invalidArgument, "create peer client", "times must be greater than 0");
    }
    return std::unique_ptr<peer_client>(new peer_client(std::make_shared<impl>(context, settings)));
}

peer_client::peer_client(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

peer_client::~peer_client()
{
    m_impl->close();
}

peer_stream_handle peer_client::send(std::string_view address,
                                     std::string_view path,
                                     std::string body,
                                     std::chrono::milliseconds timeout,
                                     on_frame frame,
                                     on_stream_end end)
{
    return m_impl->send(address, path, std::move(body), timeout, std::move(frame), std::move(end));
}

void peer_client::cancel(peer_stream_handle handle)
{
    m_impl->cancel(static_cast<std::uint64_t>(handle));
}

std::size_t peer_client::openStreams() const
{
    return m_impl->openStreams();
}

std::size_t peer_client::connections() const
{
    return m_impl->connections();
}

void peer_client::shutdown(std::chrono::milliseconds timeout, std::function<void(bool)> done)
{
    m_impl->shutdown(timeout, std::move(done));
}

} // namespace orioledrum
