#include <config/key_digest.h>

#include <openssl/sha.h>

#include <charconv>

namespace orioledrum
{

key_digest key_digest::of(std::string_view key)
{
    static_assert(byteCount == SHA256_DIGEST_LENGTH);
    key_digest result;
    ::SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), result.m_bytes.data());
    return result;
}

std::optional<key_digest> key_digest::fromHex(std::string_view text)
{
    if (text.size() != 2 * byteCount || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    key_digest result;
    for (std::size_t i = 0; i < byteCount; ++i) {
        std::from_chars(text.data() + 2 * i, text.data() + 2 * i + 2, result.m_bytes[i], 16);
    }
    return result;
}

std::string key_digest::hex() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * byteCount);
    for (const auto byte : m_bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace orioledrum
