#pragma once

#include <base/error_code.h>
#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <transport/http_header.h>
#include <transport/http_reply.h>
#include <wire/search_messages.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace orioledrum
{

/// Outcome of a backend_call.
enum class backend_result_kind : std::uint8_t {
    refused, ///< Not sent, or sent and not run according to the backend server; `code` gives the reason.
    answered, ///< The backend server replied, with any status; see `reply`.
    failed, ///< No reply to a call that may have been sent; the call may have run.
};

/// Result of a backend_call.
struct backend_result {
    backend_result_kind kind = backend_result_kind::failed;
    error_code code = error_code::internal; ///< Reason of a refusal, a failure or a reply with another status than 200.
    bool mayHaveBeenSent = false; ///< At least a part of the request may have been sent to the backend server.
    bool refusedByBackend = false; ///< With refused: true if the backend server refused the call, false if the call was not sent.
    http_reply reply; ///< Set with answered and with refusedByBackend.
    backend_report report; ///< Valid if hasReport is true.
    bool hasReport = false;
    std::chrono::microseconds queueTime{0}; ///< From submit() until the call is passed to the HTTP client or refused.
    std::chrono::microseconds serviceTime{0}; ///< From the end of queueTime to the reply or failure; 0 if not passed to the client.
};

/// A request to a backend server whose group this host owns.
struct backend_call {
    backend_id backend;
    time_point deadline;
    std::uint8_t priority = 1; ///< 0 is the highest.
    bool freshConnection = false; ///< True for orders: sent on a new connection, which no other call uses.
    std::string path;
    http_headers headers;
    std::string body;
    /// Called immediately before the request is written, once the lease or fixed share has been checked; the call is not sent if this
    /// returns false. `latestCallEnd` is the latest time at which a call may end under the lease or fixed share. May be empty.
    std::function<bool(time_point latestCallEnd)> beforeWrite;
    std::function<void(backend_result)> done; ///< Called exactly once unless the call is abandoned; never from inside submit().
};

} // namespace orioledrum
