#pragma once

#include <transport/http_reply.h>
#include <wire/search_messages.h>

#include <optional>

namespace orioledrum
{

/// Parses the headers X-State, X-Instance, X-Load and X-Snapshots of a backend server's reply.
/// @return The report, or nothing when a header is malformed or X-State, X-Instance or X-Load is missing. A missing X-Snapshots counts
/// as an empty list.
std::optional<backend_report> parseReport(const http_reply &reply);

/// @return True when the backend server states that it did not run the request (X-Not-Run: 1).
bool isMarkedNotRun(const http_reply &reply);

/// Parses a search reply and checks that it answers this request and shard. For a malformed or mismatched reply, the answer gets the
/// status failed and the code protocolError.
/// @param reply A reply with status 200.
/// @param requestId The X-Request-Id that was sent.
/// @param answer Receives status, snapshot and hits, and in case of a failure the code.
void parseSearchReply(const http_reply &reply, const std::string &requestId, const shard_id &shard, shard_answer &answer);

} // namespace orioledrum
