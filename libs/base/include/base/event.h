#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace orioledrum
{

/// What a time line event records. The text form is part of the admin API.
enum class event_kind {
    searchStarted,
    searchFinished,
    attemptSent,
    attemptAnswered,
    attemptFailed,
    hedgeSent,
    retrySent,
    requestRefused,
    orderSent,
    orderFinished,
    leaseAcquired,
    leaseLost,
    leaseReleased,
    configApplied,
    configRejected,
    hostListApplied,
    peerUp,
    peerDown,
    backendStateChanged,
    pauseDetected,
    readinessChanged,
    shutdownStarted,
};

/// @return The camelCase name of the kind.
std::string_view toString(event_kind kind);

/// One entry of the time line.
struct event {
    std::uint64_t sequence = 0; ///< Position in this process's ring, set by the ring.
    std::chrono::system_clock::time_point wallTime; ///< For ordering across processes; never used for decisions.
    event_kind kind = event_kind::searchStarted;
    request_id request; ///< Empty when the event belongs to no request.
    std::string peer; ///< Entry host, backend server or service concerned; may be empty.
    std::string detail; ///< Short free text, for example a revision number or an error code.
};

} // namespace orioledrum
