#pragma once

#include <base/ids.h>
#include <search/call_outcome.h>
#include <search/gather_run.h>
#include <search/replica.h>
#include <transport/http_header.h>
#include <transport/http_reply.h>
#include <transport/http_request.h>
#include <transport/http_response.h>

#include <chrono>
#include <optional>
#include <string>

namespace orioledrum
{

/// What a caller says about its request besides the request itself.
struct caller_fields {
    std::string requestId; ///< Names one attempt of the caller; empty when it gave none.
    std::optional<std::chrono::milliseconds> timeLeft; ///< How long the caller waits.
};

/// What a backend server's answer says.
struct backend_fields {
    attempt_end end = attempt_end::broken; ///< served, shed, misdirected, failed or broken.
    bool otherRequest = false; ///< The answer belongs to another request: its connection must not be used again.
    std::string proof; ///< Text by which the backend server vouches for the answer.
    std::string server; ///< Id of the backend server, when it says so.
    std::optional<replica_load> load;
    std::optional<std::chrono::milliseconds> coldFor; ///< How much longer the backend server is cold.
};

/// Translates between HTTP messages of the outside world and the types of the query tier.
class message_codec
{
public:
    virtual ~message_codec() = default;

    /// @param request A caller's request.
    [[nodiscard]] virtual caller_fields decodeCaller(const http_request &request) const = 0;

    /// @param request A caller's request.
    /// @return The fields that are passed on with each call for it, without those of makeCallHeaders().
    [[nodiscard]] virtual http_headers forwardedHeaders(const http_request &request) const = 0;

    /// @param server The only backend server that may run the call.
    /// @param timeLeft How long the answer is of use.
    /// @return Further fields of one call.
    [[nodiscard]] virtual http_headers callHeaders(const backend_id &server, std::chrono::milliseconds timeLeft) const = 0;

    /// @param reply A backend server's answer.
    /// @param requestId Id of the request that it was sent.
    [[nodiscard]] virtual backend_fields decodeReply(const http_reply &reply, const std::string &requestId) const = 0;

    /// @param reply A backend server's answer to a forwarded request that it may have run.
    /// @return The answer for the caller; it promises nothing that the backend server did not.
    [[nodiscard]] virtual http_response encodeForwarded(http_reply reply) const = 0;

    /// @param result A search that has succeeded.
    /// @return The answer for the caller.
    [[nodiscard]] virtual http_response encodeGathered(const gather_result &result) const = 0;

    /// @param reason What failed.
    /// @param retryAfter When the caller may come back.
    /// @return An answer that promises that the request has not run and never will.
    [[nodiscard]] virtual http_response encodeNotRun(const error &reason, std::chrono::milliseconds retryAfter) const = 0;

    /// @param status 4xx or 5xx.
    /// @param reason What failed.
    /// @return An answer that promises nothing about the request.
    [[nodiscard]] virtual http_response encodeFailure(int status, const error &reason) const = 0;
};

} // namespace orioledrum
