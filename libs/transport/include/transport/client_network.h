#pragma once

#include <chrono>
#include <optional>

namespace orioledrum
{

/// What an http_server knows about the network between it and a client.
struct client_network {
    /// Smallest round trip time that the kernel has reported at the requests of this connection; nothing when none is known.
    std::optional<std::chrono::microseconds> roundTrip;
    bool connectionReused = false; ///< The client has sent an earlier request on the connection.
};

} // namespace orioledrum
