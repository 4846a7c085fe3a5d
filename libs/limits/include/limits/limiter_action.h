#pragma once

#include <base/error_code.h>
#include <base/monotonic_clock.h>

#include <cstdint>

namespace orioledrum
{

/// Number that the owner assigns to a call; unique within one limiter.
using call_number = std::uint64_t;

/// What the owner must do with a call.
enum class limiter_action_kind : std::uint8_t {
    start, ///< Send the call now.
    drop, ///< Answer the call as refused with `code`; nothing was sent to the backend server.
};

/// Action that the owner executes for its backend_limiter.
struct limiter_action {
    limiter_action_kind kind = limiter_action_kind::drop;
    call_number call = 0;
    error_code code = error_code::internal; ///< With drop: deadlineExceeded, overloaded, draining, unreachable or notOwner.
    time_point deadline; ///< With start: the deadline to send with the call, at most 2 s after its start.
    bool newConnection = false; ///< With start: open a connection instead of reusing an idle one.
    bool closeIdle = false; ///< With start: close one idle connection first, to stay within the connection limit.
};

} // namespace orioledrum
