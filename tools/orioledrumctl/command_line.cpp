#include "command_line.h"

#include <iostream>

namespace orioledrum
{

namespace po = boost::program_options;

std::optional<command_line> parseCommand(const std::string &name,
                                         const std::string &summary,
                                         const std::vector<std::string> &arguments,
                                         const po::options_description &options,
                                         const std::vector<std::string> &positional,
                                         int &exitCode)
{
    po::options_description visible("Options");
    visible.add_options()("help,h", "print this help")("json", "print JSON");
    visible.add(options);
    po::options_description all;
    all.add(visible).add_options()("positional", po::value<std::vector<std::string>>());
    po::positional_options_description positionalOptions;
    positionalOptions.add("positional", -1);

    std::string usage = "Usage: orioledrumctl " + name;
    for (const auto &argument : positional) {
        usage += ' ' + argument;
    }
    usage += " [options]\n";

    command_line line;
    try {
        po::store(po::command_line_parser(arguments).options(all).positional(positionalOptions).run(), line.values);
        if (line.values.count("help") > 0) {
            std::cout << usage << summary << "\n\n" << visible;
            exitCode = exitOk;
            return std::nullopt;
        }
        po::notify(line.values);
    } catch (const po::error &failure) {
        std::cerr << "orioledrumctl " << name << ": " << failure.what() << '\n' << usage;
        exitCode = exitUsage;
        return std::nullopt;
    }
    if (line.values.count("positional") > 0) {
        line.positional = line.values["positional"].as<std::vector<std::string>>();
    }
    const bool lastRepeats = !positional.empty() && positional.back().ends_with("...");
    if (lastRepeats ? line.positional.size() < positional.size() : line.positional.size() != positional.size()) {
        std::cerr << "orioledrumctl " << name << ": expected " << (lastRepeats ? "at least " : "") << positional.size()
                  << " argument(s), found " << line.positional.size() << '\n'
                  << usage;
        exitCode = exitUsage;
        return std::nullopt;
    }
    return line;
}

} // namespace orioledrum
