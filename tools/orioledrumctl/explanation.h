#pragma once

#include "log_files.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// What a host knew about the platform, a backend server or another host when it decided about a request.
struct host_view_item {
    std::string host;
    std::string description; ///< For example "entry host g2 was down".
    /// Time between the log line that the item was taken from and the decision; std::nullopt when the item says that the logs lack a line.
    std::optional<std::chrono::milliseconds> age;
};

/// Why a request ended as it did, reconstructed from the logs of all hosts.
struct explanation {
    std::vector<log_line> logLines; ///< Log lines of the request, sorted by time.
    /// Component and event of the log line that decided the request, for example "search partial"; empty when this line is missing.
    std::string outcome;
    std::string cause; ///< Why the request got no complete answer, or a statement that it got one; empty when `outcome` is empty.
    /// What the answering host and the relays knew when they wrote their lines about the request; empty after a full answer.
    std::vector<host_view_item> hostViews;
    std::vector<std::string> missingInformation; ///< What the logs lack, for example omitted lines.
};

/// Explains how one request ended.
/// @param lines Log lines of all hosts, sorted by time.
/// @param request Request id.
/// @return The explanation; its logLines are empty when no line about requests has this id.
explanation explainRequest(const std::vector<log_line> &lines, const std::string &request);

/// @return The explanation as text for a terminal.
std::string explanationText(const explanation &result);

/// @return A JSON object with the keys outcome, cause, path (the log lines), beliefs (the host views) and gaps (the missing information).
std::string explanationJson(const explanation &result);

} // namespace orioledrum
