#pragma once

#include <base/error.h>

#include <string>
#include <string_view>

namespace orioledrum
{

/// Encodes a message for a peer. Defined for every struct of the message headers.
/// @param message The message.
/// @return Its MessagePack form.
template<typename Message>
std::string encode(const Message &message);

/// Decodes a message from a peer.
/// @param bytes Exactly one MessagePack value.
/// @return The message, or a protocolError when the bytes are no such message.
template<typename Message>
expected<Message> decode(std::string_view bytes);

} // namespace orioledrum
