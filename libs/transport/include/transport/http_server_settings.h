#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
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
    std::size_t maxBodyBytes = std::size_t{1024} * 1024; ///< A request with a larger body is answered with status 413.
    /// Limit for all servers on the same io_context together; further connections are closed at once. Capped at half of the
    /// process's descriptor limit.
    std::size_t maxConnections = 10'000;
    /// A request whose request line and header fields are larger is answered with status 400. The parser has one limit for the process, so
    /// the greatest value of all servers holds for all of them.
    std::size_t maxHeadBytes = std::size_t{16} * 1024;
    /// A connection is closed when no complete request arrives within this time; nullopt: no limit.
    std::optional<std::chrono::milliseconds> idleTimeout{60'000};
    /// A connection is closed when its client has not taken a whole response within this time; nullopt: no limit.
    std::optional<std::chrono::milliseconds> writeTimeout{60'000};
    std::chrono::milliseconds drainIdleTimeout{200}; ///< stop() keeps connections without a request open for at most this long.
};

} // namespace orioledrum
