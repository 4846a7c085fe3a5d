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

    /// Opens a connection for this call only and closes it afterwards. Set this for requests that must not run twice:
    /// libcurl resends a request on a new connection when a reused connection is lost before the reply.
    bool freshConnection = false;

    /// Never writes the request twice. Where libcurl would resend it, the call fails with mayHaveBeenSent = true. Unlike with
    /// freshConnection, the call may use an idle connection, and its connection may be reused.
    bool sendOnce = false;

    /// Connections that have been idle for longer are not reused. In seconds, because libcurl accepts nothing finer.
    std::chrono::seconds maxIdleTime{118};

    /// True: cancel() closes the connection. False: cancel() reports the cancellation at once, but a request that may
    /// have been written continues in the background until its reply or timeout, so that the connection can be reused.
    bool closeOnCancel = true;

    /// Called each time immediately before libcurl writes the request; again before a resend, unless sendOnce prevents the
    /// resend. If it returns false, the call fails with the code `cancelled`. Empty: the request is always sent. It must not
    /// call the client.
    std::function<bool()> beforeSend;
};

} // namespace orioledrum
