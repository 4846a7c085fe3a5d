#pragma once

#include <cstdint>

namespace orioledrum
{

/// Traffic of this process with other entry hosts, on the connections that it accepted and on those that it opened.
struct peer_traffic {
    std::uint64_t bytesSent = 0; ///< Passed to sockets for writing, without TCP and IP headers.
    std::uint64_t bytesReceived = 0;
    std::uint64_t requestsSent = 0; ///< Counted when the request is passed to the HTTP/2 session.
    std::uint64_t requestsReceived = 0; ///< Counted when the request headers begin to arrive.
    std::uint64_t connections = 0; ///< Number of currently open connections; not a total.
};

/// Thread-safe.
/// @return Totals since the process started, and the current number of connections.
[[nodiscard]] peer_traffic readPeerTraffic();

} // namespace orioledrum
