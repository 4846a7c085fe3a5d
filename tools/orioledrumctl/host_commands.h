#pragma once

#include <string>
#include <vector>

namespace orioledrum
{

/// Prints the status of an entry host. @return The exit code.
int runStatus(const std::vector<std::string> &arguments);
/// Gathers the time lines of entry hosts. @return The exit code.
int runTimeline(const std::vector<std::string> &arguments);

} // namespace orioledrum
