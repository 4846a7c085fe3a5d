#pragma once

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Exit codes of the command; part of its interface.
enum exit_code : int {
    exitOk = 0,
    exitFailure = 1,
    exitUsage = 2,
    exitUnreachable = 3,
};

/// Arguments of one subcommand.
struct command_line {
    boost::program_options::variables_map values;
    std::vector<std::string> positional;

    [[nodiscard]] bool json() const { return values.count("json") > 0; }
};

/// Parses the arguments of a subcommand and handles --help and mistakes.
/// @param name Subcommand.
/// @param summary What it does, for --help.
/// @param arguments What follows the name.
/// @param options Options besides --help and --json.
/// @param positional Names of the arguments without an option, for example "FOLDER". A last name that ends in "..." stands for
/// one or more.
/// @param exitCode Set when the result is empty.
/// @return The arguments, or nothing when the command is finished.
std::optional<command_line> parseCommand(const std::string &name,
                                         const std::string &summary,
                                         const std::vector<std::string> &arguments,
                                         const boost::program_options::options_description &options,
                                         const std::vector<std::string> &positional,
                                         int &exitCode);

} // namespace orioledrum
