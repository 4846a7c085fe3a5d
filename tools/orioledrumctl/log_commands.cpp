#include "log_commands.h"

#include "command_line.h"
#include "explanation.h"
#include "log_files.h"

#include <iostream>
#include <map>
#include <tuple>

namespace orioledrum
{

namespace
{

namespace po = boost::program_options;

/// Events of one kind on one host within this time after the first of them are merged into one entry.
constexpr std::chrono::seconds mergeWindow{1};

timeline_entry makeEntry(const log_line &line, std::uint64_t sequence)
{
    timeline_entry entry;
    entry.host = line.host;
    entry.sequence = sequence;
    entry.wallTimeUs = std::chrono::duration_cast<std::chrono::microseconds>(line.at.time_since_epoch()).count();
    entry.kind = line.part + '.' + line.event;
    entry.request = line.field("id");
    // Lines about backend servers name them in "server".
    entry.peer = line.field("server").empty() ? line.field("peer") : line.field("server");
    for (const auto &[name, value] : line.fields) {
        if (name != "id" && name != "server" && name != "peer" && !value.empty()) {
            entry.detail += entry.detail.empty() ? "" : " ";
            entry.detail.append(name).append("=").append(value);
        }
    }
    return entry;
}

/// Reads log files. Reports a file that cannot be read, and the number of lines without a log entry, on standard error.
std::optional<std::vector<log_line>> readLogs(const std::vector<std::string> &paths)
{
    auto files = readLogFiles(paths);
    if (!files) {
        std::cerr << "orioledrumctl: " << files.error().describe() << '\n';
        return std::nullopt;
    }
    if (files->linesWithoutEntry > 0) {
        std::cerr << "orioledrumctl: " << files->linesWithoutEntry << " lines contain no log entry\n";
    }
    return std::move(files->lines);
}

} // namespace

int runExplain(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    const auto commandLine =
        parseCommand("explain",
                     "Explains from the logs of all hosts how a request ended: its log lines, the decision that caused an "
                     "incomplete answer, and the view of the hosts that decided, with the age of each item.",
                     arguments,
                     po::options_description(),
                     {"ID", "LOGFILE..."},
                     exitCode);
    if (!commandLine) {
        return exitCode;
    }
    const auto &request = commandLine->positional[0];
    const auto lines = readLogs({commandLine->positional.begin() + 1, commandLine->positional.end()});
    if (!lines) {
        return exitFailure;
    }
    const auto result = explainRequest(*lines, request);
    if (result.logLines.empty()) {
        std::cerr << "orioledrumctl: no line names request " << request << '\n';
        exitCode = exitFailure;
    }
    std::cout << (commandLine->json() ? explanationJson(result) + "\n" : explanationText(result));
    return exitCode;
}

std::optional<std::vector<timeline_entry>> readTimelineFromLogs(const std::vector<std::string> &paths, const std::string &request)
{
    const auto lines = readLogs(paths);
    if (!lines) {
        return std::nullopt;
    }
    std::vector<timeline_entry> entries;
    struct event_group {
        std::size_t entryIndex;
        std::size_t eventCount;
        std::chrono::system_clock::time_point firstAt;
    };
    std::map<std::tuple<std::string, std::string, std::string>, event_group> latestGroups;
    std::uint64_t sequence = 0;
    for (const auto &line : *lines) {
        if (request.empty() ? isRequestLine(line) : line.field("id") != request) {
            continue;
        }
        const auto latestGroup = latestGroups.find({line.host, line.part, line.event});
        if (request.empty() && latestGroup != latestGroups.end() && line.at - latestGroup->second.firstAt < mergeWindow) {
            auto &merged = entries[latestGroup->second.entryIndex];
            merged.peer.clear();
            merged.detail =
                std::to_string(++latestGroup->second.eventCount) + " events within " + std::to_string(mergeWindow.count()) + " s";
            continue;
        }
        latestGroups[{line.host, line.part, line.event}] = {entries.size(), 1, line.at};
        entries.push_back(makeEntry(line, ++sequence));
    }
    return entries;
}

} // namespace orioledrum
