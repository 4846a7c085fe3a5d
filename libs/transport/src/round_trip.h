#pragma once

#include <chrono>
#include <optional>

namespace orioledrum
{

/// @param descriptor A connected TCP socket.
/// @return The smoothed round trip time to the other end, as the kernel measures it; nothing when it has not measured any.
std::optional<std::chrono::microseconds> smoothedRoundTrip(int descriptor);

} // namespace orioledrum
