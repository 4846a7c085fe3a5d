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

/// Time over which events of one kind on one host are shown as one.
constexpr std::chrono::seconds mergeTime{1};

timeline_entry entryOf(const log_line &line, std::uint64_t sequence)
{
    timeline_entry entry;
    entry.host = line.host;
    entry.sequence = sequence;
    entry.wallTimeUs = std::chrono::duration_cast<std::chrono::microseconds>(line.at.time_since_epoch()).count();
    entry.kind = line.part + '.' + line.event;
    entry.request = line.field("id");
    entry.peer = line.field("server").empty() ? line.field("peer") : line.field("server");
    for (const auto &[name, value] : line.fields) {
        if (name != "id" && name != "server" && name != "peer" && !value.empty()) {
            entry.detail += entry.detail.empty() ? "" : " ";
            entry.detail.append(name).append("=").append(value);
        }
    }
    return entry;
}

/// Reads log files. Files that cannot be read, and the number of lines that hold no entry, are named on standard error.
std::optional<std::vector<log_line>> readLogs(const std::vector<std::string> &paths)
{
    auto read = readLogFiles(paths);
    if (!read) {
        std::cerr << "orioledrumctl: " << read.error().describe() << '\n';
        return std::nullopt;
    }
    if (read->unreadable > 0) {
        std::cerr << "orioledrumctl: " << read->unreadable << " lines hold no log entry\n";
    }
    return std::move(read->lines);
}

} // namespace

int runExplain(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    const auto line = parseCommand("explain",
                                   "Explains from the logs of all hosts how a request ended: its lines, the decision that cost it the full "
                                   "answer, and what the hosts that decided believed, with the age of each belief.",
                                   arguments,
                                   po::options_description(),
                                   {"ID", "LOGFILE..."},
                                   exitCode);
    if (!line) {
        return exitCode;
    }
    const auto &request = line->positional[0];
    const auto lines = readLogs({line->positional.begin() + 1, line->positional.end()});
    if (!lines) {
        return exitFailure;
    }
    const auto explained = explainRequest(*lines, request);
    if (explained.path.empty()) {
        std::cerr << "orioledrumctl: no line names request " << request << '\n';
        exitCode = exitFailure;
    }
    std::cout << (line->json() ? explanationJson(explained) + "\n" : explanationText(explained));
    return exitCode;
}

std::optional<std::vector<timeline_entry>> readTimeline(const std::vector<std::string> &paths, const std::string &request)
{
    const auto lines = readLogs(paths);
    if (!lines) {
        return std::nullopt;
    }
    std::vector<timeline_entry> entries;
    struct series {
        std::size_t entry;
        std::size_t events;
        std::chrono::system_clock::time_point since;
    };
    std::map<std::tuple<std::string, std::string, std::string>, series> latest;
    std::uint64_t sequence = 0;
    for (const auto &line : *lines) {
        if (request.empty() ? isRequestLine(line) : line.field("id") != request) {
            continue;
        }
        const auto known = latest.find({line.host, line.part, line.event});
        if (request.empty() && known != latest.end() && line.at - known->second.since < mergeTime) {
            auto &merged = entries[known->second.entry];
            merged.peer.clear();
            merged.detail = std::to_string(++known->second.events) + " events within " + std::to_string(mergeTime.count()) + " s";
            continue;
        }
        latest[{line.host, line.part, line.event}] = {entries.size(), 1, line.at};
        entries.push_back(entryOf(line, ++sequence));
    }
    return entries;
}

} // namespace orioledrum
