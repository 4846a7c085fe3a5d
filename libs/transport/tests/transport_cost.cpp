// Measures the processor time of one http_client call and of one peer stream. The client runs on the benchmark's thread,
// so the column "CPU" is the time of the client; the server runs on another thread, whose time per call or stream is in
// the counter "serverUs".

#include <transport/http_client.h>
#include <transport/peer_client.h>
#include <transport/peer_handler.h>
#include <transport/peer_reply.h>
#include <transport/peer_server.h>

#include <fakes/context_thread.h>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <benchmark/benchmark.h>

#include <array>
#include <ctime>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t requestBytes = 300;
constexpr std::size_t replyBytes = 200;

/// @return Processor time of the calling thread.
double threadCpuMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

/// One HTTP/1.1 connection of a server that answers every request with the same bytes.
class fixed_reply_connection : public std::enable_shared_from_this<fixed_reply_connection>
{
public:
    explicit fixed_reply_connection(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
        m_socket.set_option(asio::ip::tcp::no_delay(true));
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &code, std::size_t size) {
            if (code) {
                return;
            }
            self->m_input.append(self->m_buffer.data(), size);
            const auto headerEnd = self->m_input.find("\r\n\r\n");
            if (headerEnd == std::string::npos || self->m_input.size() < headerEnd + 4 + requestBytes) {
                self->read();
                return;
            }
            self->m_input.clear();
            asio::async_write(self->m_socket, asio::buffer(reply()), [self](const asio::error_code &failure, std::size_t) {
                if (!failure) {
                    self->read();
                }
            });
        });
    }

private:
    static const std::string &reply()
    {
        static const std::string response = "HTTP/1.1 200 OK\r\nX-State: warm\r\nX-Instance: 1\r\nX-Load: 1/2\r\nContent-Length: "
            + std::to_string(replyBytes) + "\r\n\r\n" + std::string(replyBytes, 'r');
        return response;
    }

    asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
    std::string m_input;
};

void accept(asio::ip::tcp::acceptor &acceptor)
{
    acceptor.async_accept([&acceptor](const asio::error_code &code, asio::ip::tcp::socket socket) {
        if (!code) {
            std::make_shared<fixed_reply_connection>(std::move(socket))->read();
            accept(acceptor);
        }
    });
}

void httpCall(benchmark::State &state)
{
    context_thread server;
    asio::ip::tcp::acceptor acceptor(server.context(), {asio::ip::address_v4::loopback(), 0});
    server.run([&] { accept(acceptor); });
    asio::io_context context;
    const auto client = http_client::create(context, {}).value();
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/search";
    call.headers = {{"X-Request-Id", "0123456789abcdef"}, {"X-Deadline-Ms", "79"}};
    call.body.assign(requestBytes, 'q');
    call.timeout = 30s;
    std::size_t done = 0;
    std::size_t failed = 0;
    const std::function<void()> sendNext = [&] {
        client->send(call, [&](const http_client::result &result) {
            ++done;
            failed += result.has_value() ? 0 : 1;
            sendNext();
        });
    };
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        sendNext();
    }
    // Warm-up before the measurement: opens the connections.
    while (done < static_cast<std::size_t>(state.range(0)) * 10) {
        context.run_one();
    }
    const double serverBegin = server.run(threadCpuMicroseconds);
    std::size_t targetCount = done;
    for ([[maybe_unused]] auto iteration : state) {
        ++targetCount;
        while (done < targetCount) {
            context.run_one();
        }
    }
    state.counters["serverUs"] = (server.run(threadCpuMicroseconds) - serverBegin) / static_cast<double>(state.iterations());
    state.counters["connections"] = static_cast<double>(client->connections());
    state.counters["failed"] = static_cast<double>(failed);
    server.run([&] { acceptor.close(); });
}

class fixed_reply_handler : public peer_handler
{
public:
    void onRequest(peer_request, std::shared_ptr<peer_reply> reply) override
    {
        reply->sendFrame(std::string(replyBytes, 'r'));
        reply->finish();
    }
};

void peerStream(benchmark::State &state)
{
    context_thread thread;
    fixed_reply_handler handler;
    std::unique_ptr<peer_server> server = thread.run([&] { return peer_server::create(thread.context(), {}, handler).value(); });
    asio::io_context context;
    const auto client = peer_client::create(context, {}).value();
    const std::string address = "127.0.0.1:" + std::to_string(server->port());
    std::size_t done = 0;
    std::size_t failed = 0;
    const std::function<void()> sendNext = [&] {
        client->send(
            address,
            "/search",
            std::string(requestBytes, 'q'),
            30s,
            [](std::string_view) {},
            [&](const peer_stream_end &end) {
                ++done;
                failed += end.failure ? 1 : 0;
                sendNext();
            });
    };
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        sendNext();
    }
    while (done < static_cast<std::size_t>(state.range(0)) * 10) {
        context.run_one();
    }
    const double serverBegin = thread.run(threadCpuMicroseconds);
    std::size_t targetCount = done;
    for ([[maybe_unused]] auto iteration : state) {
        ++targetCount;
        while (done < targetCount) {
            context.run_one();
        }
    }
    state.counters["serverUs"] = (thread.run(threadCpuMicroseconds) - serverBegin) / static_cast<double>(state.iterations());
    state.counters["connections"] = static_cast<double>(client->connections());
    state.counters["failed"] = static_cast<double>(failed);
    thread.run([&] { server.reset(); });
}

} // namespace

// The argument is the number of concurrent calls or streams.
BENCHMARK(httpCall)->Arg(16)->Arg(64)->Arg(460)->Unit(benchmark::kMicrosecond);
BENCHMARK(peerStream)->Arg(16)->Arg(64)->Arg(460)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
