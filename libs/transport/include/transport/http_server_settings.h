#pragma once

#include <transport/http_response.h>
#include <transport/request_limits.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace orioledrum
{

/// Address, timeouts and limits of an http_server. There is no limit on the time in which the handler answers: only the handler knows how
/// long its caller waits. A request whose exchange is dropped is answered with status 500.
struct http_server_settings {
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< 0: the system chooses a free port.
    std::size_t threads = 1; ///< Threads that read requests and call the handler; at least 1 for http_server::create().
    /// A request with a larger body is answered with status 413 and not read to its end; the connection closes.
    std::size_t maxBodyBytes = std::size_t{1024} * 1024;
    /// Limit for all servers on the same io_context together; further connections are closed at once. Capped at half of the
    /// process's descriptor limit.
    std::size_t maxConnections = 10'000;
    /// A request whose target and header fields are larger is answered with status 431 and not read to its end; the connection closes.
    std::size_t maxHeadBytes = std::size_t{16} * 1024;
    /// Limits that may change while the server runs; called on the server's threads when a request begins to arrive. Values above
    /// maxHeadBytes and maxBodyBytes have no effect. Empty: these hold.
    std::function<request_limits()> requestLimits;
    /// Makes the response to a request that is refused before it is complete: 413, 431, or 503 when there is no memory for it. Called on
    /// the server's threads. Empty: a JSON error.
    std::function<http_response(int status)> refuse;
    /// Bytes that the clients of all servers on the same io_context together may make the process hold: connections, requests, responses
    /// not yet taken. Above it, the slowest clients are closed; from half of it on, no new request of more than 32 KiB is read. The
    /// greatest value of all servers holds; 0 in all: no limit.
    std::size_t memoryBudget = 0;
    /// Size of the send and receive buffers of each connection in the kernel; 0: the system's.
    int socketBufferBytes = 0;
    /// A connection is closed when no complete request arrives within this time; nullopt: no limit.
    std::optional<std::chrono::milliseconds> idleTimeout{60'000};
    /// A connection is closed when its client has not taken a whole response within this time; nullopt: no limit.
    std::optional<std::chrono::milliseconds> writeTimeout{60'000};
    std::chrono::milliseconds drainIdleTimeout{200}; ///< stop() keeps connections without a request open for at most this long.
};

} // namespace orioledrum
