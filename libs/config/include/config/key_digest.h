#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace orioledrum
{

/// SHA-256 digest of an organisation's key. Hosts keep and exchange digests only, so that neither a log, a status page nor a message
/// between hosts contains a key. Comparing digests takes a time that does not depend on how much of a key was guessed.
class key_digest
{
public:
    static constexpr std::size_t byteCount = 32;

    /// @return The digest of a key.
    [[nodiscard]] static key_digest of(std::string_view key);

    /// @param text 64 hexadecimal digits in lower case, as hex() gives them.
    /// @return The digest, or nothing when the text is not one.
    [[nodiscard]] static std::optional<key_digest> fromHex(std::string_view text);

    /// @return The digest as 64 hexadecimal digits in lower case.
    [[nodiscard]] std::string hex() const;

    bool operator==(const key_digest &) const = default;

private:
    friend struct std::hash<key_digest>;

    std::array<std::uint8_t, byteCount> m_bytes{};
};

} // namespace orioledrum

template<>
struct std::hash<orioledrum::key_digest> {
    std::size_t operator()(const orioledrum::key_digest &digest) const noexcept
    {
        std::size_t value = 0; // The bytes of a digest are uniformly distributed; the first ones serve as the hash.
        std::memcpy(&value, digest.m_bytes.data(), sizeof(value));
        return value;
    }
};
