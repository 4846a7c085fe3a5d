#pragma once

#include <string>
#include <vector>

namespace orioledrum
{

/// Checks a configuration folder. @return The exit code.
int runCheck(const std::vector<std::string> &arguments);
/// Prints each merged value with its file. @return The exit code.
int runMerged(const std::vector<std::string> &arguments);
/// Prints how the merged values of two folders differ. @return The exit code.
int runDiff(const std::vector<std::string> &arguments);

} // namespace orioledrum
