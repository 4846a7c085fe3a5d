#pragma once

#include <string>

namespace orioledrum
{

/// How a run of orioledrumctl ended.
struct command_result {
    int exitCode = -1;
    std::string output;
};

/// Runs the command; standard error is part of the output only when the arguments end in 2>&1.
command_result runCommand(const std::string &arguments);

} // namespace orioledrum
