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

/// How a backend_call ended.
enum class backend_result_kind : std::uint8_t {
    refused, ///< Nothing was sent, or the backend server said that it did not run it; `code` says why.
    answered, ///< There is a reply.
    failed, ///< No reply; `mayHaveBeenSent` tells whether it can have run.
};

/// Result of a backend_call.
struct backend_result {
    backend_result_kind kind = backend_result_kind::failed;
    error_code code = error_code::internal; ///< Meaningful unless answered.
    bool mayHaveBeenSent = false;
    bool refusedByBackend = false; ///< With refused: the backend server itself said so.
    http_reply reply; ///< With answered and refusedByBackend.
    backend_report report;
    bool hasReport = false;
    std::chrono::microseconds queueTime{0};
    std::chrono::microseconds serviceTime{0};
};

/// One request to a backend server that this host owns.
struct backend_call {
    backend_id backend;
    time_point deadline;
    std::uint8_t priority = 1; ///< 0 is the highest.
    bool freshConnection = false; ///< For orders: a connection that no other call uses.
    std::string path;
    http_headers headers;
    std::string body;
    /// Last check before the write, after the lease was checked; gets the latest time at which a call may end under
    /// the lease. Empty: none.
    std::function<bool(time_point leaseEnd)> beforeWrite;
    std::function<void(backend_result)> done; ///< Called exactly once, never from inside submit().
};

} // namespace orioledrum
