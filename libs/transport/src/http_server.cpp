#include <transport/http_server.h>

#include <peer_close_watch.h>
#include <server_socket.h>
#include <transport/http_exchange.h>
#include <transport/http_handler.h>

#include <restinio/all.hpp>

#include <sys/resource.h>

#include <http_parser.h>

#include <atomic>
#include <future>
#include <mutex>
#include <optional>
#include <thread>

namespace orioledrum
{

namespace
{

/// The standard HTTP methods. A separate type, so that the parser settings below apply only to this server.
struct server_methods : restinio::default_http_methods_t {
};

} // namespace

} // namespace orioledrum

namespace restinio::impl
{

/// RESTinio closes the connection when a body exceeds the limit. These settings read such a body to its end, but store
/// only one byte more than the limit, so that the request handler detects the excess and responds with 413.
template<>
inline http_parser_settings create_parser_settings<orioledrum::server_methods>() noexcept
{
    http_parser_settings settings = create_parser_settings<restinio::default_http_methods_t>();
    settings.on_headers_complete = [](http_parser *parser) -> int {
        auto *context = static_cast<http_parser_ctx_t *>(parser->data);
        context->m_leading_headers_completed = true;
        return 0;
    };
    settings.on_body = [](http_parser *parser, const char *at, std::size_t length) -> int {
        auto *context = static_cast<http_parser_ctx_t *>(parser->data);
        const auto limit = context->m_limits.max_body_size();
        try {
            const std::size_t remaining = limit + 1 - context->m_body.size();
            context->m_body.append(at, std::min(length, remaining));
        } catch (const std::exception &) {
            return -1;
        }
        return 0;
    };
    return settings;
}

} // namespace restinio::impl

namespace orioledrum
{

namespace
{

/// Size of the shortest header field: a name of one byte, a colon and a line end.
constexpr std::size_t minHeaderFieldBytes = 4;
/// In place of no limit: RESTinio limits the time of each operation. It adds the limit to the current time, which must not overflow.
constexpr std::chrono::hours unlimitedTime{24 * 365 * 100};

/// Raises the limit of the HTTP parser on the size of heads, which is one for the process.
void raiseMaxHeadBytes(std::size_t bytes)
{
    static std::mutex mutex;
    static std::size_t greatest = 0;
    const std::lock_guard lock(mutex);
    if (bytes > greatest) {
        greatest = bytes;
        http_parser_set_max_header_size(static_cast<std::uint32_t>(std::min<std::size_t>(bytes, UINT32_MAX)));
    }
}

/// Caps the connections at half of the process's descriptor limit. RESTinio permanently stops accepting when a connection
/// cannot be accepted because no descriptor is free.
std::size_t limitByDescriptors(std::size_t wanted)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return wanted;
    }
    return std::min<std::size_t>(wanted, limit.rlim_cur / 2);
}

/// Rejects connections over the limit. RESTinio's own limiter cannot be used, because connections refer to it in their
/// destructor, which may run after the server was destroyed.
class connection_limiter
{
public:
    connection_limiter(asio::io_context &context, std::size_t maxConnections)
        : m_registry(asio::use_service<socket_registry>(context))
        , m_maxConnections(maxConnections)
    {
    }

    [[nodiscard]] restinio::ip_blocker::inspection_result_t inspect(const restinio::ip_blocker::incoming_info_t &) const noexcept
    {
        return m_registry.connectionCount() < m_maxConnections ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
    }

private:
    socket_registry &m_registry;
    std::size_t m_maxConnections;
};

struct server_traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
    using http_methods_mapper_t = server_methods;
    using stream_socket_t = server_socket;
    using ip_blocker_t = connection_limiter;
};

/// Number of requests whose response has not been written. Responses that are being written share ownership, because they may
/// outlive the server.
using request_counter = std::atomic<std::size_t>;

/// Increments the counter; the destruction of the returned token decrements it.
std::shared_ptr<void> makeRequestToken(const std::shared_ptr<request_counter> &counter)
{
    ++*counter;
    return {counter.get(), [counter](void *) { --*counter; }};
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

bool isValidField(const http_header &header)
{
    return !header.name.empty() && header.name.find_first_of("\r\n: ") == std::string::npos
        && header.value.find_first_of("\r\n") == std::string::npos;
}

/// The parts of a server that an exchange needs. Ownership is shared, because an exchange may outlive the server.
struct server_core {
    explicit server_core(std::size_t threads)
        : ownedContext(std::make_unique<asio::io_context>(static_cast<int>(threads)))
        , context(*ownedContext)
    {
    }

    explicit server_core(asio::io_context &shared)
        : context(shared)
    {
    }

    std::unique_ptr<asio::io_context> ownedContext; ///< Empty when the user of http_server runs the context.
    asio::io_context &context;
    std::unique_ptr<restinio::http_server_t<server_traits>> server;
    std::shared_ptr<request_counter> requestCounter = std::make_shared<request_counter>(0);
    std::atomic<bool> draining = false; ///< Responses contain "Connection: close".
};

class restinio_exchange final : public http_exchange
{
public:
    restinio_exchange(std::shared_ptr<server_core> core, restinio::request_handle_t request, bool closeConnection)
        : m_core(std::move(core))
        , m_request(std::move(request))
        , m_token(makeRequestToken(m_core->requestCounter))
        , m_watch(asio::use_service<socket_registry>(m_core->context).currentWatch())
        , m_closeConnection(closeConnection)
    {
    }

    restinio_exchange(const restinio_exchange &) = delete;
    restinio_exchange &operator=(const restinio_exchange &) = delete;

    ~restinio_exchange() override
    {
        respond(errorResponse(500, {error_code::internal, "the request was dropped without an answer", "handle request", {}}));
    }

    bool respond(http_response response) override
    {
        if (m_answered.exchange(true)) {
            return false;
        }
        const bool valid = response.status >= 200 && response.status <= 999 && isValidField({"Content-Type", response.contentType})
            && std::all_of(response.headers.begin(), response.headers.end(), isValidField);
        if (!valid) {
            response = errorResponse(
                500, {error_code::internal, "the answer has a header field or a status that is not valid", "answer request", {}});
        }
        if (m_watch) {
            m_watch->stop();
            m_watch.reset();
        }
        write(std::move(response));
        m_request.reset();
        m_token.reset();
        return true;
    }

    void onCallerDisconnected(std::function<void()> callback) override
    {
        if (m_watch && !m_answered) {
            m_watch->start(std::move(callback));
        }
    }

private:
    void write(http_response response)
    {
        const auto status = restinio::http_status_code_t(static_cast<std::uint16_t>(response.status));
        auto message = m_request->create_response(restinio::http_status_line_t(status, std::string(reasonPhrase(response.status))));
        if (m_closeConnection || m_core->draining || !m_request->header().should_keep_alive()) {
            message.connection_close();
        } else {
            message.connection_keep_alive();
        }
        if (!response.contentType.empty()) {
            message.append_header(restinio::http_field::content_type, std::move(response.contentType));
        }
        for (auto &header : response.headers) {
            message.append_header(std::move(header.name), std::move(header.value));
        }
        if (m_request->header().method() != restinio::http_method_head()) {
            message.set_body(std::move(response.body));
        }
        message.done([token = std::move(m_token)](const auto &) {});
    }

    std::shared_ptr<server_core> m_core; // Declared first, so destroyed last: m_request's connection uses the io_context of the core.
    restinio::request_handle_t m_request;
    std::shared_ptr<void> m_token;
    std::shared_ptr<peer_close_watch> m_watch;
    std::atomic<bool> m_answered = false;
    bool m_closeConnection; ///< Close the connection after the response.
};

http_request toRequest(const restinio::request_t &source)
{
    const auto &header = source.header();
    http_request request;
    request.method = header.method().c_str();
    request.path = std::string(header.path());
    request.query = std::string(header.query());
    request.target = header.request_target();
    header.for_each_field([&](const auto &field) { request.headers.push_back({field.name(), field.value()}); });
    request.body = source.body();
    const auto &remote = source.remote_endpoint();
    const auto address = remote.address().to_string();
    request.remoteAddress = (remote.address().is_v6() ? "[" + address + "]" : address) + ":" + std::to_string(remote.port());
    return request;
}

} // namespace

class http_server::impl
{
public:
    impl(const settings &settings, http_handler &handler)
        : m_settings(settings)
        , m_handler(handler)
        , m_core(std::make_shared<server_core>(settings.threads))
        , m_work(asio::make_work_guard(m_core->context))
    {
    }

    impl(asio::io_context &context, const settings &settings, http_handler &handler)
        : m_settings(settings)
        , m_handler(handler)
        , m_core(std::make_shared<server_core>(context))
    {
        m_settings.threads = 0;
    }

    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    ~impl()
    {
        if (!m_stopped) {
            stopThreads();
        }
        // Open connections are destroyed together with the io_context, or later if an exchange keeps the core alive.
        m_core->server.reset();
    }

    expected<void> start()
    {
        const std::string peer = m_settings.address + ":" + std::to_string(m_settings.port);
        asio::error_code code;
        const auto address = asio::ip::make_address(m_settings.address, code);
        if (code) {
            return makeError(error_code::invalidArgument, "listen", "the address is not an IP address", peer);
        }
        if (m_core->ownedContext && m_settings.threads == 0) {
            return makeError(error_code::invalidArgument, "listen", "at least one thread is needed", peer);
        }
        try {
            m_core->server = std::make_unique<restinio::http_server_t<server_traits>>(
                restinio::external_io_context(m_core->context),
                [&](restinio::server_settings_t<server_traits> &serverSettings) { configure(serverSettings, address); });
            m_core->server->open_sync();
        } catch (const std::system_error &failure) {
            if (failure.code() == asio::error::address_in_use) {
                return makeError(error_code::conflict, "listen", "the port is in use", peer);
            }
            return makeError(error_code::unreachable, "listen", failure.code().message(), peer);
        } catch (const std::exception &failure) {
            return makeError(error_code::internal, "listen", failure.what(), peer);
        }
        for (std::size_t i = 0; i < m_settings.threads; ++i) {
            m_threads.emplace_back([core = m_core] { core->context.run(); });
        }
        return {};
    }

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::size_t openRequests() const { return *m_core->requestCounter; }
    void setDraining(bool draining) { m_core->draining = draining; }

    void stopListening()
    {
        if (m_core->ownedContext) {
            closeAcceptor();
            return;
        }
        m_core->server->close_sync();
    }

    [[nodiscard]] std::size_t connections() const { return asio::use_service<socket_registry>(m_core->context).connectionCount(); }

    void closeIdleConnections(std::chrono::milliseconds idleFor)
    {
        asio::use_service<socket_registry>(m_core->context).shutdownIdle(idleFor);
    }

    void closeUnfinishedRequests(std::chrono::milliseconds after)
    {
        asio::use_service<socket_registry>(m_core->context).shutdownUnfinished(after);
    }

    void closeStalledResponses(std::chrono::milliseconds after)
    {
        asio::use_service<socket_registry>(m_core->context).shutdownStalledWrites(after);
    }

    bool stop(std::chrono::milliseconds timeout)
    {
        if (m_stopped || !m_core->ownedContext) {
            return *m_core->requestCounter == 0;
        }
        const auto begin = std::chrono::steady_clock::now();
        m_core->draining = true;
        closeAcceptor();
        auto &registry = asio::use_service<socket_registry>(m_core->context);
        const auto finished = [&] { return *m_core->requestCounter == 0 && registry.connectionCount() == 0; };
        // Short compared with the duration of a request, long compared with the cost of a check.
        constexpr auto pollInterval = std::chrono::milliseconds(2);
        do {
            std::this_thread::sleep_for(pollInterval);
            if (std::chrono::steady_clock::now() - begin >= m_settings.drainIdleTimeout) {
                registry.shutdownIdle(m_settings.drainIdleTimeout);
            }
        } while (!finished() && std::chrono::steady_clock::now() - begin < timeout);
        const bool complete = finished();
        stopThreads();
        return complete;
    }

private:
    void configure(restinio::server_settings_t<server_traits> &serverSettings, const asio::ip::address &address)
    {
        raiseMaxHeadBytes(m_settings.maxHeadBytes);
        serverSettings.address(address)
            .protocol(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4())
            .port(m_settings.port)
            .ip_blocker(std::make_shared<connection_limiter>(m_core->context, limitByDescriptors(m_settings.maxConnections)))
            .read_next_http_message_timelimit(m_settings.idleTimeout.value_or(unlimitedTime))
            .write_http_response_timelimit(m_settings.writeTimeout.value_or(unlimitedTime))
            .handle_request_timeout(unlimitedTime)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_url_size(m_settings.maxHeadBytes)
                                          .max_field_name_size(m_settings.maxHeadBytes)
                                          .max_field_value_size(m_settings.maxHeadBytes)
                                          .max_field_count(m_settings.maxHeadBytes / minHeaderFieldBytes)
                                          .max_body_size(m_settings.maxBodyBytes))
            .socket_options_setter([](restinio::socket_options_t &socket) { socket.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) { m_port = acceptor.local_endpoint().port(); })
            .request_handler([this](const restinio::request_handle_t &request) { return handle(request); });
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        const bool tooLarge = request->body().size() > m_settings.maxBodyBytes;
        auto exchange = std::make_shared<restinio_exchange>(m_core, request, tooLarge);
        auto received = toRequest(*request);
        if (tooLarge) {
            const std::string message = "the body exceeds " + std::to_string(m_settings.maxBodyBytes) + " bytes";
            exchange->respond(errorResponse(413, {error_code::tooLarge, message, "read request", received.remoteAddress}));
            return restinio::request_accepted();
        }
        try {
            m_handler.handle(std::move(received), exchange);
        } catch (const std::exception &failure) {
            exchange->respond(errorResponse(500, {error_code::internal, failure.what(), "handle request", {}}));
        }
        return restinio::request_accepted();
    }

    void closeAcceptor()
    {
        std::promise<void> closed;
        asio::post(m_core->context, [&] {
            m_core->server->close_sync();
            closed.set_value();
        });
        closed.get_future().wait();
    }

    void stopThreads()
    {
        m_stopped = true;
        m_work.reset();
        if (m_core->ownedContext) {
            m_core->context.stop();
        }
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    settings m_settings;
    http_handler &m_handler;
    std::shared_ptr<server_core> m_core;
    /// Empty when the user of http_server runs the context.
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> m_work;
    std::vector<std::thread> m_threads;
    std::uint16_t m_port = 0;
    bool m_stopped = false;
};

expected<std::unique_ptr<http_server>> http_server::create(const settings &settings, http_handler &handler)
{
    auto implementation = std::make_unique<impl>(settings, handler);
    if (auto started = implementation->start(); !started) {
        return tl::unexpected(started.error());
    }
    return std::unique_ptr<http_server>(new http_server(std::move(implementation)));
}

expected<std::unique_ptr<http_server>> http_server::createOn(asio::io_context &context, const settings &settings, http_handler &handler)
{
    auto implementation = std::make_unique<impl>(context, settings, handler);
    if (auto started = implementation->start(); !started) {
        return tl::unexpected(started.error());
    }
    return std::unique_ptr<http_server>(new http_server(std::move(implementation)));
}

http_server::http_server(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return m_impl->port();
}

std::size_t http_server::openRequests() const
{
    return m_impl->openRequests();
}

void http_server::setDraining(bool draining)
{
    m_impl->setDraining(draining);
}

void http_server::stopListening()
{
    m_impl->stopListening();
}

std::size_t http_server::connections() const
{
    return m_impl->connections();
}

void http_server::closeIdleConnections(std::chrono::milliseconds idleFor)
{
    m_impl->closeIdleConnections(idleFor);
}

void http_server::closeUnfinishedRequests(std::chrono::milliseconds after)
{
    m_impl->closeUnfinishedRequests(after);
}

void http_server::closeStalledResponses(std::chrono::milliseconds after)
{
    m_impl->closeStalledResponses(after);
}

bool http_server::stop(std::chrono::milliseconds timeout)
{
    return m_impl->stop(timeout);
}

} // namespace orioledrum
