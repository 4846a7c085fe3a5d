#pragma once

#include <transport/http_header.h>

#include <string>

namespace orioledrum
{

/// A complete request that an http_server received.
struct http_request {
    std::string method; ///< "GET", "POST", "PUT", ...
    std::string path; ///< Request target without the query, not percent-decoded, for example "/v1/search".
    std::string query; ///< Part of the request target after '?'; empty when there is none.
    std::string target; ///< Complete request target as received.
    http_headers headers;
    std::string body;
    std::string remoteAddress; ///< "address:port" of the client.
};

} // namespace orioledrum
