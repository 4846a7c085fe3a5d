#pragma once

#include "timeline.h"

#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Explains a request from log files. @return The exit code.
int runExplain(const std::vector<std::string> &arguments);

/// Reads the events of log files: without a request, what hosts came to believe; with one, its lines.
///
/// Events of one kind on one host within a second become one entry with their number, since the platform may publish
/// thousands of backend servers at once.
/// @param request Only lines of this request; empty: only lines that are not about requests.
/// @return Nothing when a file cannot be read, which has been reported.
std::optional<std::vector<timeline_entry>> readTimeline(const std::vector<std::string> &paths, const std::string &request);

} // namespace orioledrum
