#pragma once

#include <asio/posix/stream_descriptor.hpp>

#include <string>

namespace orioledrum
{

/// A socket of libcurl and what libcurl waits for on it. Only libcurl, or its close callback, closes the descriptor.
struct curl_socket {
    explicit curl_socket(asio::io_context &context)
        : descriptor(context)
    {
    }

    asio::posix::stream_descriptor descriptor;
    std::string address; ///< "address:port" of the server.
    bool owned = true; ///< False for a descriptor that libcurl opened itself.
    bool connected = false; ///< A request was about to be written to it.
    bool wantRead = false;
    bool wantWrite = false;
    bool readPending = false;
    bool writePending = false;
    bool retired = false; ///< Closed by the server, or by closeIdleConnections(); libcurl will not use it again.
    bool closed = false;
};

} // namespace orioledrum
