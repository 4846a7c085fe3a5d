#pragma once

#include <transport/http_call.h>

#include <chrono>
#include <string>

namespace orioledrum
{

/// @param address "ip:port" of another entry host.
/// @param path HTTP path of the message type.
/// @param message An encoded message.
/// @param timeout Maximum time until the answer is complete.
/// @return A call that posts the message to the host.
http_call makeHostCall(const std::string &address, const std::string &path, std::string message, std::chrono::milliseconds timeout);

} // namespace orioledrum
