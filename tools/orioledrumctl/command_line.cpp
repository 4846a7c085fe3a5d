#include "command_line.h"

#include <iostream>

namespace orioledrum
{

namespace po = boost::program_options;

std::optional<command_line> parseCommand(const std::string &name,
                                         const std::string &summary,
                                         const std::vector<std::string> &arguments,
                                         const po::options_description &options,
                                         std::size_t folders,
                                         int &exitCode)
{
    po::options_description visible("Options");
    visible.add_options()("help,h", "print this help")("json", "print JSON");
    visible.add(options);
    po::options_description all;
    all.add(visible).add_options()("folder", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("folder", -1);

    std::string usage = "Usage: orioledrumctl " + name;
    for (std::size_t count = 0; count < folders; ++count) {
        usage += " FOLDER";
    }
    usage += " [options]\n";

    command_line line;
    try {
        po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), line.values);
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
    if (line.values.count("folder") > 0) {
        line.folders = line.values["folder"].as<std::vector<std::string>>();
    }
    if (line.folders.size() != folders) {
        std::cerr << "orioledrumctl " << name << ": expected " << folders << " folder(s), found " << line.folders.size() << '\n' << usage;
        exitCode = exitUsage;
        return std::nullopt;
    }
    return line;
}

} // namespace orioledrum
