#pragma once

#include <base/error.h>

#include <string>
#include <string_view>

namespace orioledrum
{

/// Encodes a message for a peer. Defined for the top-level messages, which are listed at the end of codec.cpp.
/// @return The message as one MessagePack value.
template<typename Message>
std::string encode(const Message &message);

/// Decodes a message from a peer. Defined for the same messages as encode.
/// @param bytes Exactly one MessagePack value.
/// @return The message, or a protocolError when the bytes are not a valid message of this type.
template<typename Message>
expected<Message> decode(std::string_view bytes);

} // namespace orioledrum
