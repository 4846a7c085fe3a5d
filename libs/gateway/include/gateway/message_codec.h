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
#include <cstdint>
#include <optional>
#include <string>

namespace orioledrum
{

struct organisation;

/// What a request carries to prove to which organisation it belongs.
enum class credential_kind : std::uint8_t {
    none,
    key,
    malformed, ///< Empty, of an unknown scheme, or given more than once.
};

struct caller_credential {
    credential_kind kind = credential_kind::none;
    std::string key; ///< Must not be logged or sent on.
};

/// For whom a request is sent on to backend servers.
struct caller_identity {
    /// The caller was checked: header fields with its key or the name of an organisation are not passed on.
    bool verified = false;
    const organisation *member =
        nullptr; ///< Named to backend servers when the caller was checked; null on a public route without a valid key.
};

/// Metadata of a caller's request.
struct caller_fields {
    std::string requestId; ///< Identifies one attempt of the caller; empty when missing.
    /// How long the caller still waits for the answer; std::nullopt when missing or invalid.
    std::optional<std::chrono::milliseconds> timeLeft;
    caller_credential credential;
};

/// Outcome and metadata of a backend server's answer.
struct backend_fields {
    attempt_end end = attempt_end::broken; ///< served, shed, misdirected, failed or broken.
    /// The answer belongs to another request: `end` is broken, server, load and coldRemaining are not set, and the connection must not
    /// be reused.
    bool requestMismatch = false;
    std::string signature; ///< Opaque signature that the backend server attaches to a valid answer; empty when missing.
    std::string server; ///< Id of the backend server; empty when missing.
    std::optional<replica_load> load;
    std::optional<std::chrono::milliseconds> coldRemaining; ///< Remaining time for which the backend server is cold.
    /// The backend server leaves and wants no more requests. Also set with requestMismatch: an answer that comes late says it, too.
    bool leaving = false;
    /// A refusal says that the backend server wants no request for this time. Also set with requestMismatch.
    std::optional<std::chrono::milliseconds> quietTime;
    std::string unreadableQuietTime; ///< The text of a quiet time that is not a number of seconds, at most 40 characters.
};

/// Translates between the HTTP messages of callers and backend servers and the types of the query tier.
class message_codec
{
public:
    virtual ~message_codec() = default;

    /// Decodes the metadata of a caller's request.
    [[nodiscard]] virtual caller_fields decodeCaller(const http_request &request) const = 0;

    /// @param identity Replaces what the caller says of its organisation if the caller was checked.
    /// @return The headers that are sent with every call for this request, except those of callHeaders().
    [[nodiscard]] virtual http_headers forwardedHeaders(const http_request &request, const caller_identity &identity) const = 0;

    /// @param server The only backend server that may run the call.
    /// @param timeLeft Time until the deadline of the call.
    /// @return The headers that are specific to one call.
    [[nodiscard]] virtual http_headers callHeaders(const backend_id &server, std::chrono::milliseconds timeLeft) const = 0;

    /// Decodes the outcome and the metadata of a backend server's answer.
    /// @param requestId Id of the request that was sent; empty for a health check.
    [[nodiscard]] virtual backend_fields decodeReply(const http_reply &reply, const std::string &requestId) const = 0;

    /// @param reply A backend server's answer to a forwarded request, which may have run.
    /// @return The answer for the caller. A status that callers take as a guarantee that the request has not run is replaced,
    /// because the backend server gave no such guarantee.
    [[nodiscard]] virtual http_response encodeForwarded(http_reply reply) const = 0;

    /// @param result Result of a successful search.
    /// @return The answer for the caller.
    [[nodiscard]] virtual http_response encodeGathered(const gather_result &result) const = 0;

    /// @param reason Why the request was refused.
    /// @param retryAfter Time after which the caller may retry.
    /// @return An answer that guarantees that the request has not run and never will.
    [[nodiscard]] virtual http_response encodeNotRun(const error &reason, std::chrono::milliseconds retryAfter) const = 0;

    /// @param reason Which cap was reached.
    /// @param retryAfter Time after which the organisation may send a request again.
    /// @return An answer that guarantees that the request has not run and never will, because its organisation sends too many.
    [[nodiscard]] virtual http_response encodeOverCap(const error &reason, std::chrono::milliseconds retryAfter) const = 0;

    /// @param status HTTP status, 4xx or 5xx.
    /// @param reason What failed.
    /// @return An answer that leaves open whether the request has run.
    [[nodiscard]] virtual http_response encodeFailure(int status, const error &reason) const = 0;
};

} // namespace orioledrum
