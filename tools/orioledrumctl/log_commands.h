#pragma once

#include "timeline.h"

#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Explains from log files how a request ended, and prints this. @return The exit code.
int runExplain(const std::vector<std::string> &arguments);

/// Reads timeline events from log files: the lines of one request, or all lines that are not about requests.
///
/// Without a request, events of one kind on one host within a second are merged into one entry that states how many, since the
/// platform may publish thousands of backend servers at once.
/// @param request Identifier of the request; empty for all lines that are not about requests.
/// @return The events; empty optional when a file cannot be read, after reporting it on standard error.
std::optional<std::vector<timeline_entry>> readTimelineFromLogs(const std::vector<std::string> &paths, const std::string &request);

} // namespace orioledrum
