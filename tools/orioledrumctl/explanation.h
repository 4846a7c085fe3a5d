#pragma once

#include "log_files.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// What a host believed when it decided about a request.
struct belief {
    std::string host;
    std::string what;
    std::optional<std::chrono::milliseconds> age; ///< Since the line that says so; empty when no line says so.
};

/// Why a request ended as it did, from the logs of all hosts.
struct explanation {
    std::vector<log_line> path; ///< Lines of the request, in the order of time.
    std::string outcome; ///< For example "search partial".
    std::string cause; ///< The decision that cost the request its full answer; says so when nothing was lost.
    std::vector<belief> beliefs; ///< Behind that decision, at its time.
    std::vector<std::string> gaps; ///< What the logs do not show.
};

/// Explains one request.
/// @param lines Of all hosts, in the order of time.
/// @return The explanation; its path is empty when no line names the request.
explanation explainRequest(const std::vector<log_line> &lines, const std::string &request);

/// @return Lines for people.
std::string explanationText(const explanation &explained);

/// @return A JSON object.
std::string explanationJson(const explanation &explained);

} // namespace orioledrum
