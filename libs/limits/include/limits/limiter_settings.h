#pragma once

#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// What one backend server can bear, as declared by the operators.
struct limiter_settings {
    std::uint32_t slots = 1; ///< Calls at the same time while warm.
    std::uint32_t coldSlots = 1; ///< Calls at the same time while cold, at most slots.
    std::uint32_t connections = 1; ///< Open connections, at least slots.
    std::chrono::microseconds connectionCost{0}; ///< What each new connection costs the backend server.
    std::chrono::microseconds rampTime{0}; ///< Time from coldSlots to full speed.
    std::uint32_t maxQueued = 4096; ///< Bound of the queue; admit refuses above it.
};

} // namespace orioledrum
