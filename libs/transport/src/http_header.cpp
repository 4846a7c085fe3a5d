#include <transport/http_header.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

char toLowerAscii(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool sameFieldName(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLowerAscii(x) == toLowerAscii(y); });
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}

bool isValidRequestField(const http_header &header)
{
    return isToken(header.name) && header.value.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos;
}

std::string_view headerValue(const http_headers &headers, std::string_view name)
{
    const auto found =
        std::find_if(headers.begin(), headers.end(), [&](const http_header &header) { return sameFieldName(header.name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view(found->value);
}

} // namespace orioledrum
