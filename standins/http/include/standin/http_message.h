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

/// A complete request as parsed from a connection.
struct http_request {
    std::string method;
    std::string path; ///< Target without the query part.
    std::map<std::string, std::string> query;
    std::vector<std::pair<std::string, std::string>> headers; ///< Names in lower case.
    std::string body;

    /// @param name Header name in lower case.
    /// @return The value, or an empty text when the header is absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /// @param name Query parameter or, for headerNumber, header in lower case.
    /// @return The number; nothing when absent or not a decimal number.
    [[nodiscard]] std::optional<std::int64_t> queryNumber(const std::string &name) const;
    [[nodiscard]] std::optional<std::int64_t> headerNumber(std::string_view name) const;
};

/// An answer; Content-Length and Connection are added when it is written.
struct http_response {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< JSON text.
};

/// @return An answer with the body {"error":{"code","message"}}.
http_response errorResponse(int status, std::string_view code, std::string_view message);

} // namespace orioledrum::standin
