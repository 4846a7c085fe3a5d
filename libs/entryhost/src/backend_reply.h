#pragma once

#include <transport/http_reply.h>
#include <wire/search_messages.h>

#include <optional>

namespace orioledrum
{

/// Reads the headers X-State, X-Instance, X-Load and X-Snapshots of a backend server's reply.
/// @return The report, or nothing when one of them is missing or malformed.
std::optional<backend_report> readReport(const http_reply &reply);

/// @return True when the reply says that the request was not run (X-Not-Run: 1).
bool saysNotRun(const http_reply &reply);

/// Reads a search answer and checks that it belongs to the call.
/// @param reply A reply with status 200.
/// @param requestId Value of X-Request-Id that was sent.
/// @param answer Receives status, code, snapshot and hits.
void readSearchReply(const http_reply &reply, const std::string &requestId, const shard_id &shard, shard_answer &answer);

} // namespace orioledrum
