#pragma once

#include "log_files.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// One item of a host's view of the platform, of backend servers or of other hosts when it decided about a request.
struct host_view {
    std::string host;
    std::string description; ///< The item and its state, for example "entry host g2 was down".
    /// Time between the log line that the item was taken from and the decision; empty when the item stands for a missing line.
    std::optional<std::chrono::milliseconds> age;
};

/// Why a request ended as it did, reconstructed from the logs of all hosts.
struct explanation {
    std::vector<log_line> logLines; ///< Log lines of the request, sorted by time.
    /// Part and event of the log line that decided the request, for example "search partial"; empty when this line is missing.
    std::string outcome;
    std::string cause; ///< Why the request got no complete answer; states that it got one otherwise. Empty without an outcome.
    std::vector<host_view> hostViews; ///< Views of the hosts that made the decisions, at the time of each decision.
    std::vector<std::string> missingInformation; ///< What the logs lack, for example omitted lines.
};

/// Explains how one request ended.
/// @param lines Log lines of all hosts, sorted by time.
/// @return The explanation; its logLines are empty when no line has the request's identifier.
explanation explainRequest(const std::vector<log_line> &lines, const std::string &request);

/// @return The explanation as text for a terminal.
std::string explanationText(const explanation &result);

/// @return A JSON object with the keys outcome, cause, path (the log lines), beliefs (the host views) and gaps (the missing information).
std::string explanationJson(const explanation &result);

} // namespace orioledrum
