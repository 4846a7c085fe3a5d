#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// One header field of an HTTP message.
struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// @return True when two field names are equal, ignoring case.
bool sameFieldName(std::string_view a, std::string_view b);

/// @return True for a token of RFC 9110, the syntax of methods and field names.
bool isToken(std::string_view text);

/// @return True when an http_client can send the field: its name is a token, and its value has no line end and no NUL.
bool isValidRequestField(const http_header &header);

/// @param headers Header fields to search.
/// @param name Field name; case is ignored.
/// @return The value of the first field with that name, or an empty view. Valid only as long as `headers`, because the view refers to it.
std::string_view headerValue(const http_headers &headers, std::string_view name);

} // namespace orioledrum
