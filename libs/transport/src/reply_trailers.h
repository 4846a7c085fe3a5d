#pragma once

#include <base/error.h>

#include <optional>
#include <string>
#include <string_view>

namespace orioledrum
{

/// Names of the trailers that end a reply. The status is `ok` or an error code; the others hold the percent-encoded parts of
/// the error.
inline constexpr std::string_view statusTrailer = "od-status";
inline constexpr std::string_view messageTrailer = "od-message";
inline constexpr std::string_view stepTrailer = "od-step";
inline constexpr std::string_view peerTrailer = "od-peer";
inline constexpr std::string_view statusOk = "ok";

/// @param name Text form of an error code, as toString() returns it.
/// @return The code, or std::nullopt when the name is unknown.
std::optional<error_code> parseErrorCode(std::string_view name);

/// @param text Any bytes.
/// @return Printable ASCII; all other bytes, space and '%' are written as %XX.
std::string percentEncode(std::string_view text);

/// @param text Result of percentEncode(); malformed escapes are copied unchanged.
/// @return The original bytes.
std::string percentDecode(std::string_view text);

} // namespace orioledrum
