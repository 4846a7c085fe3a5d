#include <transport/peer_client.h>
#include <transport/peer_handler.h>
#include <transport/peer_reply.h>
#include <transport/peer_server.h>

#include <fakes/context_thread.h>
#include <fakes/full_listener.h>
#include <fakes/scripted_http_server.h>
#include <fakes/tcp_forwarder.h>

#include <gtest/gtest.h>

#include <condition_variable>
#include <deque>
#include <future>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

/// Answers "/echo" with one frame and keeps the others until a test takes them.
class recording_peer : public peer_handler
{
public:
    struct received {
        peer_request request;
        std::shared_ptr<peer_reply> reply;
    };

    void onRequest(peer_request request, std::shared_ptr<peer_reply> reply) override
    {
        if (request.path == "/echo") {
            reply->sendFrame(std::move(request.body));
            reply->finish();
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_held.push_back({std::move(request), std::move(reply)});
        m_changed.notify_all();
    }

    received take()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 10s, [&] { return !m_held.empty(); });
        received taken = std::move(m_held.at(0));
        m_held.pop_front();
        return taken;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<received> m_held;
};

/// What a stream delivered, and the futures of its first frame and its end.
struct outcome {
    std::vector<std::string> frames;
    std::promise<void> first;
    std::promise<peer_end> end;
    std::future<void> firstFrame = first.get_future();
    std::future<peer_end> ended = end.get_future();
    peer_stream_handle handle{};
};

class PeerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        startServer("127.0.0.1:0");
        clientThread.run([&] { client = peer_client::create(clientThread.context(), clientSettings).value(); });
    }

    void TearDown() override
    {
        clientThread.run([&] { client.reset(); });
        stopServer();
    }

    void startServer(const std::string &at)
    {
        serverSettings.address = at;
        serverThread.run([&] { server = peer_server::create(serverThread.context(), serverSettings, handler).value(); });
        address = "127.0.0.1:" + std::to_string(server->port());
    }

    void stopServer()
    {
        serverThread.run([&] { server.reset(); });
    }

    void restartClient()
    {
        clientThread.run([&] { client = peer_client::create(clientThread.context(), clientSettings).value(); });
    }

    std::shared_ptr<outcome> send(const std::string &to, const std::string &path, std::string body, std::chrono::milliseconds timeout = 10s)
    {
        auto result = std::make_shared<outcome>();
        result->handle = clientThread.run([&] {
            return client->send(
                to,
                path,
                std::move(body),
                timeout,
                [result](std::string_view frame) {
                    result->frames.emplace_back(frame);
                    if (result->frames.size() == 1) {
                        result->first.set_value();
                    }
                },
                [result](const peer_end &end) { result->end.set_value(end); });
        });
        return result;
    }

    /// @return Text form of the code of an end, or "ok".
    static std::string code(const peer_end &end) { return end.failure ? std::string(toString(end.failure->code)) : "ok"; }

    std::string echo(const std::string &to, const std::string &body)
    {
        const auto result = send(to, "/echo", body);
        const auto end = result->ended.get();
        return end.failure ? end.failure->describe() : result->frames.at(0);
    }

    bool eventually(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 5000 && !condition(); ++i) {
            std::this_thread::sleep_for(1ms);
        }
        return condition();
    }

    peer_server_settings serverSettings;
    peer_client_settings clientSettings;
    recording_peer handler;
    context_thread serverThread;
    context_thread clientThread;
    std::unique_ptr<peer_server> server;
    std::unique_ptr<peer_client> client;
    std::string address;
};

} // namespace

// Guards against frames that are lost, merged, split or reordered, and against windows too small for 1 MB.
TEST_F(PeerTest, FramesArriveWholeAndInOrder)
{
    const std::string large(1'048'576, 'x');
    const auto result = send(address, "/frames", large + "!");
    const auto received = handler.take();
    EXPECT_EQ(received.request.path, "/frames");
    EXPECT_TRUE(received.request.body == large + "!");
    EXPECT_TRUE(received.request.remote.starts_with("127.0.0.1:"));
    const std::vector<std::string> frames{"a", "", large, std::string(3'000'000, 'y'), "end"};
    for (const auto &frame : frames) {
        ASSERT_TRUE(received.reply->sendFrame(frame).has_value());
    }
    received.reply->finish();
    EXPECT_FALSE(received.reply->sendFrame("late").has_value());
    const auto end = result->ended.get();
    EXPECT_EQ(code(end), "ok");
    EXPECT_TRUE(end.endedByPeer);
    EXPECT_TRUE(result->frames == frames);
    EXPECT_FALSE(received.reply->cancelled());
}

// Guards against answers that reach another request when they overtake each other.
TEST_F(PeerTest, CrossedStreamsGetTheirOwnAnswers)
{
    std::vector<std::shared_ptr<outcome>> results;
    std::vector<recording_peer::received> received;
    constexpr int streams = 200;
    results.reserve(streams);
    received.reserve(streams);
    for (int i = 0; i < streams; ++i) {
        results.push_back(send(address, "/cross", std::to_string(i)));
    }
    for (int i = 0; i < streams; ++i) {
        received.push_back(handler.take());
    }
    // Answered in reverse order from two threads, in two interleaved rounds.
    for (const bool last : {false, true}) {
        std::vector<std::thread> threads;
        for (const std::size_t offset : {0U, 1U}) {
            threads.emplace_back([&received, offset, last] {
                for (std::size_t i = received.size(); i-- > 0;) {
                    if (i % 2 != offset) {
                        continue;
                    }
                    received[i].reply->sendFrame(received[i].request.body + (last ? "b" : "a"));
                    if (last) {
                        received[i].reply->finish();
                    }
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }
    for (int i = 0; i < streams; ++i) {
        auto &result = *results[static_cast<std::size_t>(i)];
        ASSERT_EQ(code(result.ended.get()), "ok");
        EXPECT_EQ(result.frames, (std::vector{std::to_string(i) + "a", std::to_string(i) + "b"}));
    }
    EXPECT_EQ(clientThread.run([&] { return client->connections(); }), 1U);
}

// Guards against errors of a peer that lose their parts, and against requests that a handler loses.
TEST_F(PeerTest, ErrorsOfThePeerArriveInFull)
{
    auto result = send(address, "/fail", "");
    auto received = handler.take();
    received.reply->sendFrame("part");
    received.reply->fail({error_code::notOwner, "50% \n\xc3\xa9 \xff", "", "10.0.0.1:80"});
    received.reply->finish();
    auto end = result->ended.get();
    EXPECT_EQ(code(end), "notOwner");
    EXPECT_EQ(end.failure->message, "50% \n\xc3\xa9 \xff");
    EXPECT_EQ(end.failure->step, "");
    EXPECT_EQ(end.failure->peer, "10.0.0.1:80");
    EXPECT_TRUE(end.endedByPeer);
    EXPECT_EQ(result->frames.size(), 1U);

    result = send(address, "/drop", "");
    received = handler.take();
    received.reply.reset();
    EXPECT_EQ(code(result->ended.get()), "internal");
}

// Guards against a connection that goes silent for good and takes its requests with it.
TEST_F(PeerTest, SilentConnectionIsReplaced)
{
    tcp_forwarder forwarder(server->port());
    const auto through = "127.0.0.1:" + std::to_string(forwarder.port());
    EXPECT_EQ(echo(through, "before"), "before");
    const auto stuck = send(through, "/hold", "");
    const auto received = handler.take();
    std::promise<void> cancelled;
    received.reply->onCancel([&] { cancelled.set_value(); });

    forwarder.silence();
    const auto begin = std::chrono::steady_clock::now();
    const auto end = stuck->ended.get();
    const auto after = std::chrono::steady_clock::now() - begin;
    EXPECT_EQ(code(end), "unreachable");
    EXPECT_TRUE(end.mayHaveReachedPeer);
    EXPECT_FALSE(end.endedByPeer);
    EXPECT_LT(after, 2500ms) << "2 s and a margin for a busy machine";
    EXPECT_EQ(echo(through, "after"), "after");
    EXPECT_EQ(forwarder.accepted(), 2U);
    // The server closes its end of the silent connection too.
    EXPECT_EQ(cancelled.get_future().wait_for(20s), std::future_status::ready);
}

// Guards against a live connection that is closed because of its PINGs.
TEST_F(PeerTest, LiveConnectionIsKept)
{
    clientSettings.pingInterval = 20ms;
    restartClient();
    tcp_forwarder forwarder(server->port());
    const auto through = "127.0.0.1:" + std::to_string(forwarder.port());
    const auto result = send(through, "/hold", "");
    const auto received = handler.take();
    std::this_thread::sleep_for(500ms);
    received.reply->finish();
    EXPECT_EQ(code(result->ended.get()), "ok");
    EXPECT_EQ(forwarder.accepted(), 1U);
}

// Guards against a cut reply that is taken for a complete one.
TEST_F(PeerTest, CutInAStreamIsAFailure)
{
    tcp_forwarder forwarder(server->port());
    const auto result = send("127.0.0.1:" + std::to_string(forwarder.port()), "/cut", "");
    const auto received = handler.take();
    received.reply->sendFrame("part");
    result->firstFrame.get();
    forwarder.cut();
    const auto end = result->ended.get();
    EXPECT_EQ(code(end), "unreachable");
    EXPECT_TRUE(end.mayHaveReachedPeer);
    EXPECT_EQ(result->frames, std::vector<std::string>{"part"});
    EXPECT_TRUE(eventually([&] { return received.reply->cancelled(); }));
    EXPECT_EQ(received.reply->sendFrame("more").error().code, error_code::cancelled);
}

// Guards against a peer that goes on working for a request nobody waits for.
TEST_F(PeerTest, CancelAndTimeoutResetTheStream)
{
    for (const bool cancel : {true, false}) {
        const auto result = send(address, "/hold", "", cancel ? 10s : 100ms);
        const auto received = handler.take();
        std::promise<void> notified;
        received.reply->onCancel([&] { notified.set_value(); });
        received.reply->sendFrame("part");
        if (cancel) {
            result->firstFrame.get();
            clientThread.run([&] { client->cancel(result->handle); });
        }
        const auto end = result->ended.get();
        EXPECT_EQ(code(end), cancel ? "cancelled" : "deadlineExceeded");
        EXPECT_TRUE(end.mayHaveReachedPeer);
        notified.get_future().get();
        EXPECT_TRUE(received.reply->cancelled());
    }
    EXPECT_EQ(echo(address, "still"), "still");
    EXPECT_EQ(clientThread.run([&] { return client->openStreams(); }), 0U);
    EXPECT_TRUE(eventually([&] { return serverThread.run([&] { return server->openStreams(); }) == 0; }));
}

// Guards against "may have run" for requests that no peer has seen, against connect storms, and against a peer that
// stays unreachable after it came back.
TEST_F(PeerTest, RefusedConnectionIsRetriedWithBackoff)
{
    const auto at = address;
    stopServer();
    auto end = send(at, "/echo", "1")->ended.get();
    EXPECT_EQ(code(end), "unreachable");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    end = send(at, "/echo", "2")->ended.get();
    EXPECT_EQ(code(end), "unreachable");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    EXPECT_NE(end.failure->message.find("being retried"), std::string::npos);
    startServer(at);
    EXPECT_TRUE(eventually([&] { return echo(at, "3") == "3"; }));
}

// Guards against "may have run" for requests to a host that does not answer at all.
TEST_F(PeerTest, ConnectTimeoutDidNotReachThePeer)
{
    clientSettings.connectTimeout = 100ms;
    restartClient();
    const full_listener listener;
    const auto early = send(listener.address(), "/echo", "", 30ms);
    const auto waiting = send(listener.address(), "/echo", "");
    auto end = early->ended.get();
    EXPECT_EQ(code(end), "deadlineExceeded");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    end = waiting->ended.get();
    EXPECT_EQ(code(end), "unreachable");
    EXPECT_FALSE(end.mayHaveReachedPeer);
}

// Guards against limits that cut a connection or hang instead of giving an error.
TEST_F(PeerTest, LimitsGiveClearErrors)
{
    stopServer();
    serverSettings.maxBodyBytes = 100'000;
    serverSettings.maxFrameBytes = 100'000;
    serverSettings.maxStreams = 2; // Further streams wait in the client.
    startServer("127.0.0.1:0");
    clientSettings.maxBodyBytes = 1'000'000;
    clientSettings.maxFrameBytes = 1000;
    clientSettings.maxStreams = 3;
    restartClient();

    auto end = send(address, "/echo", std::string(1'000'001, 'x'))->ended.get();
    EXPECT_EQ(code(end), "tooLarge");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    end = send(address, "/echo", std::string(1'000'000, 'x'))->ended.get();
    EXPECT_EQ(code(end), "tooLarge");
    EXPECT_TRUE(end.endedByPeer);

    const auto large = send(address, "/frame", "");
    auto received = handler.take();
    EXPECT_EQ(received.reply->sendFrame(std::string(100'001, 'x')).error().code, error_code::tooLarge);
    EXPECT_TRUE(received.reply->sendFrame(std::string(1001, 'x')).has_value());
    EXPECT_EQ(code(large->ended.get()), "tooLarge");

    std::vector<std::shared_ptr<outcome>> open;
    open.reserve(3);
    for (int i = 0; i < 3; ++i) {
        open.push_back(send(address, "/hold", ""));
    }
    end = send(address, "/hold", "")->ended.get();
    EXPECT_EQ(code(end), "overloaded");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    for (const auto &result : open) {
        handler.take().reply->finish();
        EXPECT_EQ(code(result->ended.get()), "ok");
    }
    EXPECT_EQ(echo(address, "still"), "still");
    EXPECT_EQ(code(send("nowhere", "/echo", "")->ended.get()), "invalidArgument");
    EXPECT_EQ(code(send(address, "echo", "")->ended.get()), "invalidArgument");
}

// Guards against memory that grows without bound when a client stops reading.
TEST_F(PeerTest, SlowReaderIsNoticed)
{
    tcp_forwarder forwarder(server->port());
    const auto result = send("127.0.0.1:" + std::to_string(forwarder.port()), "/hold", "");
    const auto received = handler.take();
    forwarder.silence();
    expected<void> sent;
    int frames = 0;
    for (; frames < 1000 && sent; ++frames) {
        sent = received.reply->sendFrame(std::string(1'000'000, 'x'));
    }
    ASSERT_FALSE(sent.has_value());
    EXPECT_EQ(sent.error().code, error_code::overloaded);
    clientThread.run([&] { client->cancel(result->handle); });
    EXPECT_EQ(code(result->ended.get()), "cancelled");
}

// Guards against a planned stop of either side that cuts running streams or takes new ones.
TEST_F(PeerTest, GracefulShutdownLetsStreamsEnd)
{
    const auto running = send(address, "/hold", "");
    auto received = handler.take();
    std::promise<bool> serverDone;
    serverThread.run([&] { server->shutdown(10s, [&](bool complete) { serverDone.set_value(complete); }); });
    // Once the client knows, new requests open a connection, which is refused.
    EXPECT_TRUE(eventually([&] {
        const auto end = send(address, "/echo", "")->ended.get();
        return end.failure && !end.mayHaveReachedPeer;
    }));
    received.reply->sendFrame(std::string(3'000'000, 'x'));
    received.reply->finish();
    EXPECT_EQ(code(running->ended.get()), "ok");
    EXPECT_EQ(running->frames.at(0).size(), 3'000'000U);
    EXPECT_TRUE(serverDone.get_future().get());

    stopServer();
    startServer("127.0.0.1:0");
    const auto last = send(address, "/hold", "");
    received = handler.take();
    std::promise<bool> clientDone;
    clientThread.run([&] { client->shutdown(10s, [&](bool complete) { clientDone.set_value(complete); }); });
    EXPECT_EQ(code(send(address, "/echo", "")->ended.get()), "draining");
    received.reply->sendFrame("frame");
    received.reply->finish();
    EXPECT_EQ(code(last->ended.get()), "ok");
    EXPECT_TRUE(clientDone.get_future().get());
    EXPECT_TRUE(eventually([&] { return serverThread.run([&] { return server->connections(); }) == 0; }));
}

// Guards against a shutdown that waits for ever for a stream.
TEST_F(PeerTest, ShutdownIsBounded)
{
    const auto running = send(address, "/hold", "");
    const auto received = handler.take();
    std::promise<bool> serverDone;
    serverThread.run([&] { server->shutdown(50ms, [&](bool complete) { serverDone.set_value(complete); }); });
    EXPECT_FALSE(serverDone.get_future().get());
    EXPECT_EQ(code(running->ended.get()), "unreachable");
    EXPECT_TRUE(received.reply->cancelled());

    stopServer();
    startServer("127.0.0.1:0");
    const auto last = send(address, "/hold", "");
    const auto held = handler.take();
    std::promise<bool> clientDone;
    clientThread.run([&] { client->shutdown(50ms, [&](bool complete) { clientDone.set_value(complete); }); });
    EXPECT_FALSE(clientDone.get_future().get());
    EXPECT_EQ(code(last->ended.get()), "cancelled");
}

// Guards against harm by connections that are not HTTP/2, on both sides.
TEST_F(PeerTest, OtherProtocolsAreRejected)
{
    exchangeBytes(server->port(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    exchangeBytes(server->port(), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(100, '\xff'));
    EXPECT_EQ(echo(address, "fine"), "fine");
    scripted_http_server other([](const std::string &) { return scripted_http_server::action{"HTTP/1.1 400 Bad Request\r\n\r\n", true}; });
    EXPECT_EQ(code(send(other.address(), "/echo", "")->ended.get()), "protocolError");
}

// Guards against a second process that starts silently on the same port.
TEST_F(PeerTest, PortInUseIsAClearError)
{
    serverSettings.address = address;
    const auto result = serverThread.run([&] {
        const auto second = peer_server::create(serverThread.context(), serverSettings, handler);
        return second ? error{} : second.error();
    });
    EXPECT_EQ(result.code, error_code::conflict);
    EXPECT_EQ(result.step, "listen for peers");
    EXPECT_EQ(result.peer, address);

    // Servers of several threads may share a port when all of them ask for it.
    serverSettings.reusePort = true;
    serverSettings.address = "127.0.0.1:0";
    const auto shared = serverThread.run([&] {
        auto first = peer_server::create(serverThread.context(), serverSettings, handler).value();
        serverSettings.address = "127.0.0.1:" + std::to_string(first->port());
        return peer_server::create(serverThread.context(), serverSettings, handler).has_value();
    });
    EXPECT_TRUE(shared);
}

// Guards against use of a destroyed client or server whose callback is running.
TEST_F(PeerTest, DestructionInACallback)
{
    std::promise<void> destroyed;
    clientThread.run([&] {
        for (int i = 0; i < 3; ++i) {
            client->send(address, "/echo", "x", 10s, {}, [&](const peer_end &) {
                client.reset();
                destroyed.set_value();
            });
        }
    });
    destroyed.get_future().get();
    restartClient();
    EXPECT_EQ(echo(address, "again"), "again");
    const auto result = send(address, "/hold", "");
    const auto received = handler.take();
    stopServer();
    EXPECT_EQ(code(result->ended.get()), "unreachable");
    EXPECT_TRUE(received.reply->cancelled());
    EXPECT_FALSE(received.reply->sendFrame("late").has_value());
}
