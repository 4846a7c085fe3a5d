#pragma once

#include <string>
#include <vector>

namespace orioledrum
{

/// Prints the status of an entry host. @return The exit code.
int runStatus(const std::vector<std::string> &arguments);
/// Prints the merged timeline of several entry hosts, or of their log files. @return The exit code.
int runTimeline(const std::vector<std::string> &arguments);
/// Explains where a request would go now, without sending it. @return The exit code.
int runRoute(const std::vector<std::string> &arguments);

} // namespace orioledrum
