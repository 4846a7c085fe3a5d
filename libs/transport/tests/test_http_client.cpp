#include <transport/http_client.h>

#include <fakes/context_thread.h>
#include <fakes/full_backlog_listener.h>
#include <fakes/scripted_http_server.h>

#include <gtest/gtest.h>

#include <cstdlib>
#include <future>
#include <mutex>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

class HttpClientTest : public testing::Test
{
protected:
    void SetUp() override { recreateClient({}); }
    void TearDown() override
    {
        thread.run([&] { client.reset(); });
    }

    void recreateClient(const http_client_settings &settings)
    {
        thread.run([&] { client = http_client::create(thread.context(), settings).value(); });
    }

    struct started_call {
        http_call_handle handle;
        std::future<http_client::result> result;
    };

    started_call start(http_call call)
    {
        auto promise = std::make_shared<std::promise<http_client::result>>();
        auto result = promise->get_future();
        const auto handle = thread.run([&] {
            return client->send(std::move(call), [promise](http_client::result outcome) { promise->set_value(std::move(outcome)); });
        });
        return {handle, std::move(result)};
    }

    http_client::result send(http_call call) { return start(std::move(call)).result.get(); }

    std::size_t connections(const std::string &address)
    {
        return thread.run([&] { return client->connections(address); });
    }

    /// Polls the condition every millisecond, up to 5000 times.
    /// @return Value of the condition.
    bool waitUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 5000 && !condition(); ++i) {
            std::this_thread::sleep_for(1ms);
        }
        return condition();
    }

    static http_call makeCall(const std::string &url, std::chrono::milliseconds timeout = 10s)
    {
        http_call call;
        call.method = "POST";
        call.url = url;
        call.body = "{}";
        call.timeout = timeout;
        return call;
    }

    context_thread thread;
    std::unique_ptr<http_client> client;
};

} // namespace

// Guards against incomplete requests or replies, and against opening a new connection for each call.
TEST_F(HttpClientTest, SendsAndReusesConnection)
{
    scripted_http_server server([](const std::string &request) { return scripted_http_server::ok(request); });
    auto call = makeCall(server.url("/search"));
    call.headers = {{"X-Request-Id", "7"}, {"X-Empty", ""}};
    for (int i = 0; i < 3; ++i) {
        const auto reply = send(call);
        ASSERT_TRUE(reply.has_value());
        EXPECT_EQ(reply->status, 200);
        EXPECT_EQ(headerValue(reply->headers, "x-state"), "warm");
        EXPECT_TRUE(reply->body.starts_with("POST /search HTTP/1.1\r\n"));
        EXPECT_NE(reply->body.find("X-Request-Id: 7\r\n"), std::string::npos);
        EXPECT_NE(reply->body.find("Content-Type: application/json\r\n"), std::string::npos);
    }
    EXPECT_EQ(server.connections(), 1);
    EXPECT_EQ(connections(server.address()), 1U);
}

// Guards against an order that runs twice, and against a fresh connection that is kept: libcurl by itself resends a request when a reused
// connection is lost.
TEST_F(HttpClientTest, FreshConnectionCallIsNotResent)
{
    scripted_http_server server([](const std::string &request) {
        return request.find("/order") != std::string::npos ? scripted_http_server::action{"", true} : scripted_http_server::ok("");
    });
    ASSERT_TRUE(send(makeCall(server.url("/warm"))).has_value());
    EXPECT_FALSE(send(makeCall(server.url("/order"))).has_value());
    EXPECT_EQ(server.requests(), 2);

    ASSERT_TRUE(send(makeCall(server.url("/warm"))).has_value());
    const int before = server.requests();
    auto order = makeCall(server.url("/order"));
    order.freshConnection = true;
    int beforeSendCalls = 0;
    order.beforeSend = [&] {
        ++beforeSendCalls;
        return true;
    };
    const auto result = send(order);
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().failure.code, error_code::unreachable);
    EXPECT_TRUE(result.error().mayHaveBeenSent);
    EXPECT_EQ(server.requests(), before + 1);
    EXPECT_EQ(beforeSendCalls, 1);
    EXPECT_EQ(connections(server.address()), 1U) << "the fresh connection was kept, or the idle connection was used";
}

// Guards against a request that runs twice on a reused connection, and against a connection that is opened in vain for the second one.
TEST_F(HttpClientTest, CallIsNotResentOnReusedConnection)
{
    scripted_http_server server([](const std::string &request) {
        return request.find("/order") != std::string::npos ? scripted_http_server::action{"", true} : scripted_http_server::ok("");
    });
    ASSERT_TRUE(send(makeCall(server.url("/warm"))).has_value());
    auto order = makeCall(server.url("/order"));
    const auto result = send(order);
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().failure.code, error_code::unreachable);
    EXPECT_TRUE(result.error().mayHaveBeenSent);
    EXPECT_EQ(server.requests(), 2);
    EXPECT_EQ(server.connections(), 1);
}

// Guards against requests that a backend server gets twice although the sender knows of one: each way in which a server can end a
// connection, on the first, the second and the hundredth use of it. The arrivals are compared with the announced writes.
TEST_F(HttpClientTest, EachWriteIsAnnouncedAndMadeOnce)
{
    enum class moment { idle, head, request, answerHead, answerBody };
    const std::string answer = "HTTP/1.1 200 OK\r\nX-State: warm\r\nContent-Length: 8\r\n\r\n12345678";
    for (const bool reset : {false, true}) {
        for (const auto at : {moment::idle, moment::head, moment::request, moment::answerHead, moment::answerBody}) {
            for (const int use : {1, 2, 100}) {
                SCOPED_TRACE((reset ? "reset" : "close") + std::string(" at moment ") + std::to_string(static_cast<int>(at)) + ", use "
                             + std::to_string(use));
                const auto ending = [&](const std::string &request) -> std::optional<scripted_http_server::action> {
                    if (request.find("/probe") == std::string::npos || at == moment::idle) {
                        return std::nullopt;
                    }
                    const auto sent = at == moment::answerHead ? 30U : at == moment::answerBody ? answer.size() - 3 : 0U;
                    return scripted_http_server::action{answer.substr(0, sent), true, {}, {}, reset};
                };
                scripted_http_server server(
                    [&](const std::string &request) { return ending(request).value_or(scripted_http_server::ok("")); },
                    [&](const std::string &head) { return at == moment::head ? ending(head) : std::nullopt; });
                for (int earlier = 1; earlier < use; ++earlier) {
                    ASSERT_TRUE(send(makeCall(server.url("/warm"))).has_value());
                }
                if (at == moment::idle) {
                    server.closeConnections();
                }
                auto probe = makeCall(server.url("/probe"));
                probe.body = std::string(at == moment::head ? 300'000 : 2, 'x');
                int writes = 0;
                probe.beforeSend = [&] {
                    ++writes;
                    return true;
                };
                const auto before = server.heads();
                const auto result = send(probe);
                EXPECT_EQ(writes, 1);
                EXPECT_LE(server.heads() - before, 1);
                EXPECT_TRUE(result.has_value() || result.error().mayHaveBeenSent);
            }
        }
    }
}

// Guards against a rewritten request target, and against options of one call that still apply to the next one.
TEST_F(HttpClientTest, TargetAndMethodAreSentUnchanged)
{
    std::mutex mutex;
    std::vector<std::string> seen;
    scripted_http_server server([&](const std::string &request) {
        const std::lock_guard lock(mutex);
        seen.push_back(request);
        return scripted_http_server::ok("");
    });
    auto post = makeCall(server.url("/"));
    post.target = "/a/../b%2f?x=1&y=%20";
    post.defaultContentType = false;
    ASSERT_TRUE(send(post).has_value());
    http_call get;
    get.url = server.url("/plain");
    ASSERT_TRUE(send(get).has_value());
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_TRUE(seen[0].starts_with("POST /a/../b%2f?x=1&y=%20 HTTP/1.1\r\n")) << seen[0];
    EXPECT_EQ(seen[0].find("Content-Type"), std::string::npos) << seen[0];
    EXPECT_TRUE(seen[1].starts_with("GET /plain HTTP/1.1\r\n")) << seen[1];
    EXPECT_EQ(seen[1].find("Content-Length"), std::string::npos) << seen[1];
}

// Guards against a lease owner that was paused and sends an order after its lease has expired: when beforeSend returns false,
// nothing may be sent.
TEST_F(HttpClientTest, BeforeSendCanStopCall)
{
    scripted_http_server server([](const std::string &) { return scripted_http_server::ok(""); });
    for (const bool fresh : {true, false}) {
        auto call = makeCall(server.url("/order"));
        call.freshConnection = fresh;
        call.beforeSend = [] { return false; };
        const auto result = send(call);
        ASSERT_FALSE(result.has_value());
        EXPECT_EQ(result.error().failure.code, error_code::cancelled);
        EXPECT_FALSE(result.error().mayHaveBeenSent);
    }
    EXPECT_EQ(server.requests(), 0);
}

// Guards against reporting an unknown outcome for a request that was certainly not sent.
TEST_F(HttpClientTest, RefusedConnectionIsReportedAsNotSent)
{
    std::string url;
    {
        scripted_http_server closedServer([](const std::string &) { return scripted_http_server::ok(""); });
        url = closedServer.url("/");
    }
    const auto result = send(makeCall(url));
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().failure.code, error_code::unreachable);
    EXPECT_FALSE(result.error().mayHaveBeenSent);
    EXPECT_EQ(result.error().failure.peer, url.substr(7, url.size() - 8));
}

// Guards against reporting an unknown outcome for a request to a host that does not answer the connect at all.
TEST_F(HttpClientTest, ConnectTimeoutIsReportedAsNotSent)
{
    http_client_settings settings;
    settings.connectTimeout = 100ms;
    recreateClient(settings);
    const full_backlog_listener listener;
    for (const auto timeout : {10'000ms, 30ms}) {
        const auto result = send(makeCall("http://" + listener.address() + "/", timeout));
        ASSERT_FALSE(result.has_value());
        EXPECT_EQ(result.error().failure.code, timeout == 30ms ? error_code::deadlineExceeded : error_code::unreachable);
        EXPECT_FALSE(result.error().mayHaveBeenSent);
    }
    EXPECT_EQ(connections(listener.address()), 0U);
}

// Guards against reusing a connection whose reply is still outstanding: a later call would receive that reply.
TEST_F(HttpClientTest, TimeoutClosesConnection)
{
    std::promise<void> release;
    const auto released = release.get_future().share();
    scripted_http_server server([&](const std::string &request) {
        if (request.find("/slow") != std::string::npos) {
            released.wait();
        }
        return scripted_http_server::ok(request);
    });
    const auto result = send(makeCall(server.url("/slow"), 50ms));
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().failure.code, error_code::deadlineExceeded);
    EXPECT_TRUE(result.error().mayHaveBeenSent);
    EXPECT_EQ(connections(server.address()), 0U);
    release.set_value();
    EXPECT_TRUE(send(makeCall(server.url("/quick")))->body.starts_with("POST /quick"));
}

// Guards against cancelled hedges that leak connections, and against a cancelled call that closes its connection although
// closeOnCancel is false.
TEST_F(HttpClientTest, CancelClosesOrKeepsConnection)
{
    std::promise<void> release;
    const auto released = release.get_future().share();
    scripted_http_server server([&](const std::string &request) {
        if (request.find("/slow") != std::string::npos) {
            released.wait();
        }
        return scripted_http_server::ok("");
    });
    for (const bool close : {true, false}) {
        const int before = server.requests();
        auto call = makeCall(server.url("/slow"));
        call.closeOnCancel = close;
        auto running = start(call);
        ASSERT_TRUE(waitUntil([&] { return server.requests() == before + 1; }));
        thread.run([&] { client->cancel(running.handle); });
        const auto result = running.result.get();
        ASSERT_FALSE(result.has_value());
        EXPECT_EQ(result.error().failure.code, error_code::cancelled);
        EXPECT_TRUE(result.error().mayHaveBeenSent);
        EXPECT_EQ(connections(server.address()), close ? 0U : 1U);
    }
    EXPECT_EQ(thread.run([&] { return client->openCalls(); }), 1U);
    release.set_value();
    EXPECT_TRUE(waitUntil([&] { return thread.run([&] { return client->openCalls(); }) == 0; }));
    const int connectionsBefore = server.connections();
    ASSERT_TRUE(send(makeCall(server.url("/quick"))).has_value());
    EXPECT_EQ(server.connections(), connectionsBefore);
}

// Guards against counting connections that the server has closed, and against idle connections that remain after a lease
// has moved to another host.
TEST_F(HttpClientTest, IdleConnectionsAreClosed)
{
    scripted_http_server server([](const std::string &) { return scripted_http_server::ok(""); });
    ASSERT_TRUE(send(makeCall(server.url("/"))).has_value());
    server.closeConnections();
    EXPECT_TRUE(waitUntil([&] { return connections(server.address()) == 0; }));
    ASSERT_TRUE(send(makeCall(server.url("/"))).has_value());
    EXPECT_EQ(connections(server.address()), 1U);
    thread.run([&] { client->closeIdleConnections(server.address()); });
    EXPECT_EQ(connections(server.address()), 0U);
    ASSERT_TRUE(send(makeCall(server.url("/"))).has_value());
    EXPECT_EQ(server.connections(), 3);
    EXPECT_EQ(server.requests(), 3);
}

// Guards against accepting replies that are not HTTP, incomplete or too large.
TEST_F(HttpClientTest, InvalidRepliesFail)
{
    http_client_settings settings;
    settings.maxReplyBytes = 1000;
    recreateClient(settings);
    std::string bytes;
    scripted_http_server server([&](const std::string &) { return scripted_http_server::action{bytes, true}; });
    const auto codeFor = [&](std::string reply) {
        bytes = std::move(reply);
        const auto result = send(makeCall(server.url("/")));
        return result.has_value() ? "none" : std::string(toString(result.error().failure.code));
    };
    EXPECT_EQ(codeFor("what?\r\n\r\n"), "protocolError");
    EXPECT_EQ(codeFor("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"), "unreachable");
    EXPECT_EQ(codeFor("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x')), "tooLarge");
    EXPECT_EQ(codeFor("HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'x')), "tooLarge");
    EXPECT_EQ(codeFor("HTTP/1.1 200 OK\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n"), "tooLarge");
    EXPECT_EQ(codeFor("HTTP/1.1 200 OK\r\n\r\n" + std::string(1000, 'x')), "none");
}

// Guards against an answer that breaks off in its head and is taken for a complete one with an empty body.
TEST_F(HttpClientTest, RepliesThatEndInTheHeadFail)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-State: warm\r\nContent-Length: 0\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string bytes;
    bool reset = false;
    std::mutex mutex; // The server answers on its own threads.
    scripted_http_server server([&](const std::string &) {
        const std::lock_guard lock(mutex);
        return scripted_http_server::action{bytes, true, {}, {}, reset};
    });
    const auto setAnswer = [&](std::string newBytes, bool newReset) {
        const std::lock_guard lock(mutex);
        bytes = std::move(newBytes);
        reset = newReset;
    };
    for (const auto &prefix : {std::string(), interim}) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            for (const bool resets : {false, true}) {
                setAnswer(prefix + whole.substr(0, length), resets);
                const auto result = send(makeCall(server.url("/")));
                EXPECT_FALSE(result.has_value()) << "'" << bytes << "' was taken for an answer with status " << result->status;
                EXPECT_TRUE(result.has_value() || result.error().mayHaveBeenSent);
            }
        }
    }
    setAnswer(whole, false);
    EXPECT_TRUE(send(makeCall(server.url("/"))).has_value());
}

// Guards against a server in trouble that sends bytes without end, in a head or a body: each call must end by its timeout, without the
// memory of the process growing, and be reported as possibly run; its connection must be closed.
TEST_F(HttpClientTest, EndlessRepliesEndWithTheCall)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<scripted_http_server::action> endless{
        {"", false, std::string(4096, 'x')}, // No head at all.
        {head + "X-Line: ", false, std::string(4096, 'x')},
        {head, false, "X-Field: value\r\n"},
        {"", false, "HTTP/1.1 100 Continue\r\n\r\n"},
        {head + "\r\n", false, std::string(65536, 'x')},
        {head + "Transfer-Encoding: chunked\r\n\r\n", false, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
        {head + "Transfer-Encoding: chunked\r\n\r\n5;", false, std::string(4096, 'x')}, // Chunk extension.
        {head + "Content-Length: 100000000000\r\n\r\n", false, std::string(65536, 'x')},
        {head + "\r\n", false, "x", 20ms},
        {head + "X-Line: ", false, "x", 20ms},
    };
    for (std::size_t i = 0; i < endless.size(); ++i) {
        scripted_http_server server([&](const std::string &) { return endless[i]; });
        const auto startedAt = std::chrono::steady_clock::now();
        const auto result = send(makeCall(server.url("/"), 300ms));
        EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 2s) << "reply " << i;
        ASSERT_FALSE(result.has_value()) << "reply " << i;
        EXPECT_TRUE(result.error().mayHaveBeenSent) << "reply " << i;
        EXPECT_TRUE(waitUntil([&] { return connections(server.address()) == 0; })) << "reply " << i;
    }
}

// Guards against running out of memory when many servers send bodies without end, and against calls to sound servers that fail
// meanwhile.
TEST_F(HttpClientTest, EndlessBodiesLeaveMemoryForOtherCalls)
{
    http_client_settings settings;
    settings.maxBufferedBytes = std::size_t{4} * 1024 * 1024;
    recreateClient(settings);
    scripted_http_server troubled([](const std::string &) {
        return scripted_http_server::action{"HTTP/1.1 200 OK\r\n\r\n", false, std::string(65536, 'x'), 1ms};
    });
    scripted_http_server sound([](const std::string &) { return scripted_http_server::ok(std::string(200'000, 'y')); });
    std::vector<std::future<http_client::result>> endless;
    for (int i = 0; i < 30; ++i) {
        endless.push_back(start(makeCall(troubled.url("/"), 5s)).result);
    }
    for (int i = 0; i < 20; ++i) {
        const auto result = send(makeCall(sound.url("/")));
        ASSERT_TRUE(result.has_value());
        EXPECT_EQ(result->body.size(), 200'000U);
    }
    for (auto &call : endless) {
        const auto result = call.get();
        ASSERT_FALSE(result.has_value());
        EXPECT_EQ(result.error().failure.code, error_code::tooLarge);
    }
}

// Guards against a valid large reply that fails because another one is received at the same time: two replies of a quarter of the limit
// each.
TEST_F(HttpClientTest, LargeRepliesShareTheLimit)
{
    http_client_settings settings;
    settings.maxBufferedBytes = std::size_t{8} * 1024 * 1024;
    recreateClient(settings);
    const std::string body(settings.maxBufferedBytes / 4, 'z');
    // The first byte after the head comes when both replies have begun.
    std::atomic<int> begun = 0;
    scripted_http_server server([&](const std::string &) {
        ++begun;
        while (begun < 2) {
            std::this_thread::sleep_for(1ms);
        }
        return scripted_http_server::ok(body);
    });
    auto first = start(makeCall(server.url("/"), 5s)).result;
    auto second = start(makeCall(server.url("/"), 5s)).result;
    for (auto *call : {&first, &second}) {
        const auto result = call->get();
        ASSERT_TRUE(result.has_value());
        EXPECT_EQ(result->body.size(), body.size());
    }
}

// Guards against an answer that goes to the next call: a server sends a second copy of a reply, or a part of one, before the next request.
// The connection must not be used again, however the copy is divided.
TEST_F(HttpClientTest, SecondCopyOfAReplyIsNotUsed)
{
    const auto copy = scripted_http_server::ok("first").bytes;
    for (const auto length : {std::size_t{1}, std::size_t{12}, copy.size() / 2, copy.size()}) {
        std::atomic<int> count = 0;
        scripted_http_server server([&](const std::string &) {
            return ++count == 1 ? scripted_http_server::action{copy + copy.substr(0, length), false} : scripted_http_server::ok("other");
        });
        EXPECT_EQ(send(makeCall(server.url("/")))->body, "first");
        const auto second = send(makeCall(server.url("/")));
        ASSERT_TRUE(second.has_value()) << length;
        EXPECT_EQ(second->body, "other") << length;
        EXPECT_EQ(server.connections(), 2) << length;
    }
}

// Guards against requests that a redirect or a proxy variable of the environment sends to a server other than the one in the
// URL.
TEST_F(HttpClientTest, IgnoresRedirectsAndProxySettings)
{
    ::setenv("http_proxy", "http://127.0.0.1:1", 1);
    scripted_http_server server([](const std::string &) {
        return scripted_http_server::action{"HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", false};
    });
    const auto reply = send(makeCall(server.url("/")));
    ::unsetenv("http_proxy");
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->status, 302);
    EXPECT_EQ(server.requests(), 1);
}

// Guards against protocols other than HTTP, header injection, and URLs or methods that make the request invalid.
TEST_F(HttpClientTest, InvalidCallsAreRejected)
{
    auto injected = makeCall("http://127.0.0.1:1/");
    injected.headers = {{"X", "1\r\nY: 2"}};
    auto method = makeCall("http://127.0.0.1:1/");
    method.method = "GET /";
    for (const auto &call : {makeCall("file:///etc/hostname"),
                             makeCall("https://127.0.0.1/"),
                             makeCall("http://127.0.0.1:1/a b"),
                             makeCall(""),
                             injected,
                             method}) {
        const auto result = send(call);
        ASSERT_FALSE(result.has_value()) << call.url;
        EXPECT_EQ(result.error().failure.code, error_code::invalidArgument) << call.url;
        EXPECT_FALSE(result.error().mayHaveBeenSent);
    }
}

// Guards against swapped replies and lost calls when many run concurrently, and against use after free when a callback
// destroys the client.
TEST_F(HttpClientTest, ConcurrentCallsAndDestructionInCallback)
{
    scripted_http_server server(
        [](const std::string &request) { return scripted_http_server::ok(request.substr(5, request.find(' ', 5) - 5)); });
    std::vector<started_call> calls;
    calls.reserve(64);
    for (int i = 0; i < 64; ++i) {
        calls.push_back(start(makeCall(server.url("/" + std::to_string(i)))));
    }
    for (int i = 0; i < 64; ++i) {
        EXPECT_EQ(calls[static_cast<std::size_t>(i)].result.get()->body, "/" + std::to_string(i));
    }
    std::promise<void> destroyed;
    thread.run([&] {
        client->send(makeCall(server.url("/")), [&](const http_client::result &) {
            client.reset();
            destroyed.set_value();
        });
        client->send(makeCall(server.url("/")), [](const http_client::result &) {});
    });
    destroyed.get_future().get();
    recreateClient({});
    EXPECT_TRUE(send(makeCall(server.url("/"))).has_value());
}

// Guards against a reply whose status is none of HTTP that is taken as an answer, and against the statement that its request was not sent.
TEST_F(HttpClientTest, InvalidStatusIsNoReply)
{
    for (const std::string status : {"000", "099", "600", "1000", "-20", "+20", "abc", "2x0", "", "2000", "20", "199"}) {
        for (const std::string version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
            scripted_http_server server([&](const std::string &) {
                return scripted_http_server::action{version + status + " X\r\nContent-Length: 2\r\n\r\nok", true};
            });
            const auto result = send(makeCall(server.url("/a"), 2s));
            ASSERT_FALSE(result.has_value()) << status << " gave " << result->status;
            EXPECT_TRUE(result.error().mayHaveBeenSent) << status;
        }
    }
    for (const std::string bytes : {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1\r\n\r\n"}) {
        scripted_http_server server([&](const std::string &) { return scripted_http_server::action{bytes, true}; });
        const auto result = send(makeCall(server.url("/a"), 2s));
        ASSERT_FALSE(result.has_value()) << bytes << " gave " << result->status;
        EXPECT_TRUE(result.error().mayHaveBeenSent) << bytes;
    }
    for (const std::string status : {"200", "299", "404", "599"}) {
        scripted_http_server server([&](const std::string &) {
            return scripted_http_server::action{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok",
                                                true};
        });
        const auto result = send(makeCall(server.url("/a"), 2s));
        ASSERT_TRUE(result.has_value()) << status;
        EXPECT_EQ(std::to_string(result->status), status);
    }
}
