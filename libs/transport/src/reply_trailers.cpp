#include <reply_trailers.h>

#include <charconv>

namespace orioledrum
{

std::optional<error_code> parseErrorCode(std::string_view name)
{
    for (int i = 0; i <= static_cast<int>(error_code::internal); ++i) {
        const auto code = static_cast<error_code>(i);
        if (toString(code) == name) {
            return code;
        }
    }
    return std::nullopt;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte > 0x20 && byte < 0x7f && c != '%') {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 0xfU];
        }
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace orioledrum
