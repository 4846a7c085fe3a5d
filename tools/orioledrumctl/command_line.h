#pragma once

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Exit codes of orioledrumctl. Scripts rely on the values.
enum exit_code : int {
    exitOk = 0,
    exitFailure = 1, ///< Problems found in a configuration folder, or any other failure.
    exitUsage = 2,
    exitUnreachable = 3, ///< An entry host did not answer.
};

/// Parsed arguments of a subcommand.
struct command_line {
    boost::program_options::variables_map values;
    std::vector<std::string> positional;

    [[nodiscard]] bool json() const { return values.count("json") > 0; }
};

/// Parses the arguments of a subcommand. Prints the help for --help, and a message for a usage error.
/// @param name Subcommand.
/// @param summary Description printed by --help.
/// @param arguments Arguments after the name of the subcommand.
/// @param options Options in addition to --help and --json.
/// @param positional Names of the positional arguments, for example "FOLDER". A last name that ends in "..." stands for one or
/// more arguments.
/// @param exitCode Set when the result is empty.
/// @return The parsed arguments; empty after --help or a usage error.
std::optional<command_line> parseCommand(const std::string &name,
                                         const std::string &summary,
                                         const std::vector<std::string> &arguments,
                                         const boost::program_options::options_description &options,
                                         const std::vector<std::string> &positional,
                                         int &exitCode);

} // namespace orioledrum
