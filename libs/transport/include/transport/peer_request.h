#pragma once

#include <string>

namespace orioledrum
{

/// A complete request that a peer sent to a peer_server.
struct peer_request {
    std::string path; ///< For example "/search".
    std::string body;
    std::string remote; ///< "address:port" of the peer's end of the connection.
};

} // namespace orioledrum
