#include <base/error.h>

namespace orioledrum
{

std::string_view toString(error_code code)
{
    switch (code) {
    case error_code::invalidArgument:
        return "invalidArgument";
    case error_code::malformed:
        return "malformed";
    case error_code::tooLarge:
        return "tooLarge";
    case error_code::unknownService:
        return "unknownService";
    case error_code::unknownTicket:
        return "unknownTicket";
    case error_code::ticketConflict:
        return "ticketConflict";
    case error_code::deadlineExceeded:
        return "deadlineExceeded";
    case error_code::overloaded:
        return "overloaded";
    case error_code::notOwner:
        return "notOwner";
    case error_code::notReady:
        return "notReady";
    case error_code::unreachable:
        return "unreachable";
    case error_code::protocolError:
        return "protocolError";
    case error_code::snapshotNotHeld:
        return "snapshotNotHeld";
    case error_code::draining:
        return "draining";
    case error_code::cancelled:
        return "cancelled";
    case error_code::unauthorized:
        return "unauthorized";
    case error_code::conflict:
        return "conflict";
    case error_code::historyLost:
        return "historyLost";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

std::string error::describe() const
{
    std::string text = step + ": " + message + " (" + std::string(toString(code));
    if (!peer.empty()) {
        text += ", " + peer;
    }
    return text + ")";
}

tl::unexpected<error> makeError(error_code code, std::string step, std::string message, std::string peer)
{
    return tl::unexpected<error>(error{code, std::move(message), std::move(step), std::move(peer)});
}

} // namespace orioledrum
