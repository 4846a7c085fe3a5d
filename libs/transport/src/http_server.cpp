#include <transport/http_server.h>

#include <peer_close_watch.h>
#include <reason_phrase.h>
#include <server_traits.h>
#include <transport/http_exchange.h>
#include <transport/http_handler.h>

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

/// Size of the shortest header field: a name of one byte, a colon and a line end.
constexpr std::size_t minHeaderFieldBytes = 3;
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

/// Number of requests whose response has not been written. Responses that are being written share ownership, because they may
/// outlive the server.
using request_counter = std::atomic<std::size_t>;

/// Increments the counter; the destruction of the returned token decrements it.
std::shared_ptr<void> makeRequestToken(const std::shared_ptr<request_counter> &counter)
{
    ++*counter;
    return {counter.get(), [counter](void *) { --*counter; }};
}

http_response refusalResponse(int status)
{
    constexpr int noMemory = 503;
    const bool overloaded = status == noMemory;
    return errorResponse(status,
                         {overloaded ? error_code::overloaded : error_code::tooLarge,
                          overloaded ? "there is no memory for a request of this size" : "the request exceeds a limit",
                          "read request",
                          {}});
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
    restinio_exchange(std::shared_ptr<server_core> core, restinio::request_handle_t request, std::shared_ptr<connection_input> input)
        : m_core(std::move(core))
        , m_request(std::move(request))
        , m_token(makeRequestToken(m_core->requestCounter))
        , m_watch(asio::use_service<socket_registry>(m_core->context).currentWatch())
        , m_input(std::move(input))
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
        const bool valid = response.status >= 200 && response.status <= 599 && isValidField({"Content-Type", response.contentType})
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
        const restinio::http_status_line_t line(status, std::string(reasonPhrase(response.status)));
        if (m_request->header().method() == restinio::http_method_head()) {
            auto message = m_request->create_response<restinio::user_controlled_output_t>(line);
            message.set_content_length(response.headLength.value_or(response.body.size()));
            response.body.clear();
            send(std::move(message), std::move(response));
            return;
        }
        auto message = m_request->create_response(line);
        m_input->setResponse(response.body.capacity());
        message.set_body(std::move(response.body));
        send(std::move(message), std::move(response));
    }

    template<typename Builder>
    void send(Builder message, http_response response)
    {
        if (m_core->draining || !m_request->header().should_keep_alive()) {
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
        message.done([token = std::move(m_token), input = m_input](const auto &) { input->endResponse(); });
    }

    std::shared_ptr<server_core> m_core; // Declared first, so destroyed last: m_request's connection uses the io_context of the core.
    restinio::request_handle_t m_request;
    std::shared_ptr<void> m_token;
    std::shared_ptr<peer_close_watch> m_watch;
    std::atomic<bool> m_answered = false;
    std::shared_ptr<connection_input> m_input;
};

http_request toRequest(const restinio::request_t &source, std::string body)
{
    const auto &header = source.header();
    http_request request;
    request.method = header.method().c_str();
    request.path = std::string(header.path());
    request.query = std::string(header.query());
    request.target = header.request_target();
    header.for_each_field([&](const auto &field) { request.headers.push_back({field.name(), field.value()}); });
    request.body = std::move(body);
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
        asio::use_service<socket_registry>(m_core->context).setPolicy(m_local, nullptr);
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

    [[nodiscard]] std::size_t heldBytes() const { return asio::use_service<socket_registry>(m_core->context).heldBytes(); }

    void closeUnfinishedRequests(std::chrono::milliseconds headTime, std::chrono::milliseconds bodyTime)
    {
        asio::use_service<socket_registry>(m_core->context).shutdownUnfinished(headTime, bodyTime);
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
        raiseMaxHeadBytes(m_settings.maxHeadBytes + connection_input::maxPaddingBytes);
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
                                          .max_field_value_size(m_settings.maxHeadBytes + 1) // RESTinio refuses a value of the limit.
                                          .max_field_count(m_settings.maxHeadBytes / minHeaderFieldBytes)
                                          .max_body_size(m_settings.maxBodyBytes))
            .socket_options_setter([bytes = m_settings.socketBufferBytes](restinio::socket_options_t &socket) {
                socket.set_option(asio::ip::tcp::no_delay(true));
                if (bytes > 0) {
                    socket.set_option(asio::socket_base::send_buffer_size(bytes));
                    socket.set_option(asio::socket_base::receive_buffer_size(bytes));
                }
            })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) { setPolicy(acceptor.local_endpoint()); })
            .request_handler([this](const restinio::request_handle_t &request) { return handle(request); });
    }

    /// Registers the limits on requests for the connections of this server.
    void setPolicy(const asio::ip::tcp::endpoint &local)
    {
        m_local = local;
        m_port = local.port();
        request_policy policy;
        policy.limits = [greatest = request_limits{m_settings.maxHeadBytes, m_settings.maxBodyBytes}, changing = m_settings.requestLimits] {
            if (!changing) {
                return greatest;
            }
            const auto limits = changing();
            return request_limits{std::min(limits.maxHeadBytes, greatest.maxHeadBytes),
                                  std::min(limits.maxBodyBytes, greatest.maxBodyBytes)};
        };
        policy.refuse = m_settings.refuse ? m_settings.refuse : &refusalResponse;
        auto &registry = asio::use_service<socket_registry>(m_core->context);
        registry.setMemoryBudget(m_settings.memoryBudget);
        registry.setPolicy(local, std::make_shared<const request_policy>(std::move(policy)));
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        const auto input = connection_input::current()->shared_from_this();
        auto body = input->takeBody();
        if (!body) {
            return restinio::request_rejected();
        }
        auto received = toRequest(*request, std::move(*body));
        auto exchange = std::make_shared<restinio_exchange>(m_core, request, input);
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
    asio::ip::tcp::endpoint m_local; ///< Address that the server listens on.
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

std::size_t http_server::heldBytes() const
{
    return m_impl->heldBytes();
}

void http_server::closeUnfinishedRequests(std::chrono::milliseconds headTime, std::chrono::milliseconds bodyTime)
{
    m_impl->closeUnfinishedRequests(headTime, bodyTime);
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
