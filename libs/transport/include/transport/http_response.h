#pragma once

#include <base/error.h>
#include <transport/http_header.h>

#include <string>

namespace orioledrum
{

/// Answer to an http_request.
struct http_response {
    int status = 200;
    std::string contentType = "application/json";
    http_headers headers; ///< Further header fields. Content-Type, Content-Length and Connection are set by the server.
    std::string body;
};

/// @param status HTTP status code.
/// @param failure What failed.
/// @return A response with the body {"error":{"code","message","step","peer"}}.
http_response errorResponse(int status, const error &failure);

} // namespace orioledrum
