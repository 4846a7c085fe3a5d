#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioledrum::standin
{

/// A complete HTTP request.
struct http_request {
    std::string method;
    std::string path; ///< Request target without the query string, not percent-decoded.
    /// Percent-decoded parameters. Of parameters with the same name, the last is kept; those without "=" are left out.
    std::map<std::string, std::string> query;
    std::vector<std::pair<std::string, std::string>> headers; ///< Names in lower case.
    std::string body;

    /// @param name Header name in lower case.
    /// @return The first value, or an empty string when the header is absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /// @return The value of a query parameter, or std::nullopt when it is absent or not a decimal integer.
    [[nodiscard]] std::optional<std::int64_t> queryNumber(const std::string &name) const;

    /// @param name Header name in lower case.
    /// @return The value of a header, or std::nullopt when it is absent or not a decimal integer.
    [[nodiscard]] std::optional<std::int64_t> headerNumber(std::string_view name) const;
};

/// An HTTP response. http_connection adds Content-Type and Content-Length, and "Connection: close" if it will close the connection
/// after the pending responses. A response with status 304 is written without Content-Type, Content-Length and body.
struct http_response {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< JSON text.
};

/// @return A response with the JSON body {"error":{"code","message"}}.
/// @throws nlohmann::json::type_error when code or message is not valid UTF-8.
http_response errorResponse(int status, std::string_view code, std::string_view message);

} // namespace orioledrum::standin
