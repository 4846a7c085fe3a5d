#pragma once

#include <string>

namespace orioledrum
{

/// A completely received request of a peer.
struct peer_request {
    std::string path; ///< For example "/search".
    std::string body;
    std::string remoteAddress; ///< "address:port" of the client's end of the connection; the port is not the one that the peer listens on.
};

} // namespace orioledrum
