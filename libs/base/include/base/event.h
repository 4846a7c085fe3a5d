#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace orioledrum
{

/// Kind of a timeline event. The text form is part of the admin API.
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

/// @return The camelCase name used in JSON, for example "hedgeSent".
std::string_view toString(event_kind kind);

/// One event of a process's timeline.
struct event {
    std::uint64_t sequence = 0; ///< Position in the events of this process, starting at 1; set by event_ring::record.
    std::chrono::system_clock::time_point wallTime; ///< Used only to order the events of several processes; no decision depends on it.
    event_kind kind = event_kind::searchStarted;
    request_id request; ///< Empty when the event belongs to no request.
    std::string peer; ///< What the event is about: an entry host, backend server, group, service or configuration source; may be empty.
    std::string detail; ///< Short free text, for example a revision number or an error code.
};

} // namespace orioledrum
