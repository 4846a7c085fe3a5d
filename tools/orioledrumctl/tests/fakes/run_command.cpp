#include "tests/fakes/run_command.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>

namespace orioledrum
{

command_result runCommand(const std::string &arguments)
{
    command_result result;
    const auto command = std::string(ORIOLEDRUMCTL) + " " + arguments;
    FILE *pipe = popen(command.c_str(), "r");
    if (pipe == nullptr) {
        return result;
    }
    std::array<char, 4096> buffer{};
    for (std::size_t count = 0; (count = fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
        result.output.append(buffer.data(), count);
    }
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

} // namespace orioledrum
