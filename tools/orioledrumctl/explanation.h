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
    std::string description;
    std::optional<std::chrono::milliseconds> age; ///< Time since the log line behind it; empty when there is no such line.
};

/// Why a request ended as it did, reconstructed from the logs of all hosts.
struct explanation {
    std::vector<log_line> path; ///< Log lines of the request, sorted by time.
    std::string outcome; ///< For example "search partial".
    std::string cause; ///< Why the request got no full answer; for a full answer, a statement of it.
    std::vector<host_view> hostViews; ///< Views of the hosts that made the decisions, at the time of each decision.
    std::vector<std::string> gaps; ///< Information that the logs lack.
};

/// Explains how one request ended.
/// @param lines Log lines of all hosts, sorted by time.
/// @return The explanation; its path is empty when no line has the request's identifier.
explanation explainRequest(const std::vector<log_line> &lines, const std::string &request);

/// @return The explanation as text for a terminal.
std::string explanationText(const explanation &result);

/// @return A JSON object.
std::string explanationJson(const explanation &result);

} // namespace orioledrum
