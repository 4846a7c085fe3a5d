#include <transport/peer_server.h>

#include <server_connection.h>
#include <transport/peer_handler.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <sys/socket.h>

#include <unordered_map>

namespace orioledrum
{

namespace
{

constexpr std::size_t readBufferBytes = std::size_t{256} * 1024;
// Time between the shutdown notice and the final GOAWAY, so that streams that peers open before they receive the notice are
// still served.
constexpr std::chrono::milliseconds goawayNoticeTime(100);
// Delay before the next accept after a failure, for example when file descriptors are exhausted.
constexpr std::chrono::milliseconds acceptRetryDelay(100);

} // namespace

class peer_server::impl : public std::enable_shared_from_this<peer_server::impl>
{
public:
    impl(asio::io_context &context, const settings &settings, peer_handler &handler)
        : m_context(context)
        , m_settings(settings)
        , m_handler(handler)
        , m_acceptor(context)
        , m_shutdownTimer(context)
        , m_acceptTimer(context)
        , m_readBuffer(std::make_shared<h2_read_buffer>(readBufferBytes))
    {
    }

    expected<void> start()
    {
        constexpr auto step = "listen for peers";
        const auto endpoint = parseEndpoint(m_settings.address, step);
        if (!endpoint) {
            return tl::unexpected(endpoint.error());
        }
        asio::error_code code;
        m_acceptor.open(endpoint->protocol(), code);
        if (!code) {
            m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
        }
        if (!code && m_settings.reusePort) {
            m_acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true), code);
        }
        if (!code) {
            m_acceptor.bind(*endpoint, code);
        }
        if (!code) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, code);
        }
        if (code == asio::error::address_in_use) {
            return makeError(error_code::conflict, step, "the port is in use", m_settings.address);
        }
        if (code) {
            return makeError(error_code::unreachable, step, code.message(), m_settings.address);
        }
        m_port = m_acceptor.local_endpoint(code).port();
        accept();
        return {};
    }

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

    [[nodiscard]] std::size_t openStreams() const
    {
        std::size_t sum = 0;
        for (const auto &[key, connection] : m_connections) {
            sum += connection->openStreams();
        }
        return sum;
    }

    void close()
    {
        m_closed = true;
        stopAccepting();
        m_shutdownTimer.cancel();
        m_shutdownDone = nullptr;
        closeAll();
    }

    void shutdown(std::chrono::milliseconds timeout, std::function<void(bool)> done)
    {
        stopAccepting();
        m_shutdownDone = std::move(done);
        for (const auto &[key, connection] : m_connections) {
            connection->sendShutdownNotice();
        }
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        m_shutdownTimer.expires_after(std::min(goawayNoticeTime, timeout));
        m_shutdownTimer.async_wait([weak = weak_from_this(), deadline](const asio::error_code &code) {
            if (const auto self = weak.lock(); self && !code) {
                self->drain(deadline);
            }
        });
        reportShutdownIfDone();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([weak = weak_from_this()](const asio::error_code &code, asio::ip::tcp::socket socket) {
            const auto self = weak.lock();
            if (!self || !self->m_acceptor.is_open() || code == asio::error::operation_aborted) {
                return;
            }
            if (code) {
                self->retryAcceptLater();
                return;
            }
            self->addConnection(std::move(socket));
            self->accept();
        });
    }

    void retryAcceptLater()
    {
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([weak = weak_from_this()](const asio::error_code &code) {
            if (const auto self = weak.lock(); self && !code && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void addConnection(asio::ip::tcp::socket socket)
    {
        const auto onClosed = [weak = weak_from_this()](server_connection &closed) {
            if (const auto self = weak.lock()) {
                self->m_connections.erase(&closed);
                self->reportShutdownIfDone();
            }
        };
        const server_connection::dependencies dependencies{m_context, m_settings, m_handler, onClosed};
        const auto connection = std::make_shared<server_connection>(std::move(socket), m_readBuffer, dependencies);
        if (connection->open()) {
            m_connections[connection.get()] = connection;
        }
    }

    void stopAccepting()
    {
        asio::error_code ignored;
        m_acceptor.close(ignored);
        m_acceptTimer.cancel();
    }

    void drain(std::chrono::steady_clock::time_point deadline)
    {
        const auto connections = m_connections;
        for (const auto &[key, connection] : connections) {
            connection->drain();
        }
        m_shutdownTimer.expires_at(deadline);
        m_shutdownTimer.async_wait([weak = weak_from_this()](const asio::error_code &code) {
            if (const auto self = weak.lock(); self && !code) {
                const bool complete = self->openStreams() == 0;
                self->closeAll();
                self->reportShutdown(complete);
            }
        });
    }

    void closeAll()
    {
        const auto connections = std::exchange(m_connections, {});
        for (const auto &[key, connection] : connections) {
            connection->closeWithoutNotification();
        }
    }

    void reportShutdownIfDone()
    {
        if (m_shutdownDone && m_connections.empty()) {
            m_shutdownTimer.cancel();
            reportShutdown(true);
        }
    }

    void reportShutdown(bool complete)
    {
        if (m_shutdownDone) {
            asio::post(m_context, [weak = weak_from_this(), done = std::exchange(m_shutdownDone, nullptr), complete] {
                if (const auto self = weak.lock(); self && !self->m_closed) {
                    done(complete);
                }
            });
        }
    }

    asio::io_context &m_context;
    settings m_settings;
    peer_handler &m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_shutdownTimer;
    asio::steady_timer m_acceptTimer;
    std::shared_ptr<h2_read_buffer> m_readBuffer;
    std::unordered_map<server_connection *, std::shared_ptr<server_connection>> m_connections;
    std::function<void(bool)> m_shutdownDone;
    std::uint16_t m_port = 0;
    bool m_closed = false;
};

expected<std::unique_ptr<peer_server>> peer_server::create(asio::io_context &context, const settings &settings, peer_handler &handler)
{
    auto implementation = std::make_shared<impl>(context, settings, handler);
    if (auto started = implementation->start(); !started) {
        return tl::unexpected(started.error());
    }
    return std::unique_ptr<peer_server>(new peer_server(std::move(implementation)));
}

peer_server::peer_server(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

peer_server::~peer_server()
{
    m_impl->close();
}

std::uint16_t peer_server::port() const
{
    return m_impl->port();
}

std::size_t peer_server::connections() const
{
    return m_impl->connections();
}

std::size_t peer_server::openStreams() const
{
    return m_impl->openStreams();
}

void peer_server::shutdown(std::chrono::milliseconds timeout, std::function<void(bool)> done)
{
    m_impl->shutdown(timeout, std::move(done));
}

} // namespace orioledrum
