#pragma once

#include <base/error.h>
#include <transport/http_header.h>

#include <cstdint>
#include <optional>
#include <string>

namespace orioledrum
{

/// Response of an http_server to an http_request.
struct http_response {
    int status = 200; ///< 200 to 599.
    std::string contentType = "application/json"; ///< Empty: no Content-Type is sent.
    http_headers headers; ///< Additional header fields. The server sets Content-Type, Content-Length and Connection.
    std::string body;
    /// Content-Length of the response to HEAD, which has no body; empty: the size of the body.
    std::optional<std::uint64_t> headLength{};
};

/// @param status HTTP status code.
/// @param failure Error that the body describes.
/// @return A response with the body {"error":{"code","message","step","peer"}}.
http_response errorResponse(int status, const error &failure);

} // namespace orioledrum
