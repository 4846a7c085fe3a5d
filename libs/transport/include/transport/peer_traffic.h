#pragma once

#include <cstdint>

namespace orioledrum
{

/// Traffic of this process on connections between entry hosts, both accepted and opened ones.
struct peer_traffic {
    std::uint64_t bytesSent = 0; ///< Written to sockets, without TCP and IP headers.
    std::uint64_t bytesReceived = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsReceived = 0;
    std::uint64_t connections = 0; ///< Currently open.
};

/// Thread-safe.
/// @return Totals since the process started.
[[nodiscard]] peer_traffic readPeerTraffic();

} // namespace orioledrum
