#include "folder_commands.h"

#include "command_line.h"

#include <config/configuration.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace orioledrum
{

namespace
{

using nlohmann::json;
namespace po = boost::program_options;

std::string print(const json &value)
{
    return value.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string hexadecimal(std::uint64_t value)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << value;
    return text.str();
}

int printProblems(const std::string &folder, const std::vector<config_problem> &problems, bool asJson)
{
    if (asJson) {
        json list = json::array();
        for (const auto &problem : problems) {
            list.push_back({{"file", problem.file}, {"keyPath", problem.keyPath}, {"found", problem.found}, {"allowed", problem.allowed}});
        }
        std::cout << print({{"ok", false}, {"folder", folder}, {"problems", std::move(list)}}) << '\n';
    } else {
        std::cout << describe(problems) << '\n' << folder << ": " << problems.size() << " problem(s)\n";
    }
    return exitFailure;
}

int printError(const std::string &folder, const error &failure, bool asJson)
{
    if (asJson) {
        std::cout << print({{"ok", false}, {"folder", folder}, {"error", failure.describe()}}) << '\n';
    } else {
        std::cerr << "orioledrumctl: " << failure.describe() << '\n';
    }
    return exitFailure;
}

/// Reads a folder and merges its values.
/// @return Whether `values` is filled; otherwise the fault has been printed.
bool readMerged(const std::string &folder, bool asJson, config_files &files, std::vector<merged_value> &values)
{
    auto read = readConfigFolder(folder);
    if (!read) {
        printError(folder, read.error(), asJson);
        return false;
    }
    files = std::move(*read);
    auto merged = mergedValues(files);
    if (!merged) {
        printProblems(folder, merged.error(), asJson);
        return false;
    }
    values = std::move(*merged);
    return true;
}

json valueJson(const merged_value &value)
{
    return {{"value", json::parse(value.value)}, {"file", value.file}};
}

std::string valueText(const merged_value &value)
{
    return value.value + "  (" + value.file + ")";
}

} // namespace

int runCheck(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    const auto line = parseCommand("check",
                                   "Checks a configuration folder and prints every problem with its file and key path.",
                                   arguments,
                                   po::options_description(),
                                   {"FOLDER"},
                                   exitCode);
    if (!line) {
        return exitCode;
    }
    const auto &folder = line->positional[0];
    const auto files = readConfigFolder(folder);
    if (!files) {
        return printError(folder, files.error(), line->json());
    }
    const auto loaded = loadConfiguration(*files, 0);
    if (!loaded) {
        return printProblems(folder, loaded.error(), line->json());
    }
    const auto &value = **loaded;
    json out = json::array();
    for (const auto &zone : value.availabilityZones()) {
        if (!zone.inService) {
            out.push_back(zone.id.str());
        }
    }
    if (line->json()) {
        std::cout << print({{"ok", true},
                            {"folder", folder},
                            {"files", files->size()},
                            {"services", value.services().size()},
                            {"backendServers", value.backendServers().size()},
                            {"availabilityZones", value.availabilityZones().size()},
                            {"availabilityZonesOut", out},
                            {"customers", value.customers().size()},
                            {"hash", hexadecimal(value.hash())}})
                  << '\n';
    } else {
        std::cout << folder << ": ok, " << files->size() << " files, " << value.services().size() << " services, "
                  << value.backendServers().size() << " backend servers, " << value.availabilityZones().size() << " availability zones, "
                  << value.customers().size() << " customers, hash " << hexadecimal(value.hash()) << '\n';
        for (const auto &zone : out) {
            std::cout << "availability zone " << zone.get<std::string>() << " is out\n";
        }
    }
    return exitOk;
}

int runMerged(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    const auto line = parseCommand("merged",
                                   "Prints each value of the merged configuration with the file it comes from.",
                                   arguments,
                                   po::options_description(),
                                   {"FOLDER"},
                                   exitCode);
    if (!line) {
        return exitCode;
    }
    config_files files;
    std::vector<merged_value> values;
    if (!readMerged(line->positional[0], line->json(), files, values)) {
        return exitFailure;
    }
    if (line->json()) {
        auto list = json::object();
        for (const auto &value : values) {
            list[value.keyPath] = valueJson(value);
        }
        std::cout << print(list) << '\n';
    } else {
        for (const auto &value : values) {
            std::cout << value.keyPath << " = " << valueText(value) << '\n';
        }
    }
    return exitOk;
}

int runDiff(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    const auto line = parseCommand("diff",
                                   "Prints the values that differ between two configuration folders: '-' only in the first, '+' only in "
                                   "the second, '~' changed. Differences do not change the exit code.",
                                   arguments,
                                   po::options_description(),
                                   {"FOLDER", "FOLDER"},
                                   exitCode);
    if (!line) {
        return exitCode;
    }
    std::vector<config_files> files(2);
    std::vector<std::map<std::string, merged_value>> sides(2);
    for (std::size_t side = 0; side < 2; ++side) {
        std::vector<merged_value> values;
        if (!readMerged(line->positional[side], line->json(), files[side], values)) {
            return exitFailure;
        }
        for (auto &value : values) {
            sides[side].emplace(value.keyPath, value);
        }
    }
    const auto delta = deltaBetween(files[0], files[1]);
    json added = json::object();
    json removed = json::object();
    json changed = json::object();
    std::ostringstream text;
    auto all = sides[0];
    all.insert(sides[1].begin(), sides[1].end());
    for (const auto &[path, unused] : all) {
        const auto left = sides[0].find(path);
        const auto right = sides[1].find(path);
        if (left == sides[0].end()) {
            added[path] = valueJson(right->second);
            text << "+ " << path << " = " << valueText(right->second) << '\n';
        } else if (right == sides[1].end()) {
            removed[path] = valueJson(left->second);
            text << "- " << path << " = " << valueText(left->second) << '\n';
        } else if (left->second.value != right->second.value) {
            changed[path] = {{"from", valueJson(left->second)}, {"to", valueJson(right->second)}};
            text << "~ " << path << " = " << valueText(left->second) << " -> " << valueText(right->second) << '\n';
        }
    }
    if (line->json()) {
        json changedFiles = json::array();
        for (const auto &[name, unused] : delta.changed) {
            changedFiles.push_back(name);
        }
        std::cout << print(
            {{"changedFiles", changedFiles}, {"removedFiles", delta.removed}, {"added", added}, {"removed", removed}, {"changed", changed}})
                  << '\n';
    } else {
        std::cout << text.str();
    }
    return exitOk;
}

} // namespace orioledrum
