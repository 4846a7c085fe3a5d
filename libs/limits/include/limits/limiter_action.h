#pragma once

#include <base/error_code.h>
#include <base/monotonic_clock.h>

#include <cstdint>

namespace orioledrum
{

/// Number that the owner gives to a call; unique within one limiter.
using call_number = std::uint64_t;

/// What the owner has to do with a call.
enum class limiter_action_kind : std::uint8_t {
    start, ///< Send it now.
    drop, ///< Answer it as refused with `code`; nothing was sent.
};

/// Work that a backend_limiter hands to its owner.
struct limiter_action {
    limiter_action_kind kind = limiter_action_kind::drop;
    call_number call = 0;
    error_code code = error_code::internal; ///< With drop: deadlineExceeded, overloaded, draining, unreachable or notOwner.
    time_point deadline; ///< With start: the deadline to send to the backend server; at most 2 s away.
    bool newConnection = false; ///< With start: open a connection; otherwise reuse an idle one.
    bool closeIdle = false; ///< With start: close one idle connection first, so that the new one is within the limit.
};

} // namespace orioledrum
