#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace orioledrum
{

/// Settings of an http_server.
struct http_server_settings {
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< 0: the system chooses a free port.
    std::size_t threads = 1; ///< Threads that read requests and call the handler.
    std::size_t maxBodyBytes = std::size_t{1024} * 1024; ///< A larger body is answered with 413.
    std::size_t maxConnections = 10'000; ///< Further ones are closed at once. At most half of the process's descriptor limit.
    std::chrono::milliseconds idleTimeout{60'000}; ///< A connection is closed when no complete request arrives for so long.
    std::chrono::milliseconds handleTimeout{60'000}; ///< A request without an answer is cut after this time.
    std::chrono::milliseconds drainIdle{200}; ///< stop() keeps connections without a request open for at most this long.
};

} // namespace orioledrum
