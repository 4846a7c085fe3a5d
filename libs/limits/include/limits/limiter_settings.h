#pragma once

#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// Limits of one backend server, as configured by the operators.
struct limiter_settings {
    std::uint32_t slots = 1; ///< Maximum number of concurrent calls while warm.
    std::uint32_t coldSlots = 1; ///< Maximum number of concurrent calls while cold, at most slots.
    std::uint32_t connections = 1; ///< Maximum number of open connections, at least slots.
    std::chrono::microseconds connectionCost{0}; ///< Time that each new connection costs the backend server.
    std::chrono::microseconds rampTime{0}; ///< On the ramp to slots, the limit doubles at most once per quarter of this time.
    std::uint32_t maxQueued = 4096; ///< Maximum queue length. When the queue is full, admit refuses or drops calls.
};

} // namespace orioledrum
