#pragma once

#include <string>
#include <vector>

namespace orioledrum
{

/// Validates a configuration folder and prints its problems. @return The exit code.
int runCheck(const std::vector<std::string> &arguments);
/// Prints each value of the merged configuration with the file that it comes from. @return The exit code.
int runMerged(const std::vector<std::string> &arguments);
/// Prints the differences between the merged values of two folders. @return The exit code.
int runDiff(const std::vector<std::string> &arguments);

} // namespace orioledrum
