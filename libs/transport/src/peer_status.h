#pragma once

#include <base/error.h>

#include <optional>
#include <string>
#include <string_view>

namespace orioledrum
{

/// Names of the trailers that end a reply of a peer.
inline constexpr std::string_view statusTrailer = "od-status";
inline constexpr std::string_view messageTrailer = "od-message";
inline constexpr std::string_view stepTrailer = "od-step";
inline constexpr std::string_view peerTrailer = "od-peer";
inline constexpr std::string_view statusOk = "ok";

/// @param name Text form of a code.
/// @return The code, or nothing when the name is unknown.
std::optional<error_code> parseErrorCode(std::string_view name);

/// @param text Any bytes.
/// @return Printable ASCII, with the other bytes and '%' as %XX.
std::string percentEncode(std::string_view text);

/// @param text Result of percentEncode(); a malformed escape is kept as it is.
/// @return The original bytes.
std::string percentDecode(std::string_view text);

} // namespace orioledrum
