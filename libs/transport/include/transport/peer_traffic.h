#pragma once

#include <cstdint>

namespace orioledrum
{

/// Totals of the connections between entry hosts of this process, both accepted and opened ones.
struct peer_traffic {
    std::uint64_t bytesSent = 0; ///< Handed to the sockets; TCP and IP headers are not included.
    std::uint64_t bytesReceived = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsReceived = 0;
    std::uint64_t connections = 0; ///< Open at present.
};

/// Thread-safe. @return The totals since the start of the process.
[[nodiscard]] peer_traffic readPeerTraffic();

} // namespace orioledrum
