#pragma once

#include <transport/http_header.h>

#include <chrono>
#include <functional>
#include <string>

namespace orioledrum
{

/// A request to be sent by an http_client.
struct http_call {
    std::string method = "GET";
    std::string url; ///< "http://address:port/path".
    std::string target; ///< Request target, sent unchanged instead of the path of `url`. Empty: the path of `url` is sent.
    http_headers headers;
    std::string body;
    /// True: a request with a body is sent with "Content-Type: application/json" when `headers` has no Content-Type; false: without
    /// Content-Type. POST, PUT and PATCH always count as requests with a body.
    bool defaultContentType = true;
    /// Time from send() to the complete reply, including connecting. A call that takes longer fails with deadlineExceeded.
    std::chrono::milliseconds timeout{1000};

    /// Opens a connection for this call only and closes it afterwards. A server may close an idle connection at the moment at which a
    /// request is written to it, and the request then counts as possibly run; a fresh connection avoids that.
    bool freshConnection = false;

    /// Connections that have been idle for longer are not reused. In seconds, because libcurl accepts nothing finer.
    std::chrono::seconds maxIdleTime{118};

    /// True: cancel() closes the connection. False: cancel() reports the cancellation at once, but a request that may
    /// have been written continues in the background until its reply or timeout, so that the connection can be reused.
    bool closeOnCancel = true;

    /// Called once, immediately before the request is written. If it returns false, the call fails with the code `cancelled`. Empty: the
    /// request is always sent. It must not call the client.
    std::function<bool()> beforeSend;
};

} // namespace orioledrum
