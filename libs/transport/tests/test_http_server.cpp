#include <transport/http_exchange.h>
#include <transport/http_handler.h>
#include <transport/http_server.h>

#include <fakes/scripted_http_server.h>

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <future>

using namespace orioledrum;
using namespace std::chrono_literals;
using testing::HasSubstr;
using testing::StartsWith;

namespace
{

/// Responds to "/echo" at once, drops the exchange of "/drop" and queues all other exchanges for take().
class queueing_handler : public http_handler
{
public:
    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        if (request.path == "/drop") {
            return;
        }
        if (request.path == "/echo") {
            exchange->respond({200, "text/plain", {{"X-Query", request.query}}, request.method + " " + request.body});
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_exchanges.push_back(std::move(exchange));
        m_changed.notify_all();
    }

    /// Waits for a queued exchange. If none arrives within 10 s, the behaviour is undefined.
    /// @return The oldest queued exchange.
    std::shared_ptr<http_exchange> take()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 10s, [&] { return !m_exchanges.empty(); });
        auto taken = m_exchanges.empty() ? nullptr : std::move(m_exchanges.front());
        m_exchanges.pop_front();
        return taken;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<http_exchange>> m_exchanges;
};

std::string makeRequest(const std::string &path, const std::string &body, const std::string &connection = "close")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: " + connection + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

nlohmann::json parseError(const std::string &response)
{
    return nlohmann::json::parse(response.substr(response.find("\r\n\r\n") + 4)).at("error");
}

class HttpServerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        settings.maxBodyBytes = 1000;
        settings.threads = 2;
        server = http_server::create(settings, handler).value();
    }

    http_server_settings settings;
    queueing_handler handler;
    std::unique_ptr<http_server> server;
};

} // namespace

// Guards against incomplete requests or responses.
TEST_F(HttpServerTest, DeliversRequestAndResponse)
{
    const auto response = exchangeBytes(server->port(), makeRequest("/echo?a=1&b=2", "hello"));
    EXPECT_THAT(response, StartsWith("HTTP/1.1 200 OK\r\n"));
    EXPECT_THAT(response, HasSubstr("X-Query: a=1&b=2\r\n"));
    EXPECT_THAT(response, HasSubstr("POST hello"));
}

// Guards against handlers that continue to work because they are not told of a disconnect, and against reporting a disconnect
// for a request that was already answered.
TEST_F(HttpServerTest, ReportsDisconnectedCaller)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
    asio::write(socket, asio::buffer(makeRequest("/hold", "", "keep-alive")));
    auto first = handler.take();
    ASSERT_TRUE(first);
    std::atomic<int> reportsAfterResponse = 0;
    std::promise<void> disconnected;
    first->onCallerDisconnected([&] { ++reportsAfterResponse; });
    ASSERT_TRUE(first->respond({200, "text/plain", {}, "done"}));
    asio::write(socket, asio::buffer(makeRequest("/hold", "", "keep-alive")));
    auto second = handler.take();
    ASSERT_TRUE(second);
    second->onCallerDisconnected([&] { disconnected.set_value(); });
    socket.close();
    EXPECT_EQ(disconnected.get_future().wait_for(10s), std::future_status::ready);
    EXPECT_EQ(reportsAfterResponse, 0);
}

// Guards against accepting a body over the limit, and against rejecting it without a response that the client can read.
TEST_F(HttpServerTest, BodyOverLimitGets413)
{
    const auto atLimit = exchangeBytes(server->port(), makeRequest("/echo", std::string(1000, 'x')));
    EXPECT_THAT(atLimit, StartsWith("HTTP/1.1 200"));
    const auto overLimit = exchangeBytes(server->port(), makeRequest("/echo", std::string(1001, 'x')));
    EXPECT_THAT(overLimit, StartsWith("HTTP/1.1 413 Payload Too Large\r\n"));
    EXPECT_EQ(parseError(overLimit).at("code"), "tooLarge");
    EXPECT_EQ(parseError(overLimit).at("step"), "read request");
    const auto large = exchangeBytes(server->port(), makeRequest("/echo", std::string(5'000'000, 'x'), "keep-alive"));
    EXPECT_THAT(large, StartsWith("HTTP/1.1 413"));
    EXPECT_THAT(large, HasSubstr("Connection: close"));
    std::string chunks = "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 3; ++i) {
        chunks += "1f4\r\n" + std::string(500, 'y') + "\r\n";
    }
    EXPECT_THAT(exchangeBytes(server->port(), chunks + "0\r\n\r\n"), StartsWith("HTTP/1.1 413"));
}

// Guards against callers that wait forever because a handler dropped their exchange.
TEST_F(HttpServerTest, DroppedExchangeGets500)
{
    const auto response = exchangeBytes(server->port(), makeRequest("/drop", ""));
    EXPECT_THAT(response, StartsWith("HTTP/1.1 500"));
    EXPECT_EQ(parseError(response).at("code"), "internal");
}

// Guards against a second response to one request, and against responses that work only on the server's threads.
TEST_F(HttpServerTest, RespondsOnceFromAnyThread)
{
    auto response = std::async(std::launch::async, [&] { return exchangeBytes(server->port(), makeRequest("/hold", "")); });
    const auto exchange = handler.take();
    ASSERT_TRUE(exchange);
    EXPECT_TRUE(exchange->respond({200, "text/plain", {}, "first"}));
    EXPECT_FALSE(exchange->respond({200, "text/plain", {}, "second"}));
    EXPECT_THAT(response.get(), testing::EndsWith("\r\n\r\nfirst"));
}

// Guards against header injection through values that a handler copies from other sources.
TEST_F(HttpServerTest, InvalidHeaderValueIsNotSent)
{
    auto response = std::async(std::launch::async, [&] { return exchangeBytes(server->port(), makeRequest("/hold", "")); });
    handler.take()->respond({200, "text/plain", {{"X-A", "1\r\nX-B: 2"}}, ""});
    EXPECT_THAT(response.get(), StartsWith("HTTP/1.1 500"));
}

// Guards against a second process that starts on the same port without an error, and against accepting an address that is
// not an IP address.
TEST_F(HttpServerTest, ListenErrorsAreReported)
{
    auto second = settings;
    second.port = server->port();
    const auto result = http_server::create(second, handler);
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().code, error_code::conflict);
    EXPECT_EQ(result.error().step, "listen");
    EXPECT_EQ(result.error().peer, "127.0.0.1:" + std::to_string(server->port()));
    second.address = "nowhere";
    EXPECT_EQ(http_server::create(second, handler).error().code, error_code::invalidArgument);
}

// Guards against invalid input that closes the connection without a response or makes the server fail later requests.
TEST_F(HttpServerTest, MalformedRequestGets400)
{
    for (const std::string bytes :
         {"nonsense\r\n\r\n", "GET /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n", "\x01\x02\x03\x04 / HTTP/1.1\r\n\r\n"}) {
        const auto response = exchangeBytes(server->port(), bytes);
        EXPECT_THAT(response, StartsWith("HTTP/1.1 400 Bad Request\r\n")) << bytes;
        EXPECT_EQ(parseError(response).at("code"), "malformed");
    }
    EXPECT_THAT(exchangeBytes(server->port(), "GET /" + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n"), StartsWith("HTTP/1.1 431"));
    EXPECT_THAT(exchangeBytes(server->port(), makeRequest("/echo", "fine")), StartsWith("HTTP/1.1 200"));
}

// Guards against a graceful stop that aborts a request, complete or still arriving, or that waits for idle connections.
TEST_F(HttpServerTest, GracefulStopCompletesRequests)
{
    asio::io_context context;
    asio::ip::tcp::socket idle(context);
    idle.connect({asio::ip::address_v4::loopback(), server->port()});
    asio::write(idle, asio::buffer(makeRequest("/echo", "1", "keep-alive")));
    std::string idleInput;
    asio::read_until(idle, asio::dynamic_buffer(idleInput), "POST 1");
    EXPECT_THAT(idleInput, HasSubstr("Connection: keep-alive"));
    asio::ip::tcp::socket partial(context);
    partial.connect({asio::ip::address_v4::loopback(), server->port()});
    const std::string partialRequest = makeRequest("/echo", "late", "keep-alive");
    asio::write(partial, asio::buffer(partialRequest.substr(0, 30)));

    std::vector<std::future<std::string>> responses;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    for (int i = 0; i < 20; ++i) {
        responses.push_back(
            std::async(std::launch::async, [&] { return exchangeBytes(server->port(), makeRequest("/hold", "", "keep-alive")); }));
        exchanges.push_back(handler.take());
    }
    auto stopResult = std::async(std::launch::async, [&] { return server->stop(10s); });
    // The idle connection is closed although the others are still open.
    char byte = 0;
    asio::error_code code;
    asio::read(idle, asio::buffer(&byte, 1), code);
    EXPECT_EQ(code, asio::error::eof);
    EXPECT_EQ(stopResult.wait_for(0s), std::future_status::timeout);

    asio::write(partial, asio::buffer(partialRequest.substr(30)));
    std::string partialInput;
    asio::read(partial, asio::dynamic_buffer(partialInput), code);
    EXPECT_THAT(partialInput, HasSubstr("POST late"));
    for (const auto &exchange : exchanges) {
        exchange->respond({200, "text/plain", {}, std::string(100'000, 'z') + "end"});
    }
    for (auto &response : responses) {
        const auto text = response.get();
        EXPECT_THAT(text, HasSubstr("Connection: close"));
        EXPECT_TRUE(text.ends_with("zend"));
    }
    EXPECT_TRUE(stopResult.get());
}

// Guards against running out of descriptors because of too many connections, and against closed connections that still count.
TEST_F(HttpServerTest, ConnectionsOverTheLimitAreClosed)
{
    settings.maxConnections = 1;
    settings.threads = 1;
    server = http_server::create(settings, handler).value();
    auto firstResponse = std::async(std::launch::async, [&] { return exchangeBytes(server->port(), makeRequest("/hold", "")); });
    const auto exchange = handler.take();
    EXPECT_EQ(exchangeBytes(server->port(), makeRequest("/echo", "")), "");
    exchange->respond({200, "text/plain", {}, ""});
    EXPECT_THAT(firstResponse.get(), StartsWith("HTTP/1.1 200"));
    // The server may still count the first connection for a short time after the client has received its end.
    std::string response;
    for (int i = 0; i < 5000 && response.empty(); ++i) {
        response = exchangeBytes(server->port(), makeRequest("/echo", ""));
    }
    EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
}

// Guards against callers that use up the descriptors of the process by requests that never end; callers that send slowly but finish,
// and callers that wait for an answer, must not be cut off.
TEST_F(HttpServerTest, UnfinishedRequestsAreClosed)
{
    asio::io_context context;
    const auto connect = [&](const std::string &bytes) {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server->port()});
        asio::write(socket, asio::buffer(bytes));
        return socket;
    };
    auto idle = connect("");
    auto waiting = connect(makeRequest("/later", "x"));
    auto unfinishedHead = connect("GET /echo HTTP/1.1\r\nHost: x\r\nX-");
    auto unfinishedBody = connect("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    std::this_thread::sleep_for(300ms);
    auto recent = connect("GET /echo HTTP/1.1\r\nHost: x\r\n");
    std::this_thread::sleep_for(20ms);
    server->closeUnfinishedRequests(250ms, 250ms);
    for (auto *socket : {&unfinishedHead, &unfinishedBody}) {
        std::string input;
        asio::error_code code;
        asio::read(*socket, asio::dynamic_buffer(input), code);
        EXPECT_THAT(input, StartsWith("HTTP/1.1 408 "));
        EXPECT_TRUE(code);
    }
    handler.take()->respond({200, "text/plain", {}, "late"});
    asio::write(idle, asio::buffer(makeRequest("/echo", "x")));
    asio::write(recent, asio::buffer(std::string("\r\n")));
    for (auto *socket : {&idle, &recent, &waiting}) {
        std::array<char, 12> status{};
        asio::read(*socket, asio::buffer(status));
        EXPECT_EQ(std::string(status.data(), status.size()), "HTTP/1.1 200");
    }
}

// Guards against a stop that never returns, and against use after free when a response is sent after the server is destroyed.
TEST_F(HttpServerTest, StopReturnsAfterTimeout)
{
    auto response = std::async(std::launch::async, [&] { return exchangeBytes(server->port(), makeRequest("/hold", "")); });
    const auto exchange = handler.take();
    EXPECT_EQ(server->openRequests(), 1U);
    EXPECT_FALSE(server->stop(50ms));
    server.reset();
    exchange->respond({200, "text/plain", {}, "too late"});
}
