#pragma once

#include <string_view>

namespace orioledrum
{

/// Kind of a failure. The text form is part of the caller API and of the log format.
enum class error_code {
    invalidArgument, ///< A request or a setting has an invalid value.
    malformed, ///< A text cannot be parsed.
    tooLarge,
    unknownService,
    unknownTicket, ///< The ticket is not remembered, expired unused, or was issued by another host or incarnation.
    ticketConflict, ///< The ticket was used with another order.
    deadlineExceeded,
    overloaded,
    notOwner, ///< The host does not hold the lease for the backend server.
    notReady, ///< Something needed is missing, for example a confirmed configuration or a backend server that could serve the request.
    unreachable,
    protocolError,
    snapshotNotHeld, ///< The backend server does not have the requested snapshot.
    draining, ///< The host or backend server accepts no new work.
    cancelled,
    unauthorized,
    conflict, ///< The operation contradicts the current state, for example a port that is in use.
    historyLost, ///< The store no longer has the requested changes; the reader must read the full state again.
    internal,
};

/// @return The camelCase name used in JSON and logs, for example "deadlineExceeded".
std::string_view toString(error_code code);

} // namespace orioledrum
