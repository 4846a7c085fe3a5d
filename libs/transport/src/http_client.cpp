#include <transport/http_client.h>

#include <curl_socket.h>
#include <deadline_queue.h>
#include <http_transfer.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

namespace
{

constexpr std::size_t maxPooledHandles = 1024;

} // namespace

class http_client::impl : public std::enable_shared_from_this<http_client::impl>
{
public:
    impl(asio::io_context &context, const settings &settings)
        : m_context(context)
        , m_settings(settings)
        , m_timer(context)
        , m_deadlines(context, [this](std::uint64_t id) { onDeadline(id); })
    {
    }

    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;
    ~impl() { close(); }

    expected<void> start()
    {
        static const CURLcode global = curl_global_init(CURL_GLOBAL_ALL);
        m_multi = global == CURLE_OK ? curl_multi_init() : nullptr;
        if (m_multi == nullptr) {
            return makeError(error_code::internal, "start HTTP client", "libcurl could not be initialised");
        }
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &impl::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &impl::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(m_settings.maxIdleConnections));
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(m_settings.maxConnectionsPerAddress));
        return {};
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        for (auto &[id, running] : m_transfers) {
            curl_multi_remove_handle(m_multi, running->easy);
            curl_easy_cleanup(running->easy);
        }
        m_transfers.clear();
        for (CURL *easy : m_handlePool) {
            curl_easy_cleanup(easy);
        }
        m_handlePool.clear();
        if (m_multi != nullptr) {
            curl_multi_cleanup(m_multi);
        }
        for (auto &[descriptor, socket] : m_sockets) {
            releaseSocket(*socket);
        }
        m_sockets.clear();
        m_timer.cancel();
    }

    http_call_handle send(http_call call, callback done)
    {
        const auto id = ++m_lastId;
        if (const auto problem = validateCall(call); !problem.empty()) {
            postResult(std::move(done),
                       tl::unexpected(makeFailure(error_code::invalidArgument, std::string(problem), serverAddress(call.url), false)));
            return http_call_handle{id};
        }
        auto started = std::make_unique<http_transfer>();
        started->id = id;
        started->call = std::move(call);
        started->done = std::move(done);
        started->server = serverAddress(started->call.url);
        started->deadline = std::chrono::steady_clock::now() + started->call.timeout;
        started->client = this;
        started->maxReplyBytes = m_settings.maxReplyBytes;
        started->maxBufferedBytes = m_settings.maxBufferedBytes;
        started->bufferedBytes = &m_bufferedBytes;
        started->easy = acquireHandle();
        if (started->easy == nullptr) {
            postResult(std::move(started->done),
                       tl::unexpected(makeFailure(error_code::internal, "out of memory", started->server, false)));
            return http_call_handle{id};
        }
        configure(*started);
        m_deadlines.add(id, started->deadline);
        auto *easy = started->easy;
        m_transfers.emplace(id, std::move(started));
        // Handles cannot be added within a callback of libcurl.
        if (m_curlDepth > 0) {
            asio::post(m_context, [weak = weak_from_this(), id] {
                if (const auto self = weak.lock(); self && !self->m_closed) {
                    if (const auto found = self->m_transfers.find(id); found != self->m_transfers.end()) {
                        curl_multi_add_handle(self->m_multi, found->second->easy);
                    }
                }
            });
        } else {
            curl_multi_add_handle(m_multi, easy);
        }
        return http_call_handle{id};
    }

    void cancel(std::uint64_t id)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end() || !found->second->done) {
            return;
        }
        auto &running = *found->second;
        postResult(std::exchange(running.done, nullptr),
                   tl::unexpected(makeFailure(error_code::cancelled, "the call was cancelled", running.server, running.writeAllowed)));
        // A request that has not been written yet is never sent.
        if (running.call.closeOnCancel || !running.writeAllowed) {
            abortTransfer(id);
        }
    }

    [[nodiscard]] std::size_t openCalls() const { return m_transfers.size(); }

    [[nodiscard]] std::size_t connections() const
    {
        std::size_t sum = 0;
        for (const auto &[address, count] : m_connections) {
            sum += count;
        }
        return sum;
    }

    [[nodiscard]] std::size_t connections(std::string_view address) const
    {
        const auto found = m_connections.find(std::string(address));
        return found == m_connections.end() ? 0 : found->second;
    }

    void closeIdleConnections(std::string_view address)
    {
        for (auto &[descriptor, socket] : m_sockets) {
            if (socket->openedByClient && socket->address == address && !socket->wantRead && !socket->wantWrite && !socket->retired) {
                retire(*socket);
            }
        }
    }

private:
    /// Marks a call of a libcurl function. libcurl may run callbacks during the call; these must not call functions of libcurl.
    class curl_scope
    {
    public:
        explicit curl_scope(impl &owner)
            : m_owner(owner)
        {
            ++m_owner.m_curlDepth;
        }
        curl_scope(const curl_scope &) = delete;
        curl_scope &operator=(const curl_scope &) = delete;
        ~curl_scope() { --m_owner.m_curlDepth; }

    private:
        impl &m_owner;
    };

    CURL *acquireHandle()
    {
        if (m_handlePool.empty()) {
            CURL *created = curl_easy_init();
            if (created != nullptr) {
                configureHandle(created);
            }
            return created;
        }
        CURL *easy = m_handlePool.back();
        m_handlePool.pop_back();
        return easy;
    }

    void releaseHandle(CURL *easy)
    {
        if (m_handlePool.size() >= maxPooledHandles) {
            curl_easy_cleanup(easy);
            return;
        }
        // These options point into the ended transfer. Its other pointers are replaced by the next configure(); libcurl does not
        // use them before that.
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
        curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, nullptr);
        m_handlePool.push_back(easy);
    }

    /// Sets the options that are the same for every call. Done once for each handle, because setting them costs time.
    void configureHandle(CURL *easy)
    {
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, std::max(1L, static_cast<long>(m_settings.connectTimeout.count())));
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &impl::onOpenSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &impl::onCloseSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        http_transfer::setCallbacks(easy);
        curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE, static_cast<curl_off_t>(m_settings.maxReplyBytes));
    }

    static void configure(http_transfer &started)
    {
        CURL *easy = started.easy;
        const auto &call = started.call;
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.empty() ? nullptr : call.target.c_str());
        curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, started.errorText.data());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &started);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &started);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &started);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &started);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &started);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.freshConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(call.maxIdleTime.count()));
        const bool hasBody = !call.body.empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH";
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L); // Resets the options of an earlier call with a body or with HEAD.
        if (hasBody) {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        } else if (call.method == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        if (hasBody) {
            addHeader(started, "Expect:"); // Otherwise libcurl waits up to 1 s for "100 Continue" before it sends a large body.
            if (headerValue(call.headers, "Content-Type").empty()) {
                addHeader(started, call.defaultContentType ? "Content-Type: application/json" : "Content-Type:");
            }
        }
        for (const auto &header : call.headers) {
            // libcurl expects a field without a value in the form "Name;".
            addHeader(started, header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, started.headers);
    }

    static void addHeader(http_transfer &started, const std::string &line)
    {
        if (curl_slist *extended = curl_slist_append(started.headers, line.c_str())) {
            started.headers = extended;
        }
    }

    /// Calls `done` from the io_context, so that it never runs within send() or cancel().
    void postResult(callback done, result outcome)
    {
        asio::post(m_context, [weak = weak_from_this(), done = std::move(done), outcome = std::move(outcome)]() mutable {
            if (const auto self = weak.lock(); self && !self->m_closed) {
                done(std::move(outcome));
            }
        });
    }

    /// Ends a transfer without reporting a result and closes its connection. Within a callback of libcurl this is done later,
    /// by a posted handler.
    void abortTransfer(std::uint64_t id)
    {
        if (m_curlDepth > 0) {
            asio::post(m_context, [weak = weak_from_this(), id] {
                if (const auto self = weak.lock(); self && !self->m_closed) {
                    self->abortTransfer(id);
                }
            });
            return;
        }
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end()) {
            return;
        }
        const auto ended = std::move(found->second);
        m_transfers.erase(found);
        m_deadlines.remove(id, ended->deadline);
        {
            const curl_scope scope(*this);
            curl_multi_remove_handle(m_multi, ended->easy);
        }
        releaseUnconnected(ended->lastSocket);
        releaseHandle(ended->easy);
    }

    void onDeadline(std::uint64_t id)
    {
        const auto self = shared_from_this();
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end()) {
            return;
        }
        auto &running = *found->second;
        auto done = std::exchange(running.done, nullptr);
        auto failure =
            makeFailure(error_code::deadlineExceeded, "no complete reply within the timeout", running.server, running.writeAllowed);
        abortTransfer(id);
        if (done) {
            done(tl::unexpected(std::move(failure)));
        }
    }

    /// Lets libcurl process socket events or its timeout, then reports the transfers that have ended.
    void processEvents(curl_socket_t descriptor, int events)
    {
        if (m_closed) {
            return;
        }
        const auto self = shared_from_this();
        {
            const curl_scope scope(*this);
            int running = 0;
            curl_multi_socket_action(m_multi, descriptor, events, &running);
        }
        int left = 0;
        while (!m_closed) {
            const CURLMsg *message = curl_multi_info_read(m_multi, &left);
            if (message == nullptr) {
                return;
            }
            if (message->msg == CURLMSG_DONE) {
                finishTransfer(message->easy_handle, message->data.result);
            }
        }
    }

    void finishTransfer(CURL *easy, CURLcode code)
    {
        char *pointer = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &pointer);
        const auto found = m_transfers.find(reinterpret_cast<http_transfer *>(pointer)->id);
        const auto ended = std::move(found->second);
        m_transfers.erase(found);
        m_deadlines.remove(ended->id, ended->deadline);
        {
            const curl_scope scope(*this);
            curl_multi_remove_handle(m_multi, easy);
        }
        releaseUnconnected(ended->lastSocket);
        releaseHandle(easy);
        if (!ended->done) {
            return;
        }
        // libcurl reports success when the connection is closed within the head, after the status line.
        if (code == CURLE_OK && ended->headComplete) {
            ended->done(std::move(ended->reply));
        } else {
            ended->tooLarge = ended->tooLarge || code == CURLE_FILESIZE_EXCEEDED;
            ended->done(tl::unexpected(ended->describeFailure(code)));
        }
    }

    static int onTimer(CURLM *, long timeoutMs, void *user)
    {
        auto &self = *static_cast<impl *>(user);
        if (!self.m_closed) {
            self.setTimer(timeoutMs);
        }
        return 0;
    }

    /// @param timeoutMs Time after which libcurl wants to be called; 0: at once, negative: not at all.
    void setTimer(long timeoutMs)
    {
        using clock = std::chrono::steady_clock;
        if (timeoutMs < 0) {
            m_requestedExpiry = clock::time_point::max();
            return;
        }
        if (timeoutMs == 0) {
            m_requestedExpiry = clock::time_point::max();
            if (!m_processEventsPosted) {
                m_processEventsPosted = true;
                asio::post(m_context, [weak = weak_from_this()] {
                    if (const auto self = weak.lock()) {
                        self->m_processEventsPosted = false;
                        self->processEvents(CURL_SOCKET_TIMEOUT, 0);
                    }
                });
            }
            return;
        }
        m_requestedExpiry = clock::now() + std::chrono::milliseconds(timeoutMs);
        armTimer();
    }

    void armTimer()
    {
        using clock = std::chrono::steady_clock;
        // A timer that is armed for an earlier time is left as it is; it is armed again when it expires.
        if (m_requestedExpiry == clock::time_point::max() || m_armedFor <= m_requestedExpiry) {
            return;
        }
        m_armedFor = m_requestedExpiry;
        m_timer.expires_at(m_armedFor);
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code &code) {
            const auto self = weak.lock();
            if (code || !self || self->m_closed) {
                return;
            }
            self->m_armedFor = clock::time_point::max();
            if (self->m_requestedExpiry <= clock::now()) {
                self->m_requestedExpiry = clock::time_point::max();
                self->processEvents(CURL_SOCKET_TIMEOUT, 0);
            }
            self->armTimer();
        });
    }

    static curl_socket_t onOpenSocket(void *user, curlsocktype, curl_sockaddr *address)
    {
        auto &running = *static_cast<http_transfer *>(user);
        auto &self = *static_cast<impl *>(running.client);
        if (running.writeAllowed) {
            running.resendRefused = true; // Without this, a connection would be opened only to be closed by onBeforeSend().
            return CURL_SOCKET_BAD;
        }
        const int descriptor = ::socket(address->family, address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, address->protocol);
        if (descriptor < 0) {
            return CURL_SOCKET_BAD;
        }
        // Closes a connection whose other side no longer acknowledges data, also between calls.
        const auto userTimeout = static_cast<unsigned>(self.m_settings.unacknowledgedTimeout.count());
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
        auto socket = std::make_shared<curl_socket>(self.m_context);
        asio::error_code code;
        socket->descriptor.assign(descriptor, code);
        if (code) {
            ::close(descriptor);
            return CURL_SOCKET_BAD;
        }
        socket->address = formatAddress(address->addr);
        ++self.m_connections[socket->address];
        running.lastSocket = socket;
        self.m_sockets[descriptor] = std::move(socket);
        return descriptor;
    }

    static int onCloseSocket(void *user, curl_socket_t descriptor)
    {
        auto &self = *static_cast<impl *>(user);
        const auto found = self.m_sockets.find(descriptor);
        if (found != self.m_sockets.end()) {
            const auto socket = std::move(found->second);
            self.m_sockets.erase(found);
            self.releaseSocket(*socket);
        }
        return ::close(descriptor);
    }

    /// Releases a socket that was never connected. libcurl 7.88 closes such a socket without calling onCloseSocket() when
    /// connecting fails or is aborted. Its descriptor must not be closed or used any more, since the number may already
    /// belong to another file.
    void releaseUnconnected(const std::shared_ptr<curl_socket> &socket)
    {
        if (!socket || socket->connected || socket->closed) {
            return;
        }
        m_sockets.erase(socket->descriptor.native_handle());
        releaseSocket(*socket);
    }

    /// Stops using a socket without closing its descriptor.
    void releaseSocket(curl_socket &socket)
    {
        socket.closed = true;
        if (socket.openedByClient && !socket.retired) {
            decrementConnections(socket.address);
        }
        socket.descriptor.release();
    }

    void decrementConnections(const std::string &address)
    {
        const auto found = m_connections.find(address);
        if (found != m_connections.end() && --found->second == 0) {
            m_connections.erase(found);
        }
    }

    /// Shuts down an idle connection. libcurl detects this and closes the socket when it next searches for a connection to
    /// reuse.
    void retire(curl_socket &socket)
    {
        socket.retired = true;
        decrementConnections(socket.address);
        ::shutdown(socket.descriptor.native_handle(), SHUT_RDWR);
    }

    static int onSocket(CURL *, curl_socket_t descriptor, int what, void *user, void *)
    {
        auto &self = *static_cast<impl *>(user);
        if (self.m_closed) {
            return 0;
        }
        auto found = self.m_sockets.find(descriptor);
        if (found == self.m_sockets.end()) {
            if (what == CURL_POLL_REMOVE) {
                return 0;
            }
            auto socket = std::make_shared<curl_socket>(self.m_context);
            socket->openedByClient = false;
            socket->descriptor.assign(descriptor);
            found = self.m_sockets.emplace(descriptor, std::move(socket)).first;
        }
        const auto socket = found->second;
        socket->wantRead = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
        socket->wantWrite = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
        if (what == CURL_POLL_REMOVE && !socket->openedByClient) {
            self.m_sockets.erase(found);
            self.releaseSocket(*socket);
            return 0;
        }
        if (what == CURL_POLL_REMOVE && !socket->connected) {
            self.releaseUnconnected(socket);
            return 0;
        }
        self.waitForEvents(socket);
        return 0;
    }

    void waitForEvents(const std::shared_ptr<curl_socket> &socket)
    {
        if (socket->wantRead && !socket->readPending) {
            waitForRead(socket);
        }
        if (socket->wantWrite && !socket->writePending) {
            socket->writePending = true;
            socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                          [weak = weak_from_this(), socket](const asio::error_code &code) {
                                              socket->writePending = false;
                                              const auto self = weak.lock();
                                              if (code || !self || socket->closed || !socket->wantWrite) {
                                                  return;
                                              }
                                              self->processEvents(socket->descriptor.native_handle(), CURL_CSELECT_OUT);
                                              if (!self->m_closed && !socket->closed) {
                                                  self->waitForEvents(socket);
                                              }
                                          });
        }
    }

    /// Waits until the socket is readable, also while the connection is idle, so that a close by the server is detected.
    void waitForRead(const std::shared_ptr<curl_socket> &socket)
    {
        socket->readPending = true;
        socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                      [weak = weak_from_this(), socket](const asio::error_code &code) {
                                          socket->readPending = false;
                                          const auto self = weak.lock();
                                          if (code || !self || self->m_closed || socket->closed || socket->retired) {
                                              return;
                                          }
                                          if (!socket->wantRead) {
                                              self->checkIdleConnection(socket);
                                              return;
                                          }
                                          self->processEvents(socket->descriptor.native_handle(), CURL_CSELECT_IN);
                                          if (!self->m_closed && !socket->closed && !socket->readPending && !socket->retired) {
                                              self->waitForRead(socket);
                                          }
                                      });
    }

    /// Called when a connection becomes readable while libcurl does not read: the server has closed it or sent unexpected
    /// data.
    void checkIdleConnection(const std::shared_ptr<curl_socket> &socket)
    {
        // While libcurl waits to write (connecting), readability does not indicate a close.
        char byte = 0;
        const auto size = ::recv(socket->descriptor.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (socket->wantWrite || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))) {
            waitForRead(socket);
            return;
        }
        retire(*socket);
    }

    asio::io_context &m_context;
    settings m_settings;
    asio::steady_timer m_timer;
    deadline_queue m_deadlines;
    CURLM *m_multi = nullptr;
    std::size_t m_bufferedBytes = 0; ///< Size of the reply bodies of all transfers.
    std::unordered_map<std::uint64_t, std::unique_ptr<http_transfer>> m_transfers;
    std::unordered_map<curl_socket_t, std::shared_ptr<curl_socket>> m_sockets;
    std::unordered_map<std::string, std::size_t> m_connections; ///< Number of open connections by server address.
    std::vector<CURL *> m_handlePool; ///< Handles of ended calls, for reuse.
    /// Time at which libcurl wants to be called; max() when it does not.
    std::chrono::steady_clock::time_point m_requestedExpiry = std::chrono::steady_clock::time_point::max();
    /// Time for which m_timer is armed; max() when it is not.
    std::chrono::steady_clock::time_point m_armedFor = std::chrono::steady_clock::time_point::max();
    std::uint64_t m_lastId = 0;
    int m_curlDepth = 0; ///< Number of open curl_scope objects.
    bool m_processEventsPosted = false;
    bool m_closed = false;
};

expected<std::unique_ptr<http_client>> http_client::create(asio::io_context &context, const settings &settings)
{
    auto implementation = std::make_shared<impl>(context, settings);
    if (auto started = implementation->start(); !started) {
        return tl::unexpected(started.error());
    }
    return std::unique_ptr<http_client>(new http_client(std::move(implementation)));
}

http_client::http_client(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

http_client::~http_client()
{
    m_impl->close();
}

http_call_handle http_client::send(http_call call, callback done)
{
    return m_impl->send(std::move(call), std::move(done));
}

void http_client::cancel(http_call_handle handle)
{
    m_impl->cancel(static_cast<std::uint64_t>(handle));
}

std::size_t http_client::openCalls() const
{
    return m_impl->openCalls();
}

std::size_t http_client::connections() const
{
    return m_impl->connections();
}

std::size_t http_client::connections(std::string_view address) const
{
    return m_impl->connections(address);
}

void http_client::closeIdleConnections(std::string_view address)
{
    m_impl->closeIdleConnections(address);
}

} // namespace orioledrum
