#pragma once

#include <transport/http_header.h>

#include <chrono>
#include <functional>
#include <string>

namespace orioledrum
{

/// A request that an http_client sends.
struct http_call {
    std::string method = "GET";
    std::string url; ///< "http://address:port/path".
    std::string target; ///< Request target that is sent unchanged in place of the path of `url`; empty: that path.
    http_headers headers;
    std::string body;
    bool defaultContentType = true; ///< Sends a body as application/json when `headers` has no Content-Type.
    std::chrono::milliseconds timeout{1000}; ///< From send() to the complete reply, including connecting.

    /// Uses a new connection that no other call uses. Set it for requests that must not run twice: libcurl resends
    /// a request on a new connection when a reused connection dies before the answer.
    bool freshConnection = false;

    /// Never writes the request a second time: where libcurl would resend it, the call fails as possibly sent.
    bool sendOnce = false;

    /// Connections that have been idle for longer are not reused. libcurl counts whole seconds.
    std::chrono::seconds maxIdle{118};

    /// True: cancel() closes the connection. False: cancel() reports at once, but the call goes on unseen until its
    /// reply or timeout, so that the connection can be reused.
    bool closeOnCancel = true;

    /// Called immediately before the request is written, once for each attempt of libcurl; false stops the call
    /// with the code `cancelled`. Empty: always send. It must not use the client.
    std::function<bool()> beforeSend;
};

} // namespace orioledrum
