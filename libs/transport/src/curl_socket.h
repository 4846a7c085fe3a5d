#pragma once

#include <asio/posix/stream_descriptor.hpp>

#include <string>

namespace orioledrum
{

/// A socket that libcurl uses, and the events that libcurl waits for on it. Only libcurl and the close callback that
/// http_client gives to libcurl close the descriptor.
struct curl_socket {
    explicit curl_socket(asio::io_context &context)
        : descriptor(context)
    {
    }

    asio::posix::stream_descriptor descriptor;
    std::string address; ///< "address:port" of the server.
    bool openedByClient = true; ///< False for a descriptor that libcurl opened for its internal use.
    bool connected = false; ///< Connecting has succeeded; set when libcurl is about to write a request.
    bool wantRead = false; ///< libcurl waits until the socket is readable.
    bool wantWrite = false; ///< libcurl waits until the socket is writable.
    bool readPending = false; ///< An asynchronous wait for reading is running.
    bool writePending = false; ///< An asynchronous wait for writing is running.
    bool retired = false; ///< Shut down after a close by the server or by closeIdleConnections(); libcurl will not reuse it.
    bool closed = false; ///< The descriptor was closed or released and must not be used any more.
};

} // namespace orioledrum
