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

/// @param headers Header fields to search.
/// @param name Field name; case is ignored.
/// @return The value of the first field with that name, or an empty view. Valid only as long as `headers`, because the view refers to it.
std::string_view headerValue(const http_headers &headers, std::string_view name);

} // namespace orioledrum
