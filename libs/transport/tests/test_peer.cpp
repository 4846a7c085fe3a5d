#include <transport/peer_client.h>
#include <transport/peer_handler.h>
#include <transport/peer_reply.h>
#include <transport/peer_server.h>

#include <fakes/context_thread.h>
#include <fakes/full_backlog_listener.h>
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

/// Answers "/echo" with one frame that holds the request body and queues all other requests for takeRequest().
class queueing_handler : public peer_handler
{
public:
    struct received_request {
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
        m_pendingRequests.push_back({std::move(request), std::move(reply)});
        m_changed.notify_all();
    }

    /// Waits up to 10 s for a queued request.
    /// @return The oldest queued request; throws std::out_of_range when there is none.
    received_request takeRequest()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 10s, [&] { return !m_pendingRequests.empty(); });
        received_request oldest = std::move(m_pendingRequests.at(0));
        m_pendingRequests.pop_front();
        return oldest;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<received_request> m_pendingRequests;
};

/// Frames that a stream delivered, and futures of its first frame and its end.
struct stream_outcome {
    std::vector<std::string> frames;
    std::promise<void> firstFramePromise;
    std::promise<peer_stream_end> endPromise;
    std::future<void> firstFrame = firstFramePromise.get_future();
    std::future<peer_stream_end> ended = endPromise.get_future();
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

    void startServer(const std::string &listenAddress)
    {
        serverSettings.address = listenAddress;
        serverThread.run([&] { server = peer_server::create(serverThread.context(), serverSettings, handler).value(); });
        address = "127.0.0.1:" + std::to_string(server->port());
    }

    void stopServer()
    {
        serverThread.run([&] { server.reset(); });
    }

    void recreateClient()
    {
        clientThread.run([&] { client = peer_client::create(clientThread.context(), clientSettings).value(); });
    }

    std::shared_ptr<stream_outcome>
    send(const std::string &peerAddress, const std::string &path, std::string body, std::chrono::milliseconds timeout = 10s)
    {
        auto result = std::make_shared<stream_outcome>();
        result->handle = clientThread.run([&] {
            return client->send(
                peerAddress,
                path,
                std::move(body),
                timeout,
                [result](std::string_view frame) {
                    result->frames.emplace_back(frame);
                    if (result->frames.size() == 1) {
                        result->firstFramePromise.set_value();
                    }
                },
                [result](const peer_stream_end &end) { result->endPromise.set_value(end); });
        });
        return result;
    }

    /// @return Name of the error code of an end, or "ok" on success.
    static std::string codeName(const peer_stream_end &end) { return end.failure ? std::string(toString(end.failure->code)) : "ok"; }

    /// @return The frame that "/echo" returned, or the description of the error.
    std::string echo(const std::string &peerAddress, const std::string &body)
    {
        const auto result = send(peerAddress, "/echo", body);
        const auto end = result->ended.get();
        return end.failure ? end.failure->describe() : result->frames.at(0);
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

    peer_server_settings serverSettings;
    peer_client_settings clientSettings;
    queueing_handler handler;
    context_thread serverThread;
    context_thread clientThread;
    std::unique_ptr<peer_server> server;
    std::unique_ptr<peer_client> client;
    std::string address;
};

} // namespace

// Guards against frames that are lost, merged, split or reordered, and against flow-control windows that are too small for
// frames of 1 MB and more.
TEST_F(PeerTest, FramesArriveWholeAndInOrder)
{
    const std::string large(1'048'576, 'x');
    const auto result = send(address, "/frames", large + "!");
    const auto received = handler.takeRequest();
    EXPECT_EQ(received.request.path, "/frames");
    EXPECT_TRUE(received.request.body == large + "!");
    EXPECT_TRUE(received.request.remoteAddress.starts_with("127.0.0.1:"));
    const std::vector<std::string> frames{"a", "", large, std::string(3'000'000, 'y'), "end"};
    for (const auto &frame : frames) {
        ASSERT_TRUE(received.reply->sendFrame(frame).has_value());
    }
    received.reply->finish();
    EXPECT_FALSE(received.reply->sendFrame("late").has_value());
    const auto end = result->ended.get();
    EXPECT_EQ(codeName(end), "ok");
    EXPECT_TRUE(end.endedByPeer);
    EXPECT_TRUE(result->frames == frames);
    EXPECT_FALSE(received.reply->cancelled());
}

// Guards against replies that are delivered to the wrong request when the replies of concurrent requests are interleaved.
TEST_F(PeerTest, InterleavedStreamsReceiveTheirOwnReplies)
{
    std::vector<std::shared_ptr<stream_outcome>> results;
    std::vector<queueing_handler::received_request> received;
    constexpr int streams = 200;
    results.reserve(streams);
    received.reserve(streams);
    for (int i = 0; i < streams; ++i) {
        results.push_back(send(address, "/cross", std::to_string(i)));
    }
    for (int i = 0; i < streams; ++i) {
        received.push_back(handler.takeRequest());
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
        ASSERT_EQ(codeName(result.ended.get()), "ok");
        EXPECT_EQ(result.frames, (std::vector{std::to_string(i) + "a", std::to_string(i) + "b"}));
    }
    EXPECT_EQ(clientThread.run([&] { return client->connections(); }), 1U);
}

// Guards against errors of the peer that arrive without some of their fields, and against requests that hang when the handler
// drops the reply.
TEST_F(PeerTest, PeerErrorsArriveWithAllFields)
{
    auto result = send(address, "/fail", "");
    auto received = handler.takeRequest();
    received.reply->sendFrame("part");
    received.reply->fail({error_code::notOwner, "50% \n\xc3\xa9 \xff", "", "10.0.0.1:80"});
    received.reply->finish();
    auto end = result->ended.get();
    EXPECT_EQ(codeName(end), "notOwner");
    EXPECT_EQ(end.failure->message, "50% \n\xc3\xa9 \xff");
    EXPECT_EQ(end.failure->step, "");
    EXPECT_EQ(end.failure->peer, "10.0.0.1:80");
    EXPECT_TRUE(end.endedByPeer);
    EXPECT_EQ(result->frames.size(), 1U);

    result = send(address, "/drop", "");
    received = handler.takeRequest();
    received.reply.reset();
    EXPECT_EQ(codeName(result->ended.get()), "internal");
}

// Guards against requests that hang on a connection that has stopped delivering data without being closed.
TEST_F(PeerTest, UnresponsiveConnectionIsReplaced)
{
    tcp_forwarder forwarder(server->port());
    const auto forwarderAddress = "127.0.0.1:" + std::to_string(forwarder.port());
    EXPECT_EQ(echo(forwarderAddress, "before"), "before");
    const auto stalled = send(forwarderAddress, "/hold", "");
    const auto received = handler.takeRequest();
    std::promise<void> cancelled;
    received.reply->onCancel([&] { cancelled.set_value(); });

    forwarder.stopForwarding();
    const auto begin = std::chrono::steady_clock::now();
    const auto end = stalled->ended.get();
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    EXPECT_EQ(codeName(end), "unreachable");
    EXPECT_TRUE(end.mayHaveReachedPeer);
    EXPECT_FALSE(end.endedByPeer);
    EXPECT_LT(elapsed, 2500ms) << "pingInterval and pingTimeout, together 2 s, and a margin for a busy machine";
    EXPECT_EQ(echo(forwarderAddress, "after"), "after");
    EXPECT_EQ(forwarder.acceptedCount(), 2U);
    // The idle timeout closes the server's end of the stalled connection.
    EXPECT_EQ(cancelled.get_future().wait_for(20s), std::future_status::ready);
}

// Guards against closing a connection although its PINGs are acknowledged.
TEST_F(PeerTest, ResponsiveConnectionStaysOpen)
{
    clientSettings.pingInterval = 20ms;
    recreateClient();
    tcp_forwarder forwarder(server->port());
    const auto forwarderAddress = "127.0.0.1:" + std::to_string(forwarder.port());
    const auto result = send(forwarderAddress, "/hold", "");
    const auto received = handler.takeRequest();
    std::this_thread::sleep_for(500ms);
    received.reply->finish();
    EXPECT_EQ(codeName(result->ended.get()), "ok");
    EXPECT_EQ(forwarder.acceptedCount(), 1U);
}

// Guards against treating a reply that a connection loss truncated as complete.
TEST_F(PeerTest, ConnectionLossDuringReplyIsAFailure)
{
    tcp_forwarder forwarder(server->port());
    const auto result = send("127.0.0.1:" + std::to_string(forwarder.port()), "/cut", "");
    const auto received = handler.takeRequest();
    received.reply->sendFrame("part");
    result->firstFrame.get();
    forwarder.closeConnections();
    const auto end = result->ended.get();
    EXPECT_EQ(codeName(end), "unreachable");
    EXPECT_TRUE(end.mayHaveReachedPeer);
    EXPECT_EQ(result->frames, std::vector<std::string>{"part"});
    EXPECT_TRUE(waitUntil([&] { return received.reply->cancelled(); }));
    EXPECT_EQ(received.reply->sendFrame("more").error().code, error_code::cancelled);
}

// Guards against a peer that continues to work on a request that was cancelled or has timed out.
TEST_F(PeerTest, CancelAndTimeoutResetTheStream)
{
    for (const bool cancel : {true, false}) {
        const auto result = send(address, "/hold", "", cancel ? 10s : 100ms);
        const auto received = handler.takeRequest();
        std::promise<void> notified;
        received.reply->onCancel([&] { notified.set_value(); });
        received.reply->sendFrame("part");
        if (cancel) {
            result->firstFrame.get();
            clientThread.run([&] { client->cancel(result->handle); });
        }
        const auto end = result->ended.get();
        EXPECT_EQ(codeName(end), cancel ? "cancelled" : "deadlineExceeded");
        EXPECT_TRUE(end.mayHaveReachedPeer);
        notified.get_future().get();
        EXPECT_TRUE(received.reply->cancelled());
    }
    EXPECT_EQ(echo(address, "still"), "still");
    EXPECT_EQ(clientThread.run([&] { return client->openStreams(); }), 0U);
    EXPECT_TRUE(waitUntil([&] { return serverThread.run([&] { return server->openStreams(); }) == 0; }));
}

// Guards against reporting mayHaveReachedPeer for requests that were never sent, against a connect for each request to a
// peer that is down, and against a peer that stays unreachable after its restart.
TEST_F(PeerTest, RefusedConnectionIsRetriedWithBackoff)
{
    const auto serverAddress = address;
    stopServer();
    auto end = send(serverAddress, "/echo", "1")->ended.get();
    EXPECT_EQ(codeName(end), "unreachable");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    end = send(serverAddress, "/echo", "2")->ended.get();
    EXPECT_EQ(codeName(end), "unreachable");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    EXPECT_NE(end.failure->message.find("being retried"), std::string::npos);
    startServer(serverAddress);
    EXPECT_TRUE(waitUntil([&] { return echo(serverAddress, "3") == "3"; }));
}

// Guards against reporting mayHaveReachedPeer for requests to a host that does not answer the connect.
TEST_F(PeerTest, ConnectTimeoutReportsPeerNotReached)
{
    clientSettings.connectTimeout = 100ms;
    recreateClient();
    const full_backlog_listener listener;
    const auto shortRequest = send(listener.address(), "/echo", "", 30ms);
    const auto longRequest = send(listener.address(), "/echo", "");
    auto end = shortRequest->ended.get();
    EXPECT_EQ(codeName(end), "deadlineExceeded");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    end = longRequest->ended.get();
    EXPECT_EQ(codeName(end), "unreachable");
    EXPECT_FALSE(end.mayHaveReachedPeer);
}

// Guards against exceeded limits that close the connection or hang the request instead of returning an error, and against
// accepting invalid addresses and paths.
TEST_F(PeerTest, ExceededLimitsReturnErrors)
{
    stopServer();
    serverSettings.maxBodyBytes = 100'000;
    serverSettings.maxFrameBytes = 100'000;
    serverSettings.maxStreams = 2; // Further streams are queued by the client.
    startServer("127.0.0.1:0");
    clientSettings.maxBodyBytes = 1'000'000;
    clientSettings.maxFrameBytes = 1000;
    clientSettings.maxStreams = 3;
    recreateClient();

    auto end = send(address, "/echo", std::string(1'000'001, 'x'))->ended.get();
    EXPECT_EQ(codeName(end), "tooLarge");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    end = send(address, "/echo", std::string(1'000'000, 'x'))->ended.get();
    EXPECT_EQ(codeName(end), "tooLarge");
    EXPECT_TRUE(end.endedByPeer);

    const auto large = send(address, "/frame", "");
    auto received = handler.takeRequest();
    EXPECT_EQ(received.reply->sendFrame(std::string(100'001, 'x')).error().code, error_code::tooLarge);
    EXPECT_TRUE(received.reply->sendFrame(std::string(1001, 'x')).has_value());
    EXPECT_EQ(codeName(large->ended.get()), "tooLarge");

    std::vector<std::shared_ptr<stream_outcome>> open;
    open.reserve(3);
    for (int i = 0; i < 3; ++i) {
        open.push_back(send(address, "/hold", ""));
    }
    end = send(address, "/hold", "")->ended.get();
    EXPECT_EQ(codeName(end), "overloaded");
    EXPECT_FALSE(end.mayHaveReachedPeer);
    for (const auto &result : open) {
        handler.takeRequest().reply->finish();
        EXPECT_EQ(codeName(result->ended.get()), "ok");
    }
    EXPECT_EQ(echo(address, "still"), "still");
    EXPECT_EQ(codeName(send("nowhere", "/echo", "")->ended.get()), "invalidArgument");
    EXPECT_EQ(codeName(send(address, "echo", "")->ended.get()), "invalidArgument");
}

// Guards against a send buffer that grows without bound when a client stops reading. The forwarder, which stops reading,
// stands for the client.
TEST_F(PeerTest, SendFrameFailsWhenClientStopsReading)
{
    tcp_forwarder forwarder(server->port());
    const auto result = send("127.0.0.1:" + std::to_string(forwarder.port()), "/hold", "");
    const auto received = handler.takeRequest();
    forwarder.stopForwarding();
    expected<void> sent;
    int frames = 0;
    for (; frames < 1000 && sent; ++frames) {
        sent = received.reply->sendFrame(std::string(1'000'000, 'x'));
    }
    ASSERT_FALSE(sent.has_value());
    EXPECT_EQ(sent.error().code, error_code::overloaded);
    clientThread.run([&] { client->cancel(result->handle); });
    EXPECT_EQ(codeName(result->ended.get()), "cancelled");
}

// Guards against a graceful shutdown of either side that aborts open streams or accepts new ones.
TEST_F(PeerTest, GracefulShutdownWaitsForOpenStreams)
{
    const auto running = send(address, "/hold", "");
    auto received = handler.takeRequest();
    std::promise<bool> serverDone;
    serverThread.run([&] { server->shutdown(10s, [&](bool complete) { serverDone.set_value(complete); }); });
    // Once the client has received GOAWAY, new requests open a connection, which is refused.
    EXPECT_TRUE(waitUntil([&] {
        const auto end = send(address, "/echo", "")->ended.get();
        return end.failure && !end.mayHaveReachedPeer;
    }));
    received.reply->sendFrame(std::string(3'000'000, 'x'));
    received.reply->finish();
    EXPECT_EQ(codeName(running->ended.get()), "ok");
    EXPECT_EQ(running->frames.at(0).size(), 3'000'000U);
    EXPECT_TRUE(serverDone.get_future().get());

    stopServer();
    startServer("127.0.0.1:0");
    const auto last = send(address, "/hold", "");
    received = handler.takeRequest();
    std::promise<bool> clientDone;
    clientThread.run([&] { client->shutdown(10s, [&](bool complete) { clientDone.set_value(complete); }); });
    EXPECT_EQ(codeName(send(address, "/echo", "")->ended.get()), "draining");
    received.reply->sendFrame("frame");
    received.reply->finish();
    EXPECT_EQ(codeName(last->ended.get()), "ok");
    EXPECT_TRUE(clientDone.get_future().get());
    EXPECT_TRUE(waitUntil([&] { return serverThread.run([&] { return server->connections(); }) == 0; }));
}

// Guards against a shutdown that waits for a stream without limit.
TEST_F(PeerTest, ShutdownEndsAtItsTimeout)
{
    const auto running = send(address, "/hold", "");
    const auto received = handler.takeRequest();
    std::promise<bool> serverDone;
    serverThread.run([&] { server->shutdown(50ms, [&](bool complete) { serverDone.set_value(complete); }); });
    EXPECT_FALSE(serverDone.get_future().get());
    EXPECT_EQ(codeName(running->ended.get()), "unreachable");
    EXPECT_TRUE(received.reply->cancelled());

    stopServer();
    startServer("127.0.0.1:0");
    const auto last = send(address, "/hold", "");
    const auto pending = handler.takeRequest();
    std::promise<bool> clientDone;
    clientThread.run([&] { client->shutdown(50ms, [&](bool complete) { clientDone.set_value(complete); }); });
    EXPECT_FALSE(clientDone.get_future().get());
    EXPECT_EQ(codeName(last->ended.get()), "cancelled");
}

// Guards against a client or server that fails or hangs because the remote side does not use HTTP/2.
TEST_F(PeerTest, OtherProtocolsAreRejected)
{
    exchangeBytes(server->port(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    exchangeBytes(server->port(), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(100, '\xff'));
    EXPECT_EQ(echo(address, "fine"), "fine");
    scripted_http_server http1Server([](const std::string &) {
        return scripted_http_server::action{"HTTP/1.1 400 Bad Request\r\n\r\n", true};
    });
    EXPECT_EQ(codeName(send(http1Server.address(), "/echo", "")->ended.get()), "protocolError");
}

// Guards against a second process that starts on the same port without an error, and against a conflict between servers that
// share a port by reusePort.
TEST_F(PeerTest, PortInUseIsReportedUnlessShared)
{
    serverSettings.address = address;
    const auto result = serverThread.run([&] {
        const auto second = peer_server::create(serverThread.context(), serverSettings, handler);
        return second ? error{} : second.error();
    });
    EXPECT_EQ(result.code, error_code::conflict);
    EXPECT_EQ(result.step, "listen for peers");
    EXPECT_EQ(result.peer, address);

    // Servers of several threads can share a port when all of them set reusePort.
    serverSettings.reusePort = true;
    serverSettings.address = "127.0.0.1:0";
    const auto shared = serverThread.run([&] {
        auto first = peer_server::create(serverThread.context(), serverSettings, handler).value();
        serverSettings.address = "127.0.0.1:" + std::to_string(first->port());
        return peer_server::create(serverThread.context(), serverSettings, handler).has_value();
    });
    EXPECT_TRUE(shared);
}

// Guards against use after free when a client is destroyed in one of its callbacks, or a server while a reply is open.
TEST_F(PeerTest, ClientAndServerAreDestroyedWithOpenStreams)
{
    std::promise<void> destroyed;
    clientThread.run([&] {
        for (int i = 0; i < 3; ++i) {
            client->send(address, "/echo", "x", 10s, {}, [&](const peer_stream_end &) {
                client.reset();
                destroyed.set_value();
            });
        }
    });
    destroyed.get_future().get();
    recreateClient();
    EXPECT_EQ(echo(address, "again"), "again");
    const auto result = send(address, "/hold", "");
    const auto received = handler.takeRequest();
    stopServer();
    EXPECT_EQ(codeName(result->ended.get()), "unreachable");
    EXPECT_TRUE(received.reply->cancelled());
    EXPECT_FALSE(received.reply->sendFrame("late").has_value());
}
