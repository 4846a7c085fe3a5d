#pragma once

#include <string>

namespace orioledrum
{

/// Exit code and output of a run of orioledrumctl.
struct command_result {
    int exitCode = -1;
    std::string output;
};

/// Runs orioledrumctl in a shell. The output includes standard error only when the arguments end in 2>&1.
command_result runCommand(const std::string &arguments);

} // namespace orioledrum
