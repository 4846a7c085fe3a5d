#pragma once

#include <string_view>

namespace orioledrum
{

/// Kind of a failure. The text form is part of the caller API and of the log format.
enum class error_code {
    invalidArgument,
    malformed,
    tooLarge,
    unknownService,
    unknownTicket,
    ticketConflict,
    deadlineExceeded,
    overloaded,
    notOwner,
    notReady,
    unreachable,
    protocolError,
    snapshotNotHeld,
    draining,
    cancelled,
    unauthorized,
    conflict,
    historyLost,
    internal,
};

/// @return The camelCase name used in JSON and logs, for example "deadlineExceeded".
std::string_view toString(error_code code);

} // namespace orioledrum
