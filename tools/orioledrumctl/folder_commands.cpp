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

std::string formatJson(const json &value)
{
    return value.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string formatHex(std::uint64_t value)
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
        std::cout << formatJson({{"ok", false}, {"folder", folder}, {"problems", std::move(list)}}) << '\n';
    } else {
        std::cout << describe(problems) << '\n' << folder << ": " << problems.size() << " problem(s)\n";
    }
    return exitFailure;
}

int printError(const std::string &folder, const error &failure, bool asJson)
{
    if (asJson) {
        std::cout << formatJson({{"ok", false}, {"folder", folder}, {"error", failure.describe()}}) << '\n';
    } else {
        std::cerr << "orioledrumctl: " << failure.describe() << '\n';
    }
    return exitFailure;
}

/// Reads a folder and merges its values.
/// @return True when `files` and `values` are set; false after the problem has been printed.
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
    const auto commandLine = parseCommand("check",
                                          "Checks a configuration folder and prints every problem with its file and key path.",
                                          arguments,
                                          po::options_description(),
                                          {"FOLDER"},
                                          exitCode);
    if (!commandLine) {
        return exitCode;
    }
    const auto &folder = commandLine->positional[0];
    const auto files = readConfigFolder(folder);
    if (!files) {
        return printError(folder, files.error(), commandLine->json());
    }
    const auto loaded = loadConfiguration(*files, 0);
    if (!loaded) {
        return printProblems(folder, loaded.error(), commandLine->json());
    }
    const auto &loadedConfig = **loaded;
    json zonesOutOfService = json::array();
    for (const auto &zone : loadedConfig.availabilityZones()) {
        if (!zone.inService) {
            zonesOutOfService.push_back(zone.id.str());
        }
    }
    if (commandLine->json()) {
        std::cout << formatJson({{"ok", true},
                                 {"folder", folder},
                                 {"files", files->size()},
                                 {"services", loadedConfig.services().size()},
                                 {"backendServers", loadedConfig.backendServers().size()},
                                 {"availabilityZones", loadedConfig.availabilityZones().size()},
                                 {"availabilityZonesOut", zonesOutOfService},
                                 {"customers", loadedConfig.customers().size()},
                                 {"hash", formatHex(loadedConfig.hash())}})
                  << '\n';
    } else {
        std::cout << folder << ": ok, " << files->size() << " files, " << loadedConfig.services().size() << " services, "
                  << loadedConfig.backendServers().size() << " backend servers, " << loadedConfig.availabilityZones().size()
                  << " availability zones, " << loadedConfig.customers().size() << " customers, hash " << formatHex(loadedConfig.hash())
                  << '\n';
        for (const auto &zone : zonesOutOfService) {
            std::cout << "availability zone " << zone.get<std::string>() << " is out of service\n";
        }
    }
    return exitOk;
}

int runMerged(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    const auto commandLine = parseCommand("merged",
                                          "Prints each value of the merged configuration with the file it comes from.",
                                          arguments,
                                          po::options_description(),
                                          {"FOLDER"},
                                          exitCode);
    if (!commandLine) {
        return exitCode;
    }
    config_files files;
    std::vector<merged_value> values;
    if (!readMerged(commandLine->positional[0], commandLine->json(), files, values)) {
        return exitFailure;
    }
    if (commandLine->json()) {
        auto list = json::object();
        for (const auto &value : values) {
            list[value.keyPath] = valueJson(value);
        }
        std::cout << formatJson(list) << '\n';
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
    const auto commandLine =
        parseCommand("diff",
                     "Prints the values that differ between two configuration folders: '-' only in the first, '+' only in "
                     "the second, '~' changed. Differences do not change the exit code.",
                     arguments,
                     po::options_description(),
                     {"FOLDER", "FOLDER"},
                     exitCode);
    if (!commandLine) {
        return exitCode;
    }
    std::vector<config_files> files(2);
    std::vector<std::map<std::string, merged_value>> valuesByFolder(2);
    for (std::size_t folderIndex = 0; folderIndex < 2; ++folderIndex) {
        std::vector<merged_value> values;
        if (!readMerged(commandLine->positional[folderIndex], commandLine->json(), files[folderIndex], values)) {
            return exitFailure;
        }
        for (auto &value : values) {
            valuesByFolder[folderIndex].emplace(value.keyPath, value);
        }
    }
    const auto delta = deltaBetween(files[0], files[1]);
    json added = json::object();
    json removed = json::object();
    json changed = json::object();
    std::ostringstream text;
    auto allValues = valuesByFolder[0];
    allValues.insert(valuesByFolder[1].begin(), valuesByFolder[1].end());
    for (const auto &[path, unused] : allValues) {
        const auto left = valuesByFolder[0].find(path);
        const auto right = valuesByFolder[1].find(path);
        if (left == valuesByFolder[0].end()) {
            added[path] = valueJson(right->second);
            text << "+ " << path << " = " << valueText(right->second) << '\n';
        } else if (right == valuesByFolder[1].end()) {
            removed[path] = valueJson(left->second);
            text << "- " << path << " = " << valueText(left->second) << '\n';
        } else if (left->second.value != right->second.value) {
            changed[path] = {{"from", valueJson(left->second)}, {"to", valueJson(right->second)}};
            text << "~ " << path << " = " << valueText(left->second) << " -> " << valueText(right->second) << '\n';
        }
    }
    if (commandLine->json()) {
        json changedFiles = json::array();
        for (const auto &[name, unused] : delta.changed) {
            changedFiles.push_back(name);
        }
        std::cout << formatJson(
            {{"changedFiles", changedFiles}, {"removedFiles", delta.removed}, {"added", added}, {"removed", removed}, {"changed", changed}})
                  << '\n';
    } else {
        std::cout << text.str();
    }
    return exitOk;
}

} // namespace orioledrum
