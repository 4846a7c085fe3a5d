#pragma once

#include <transport/http_header.h>

#include <string>

namespace orioledrum
{

/// A complete request that a client sent to an http_server.
struct http_request {
    std::string method; ///< "GET", "POST", "PUT", ...
    std::string path; ///< Target up to the query, not decoded, for example "/v1/search".
    std::string query; ///< Text after '?', without it; empty when there is none.
    std::string target; ///< Path and query as they were sent.
    http_headers headers;
    std::string body;
    std::string remote; ///< "address:port" of the client.
};

} // namespace orioledrum
