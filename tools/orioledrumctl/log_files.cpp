#include "log_files.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <optional>

namespace orioledrum
{

namespace
{

using nlohmann::json;

/// Parses a time in the format of event_log, for example "2026-06-03T01:35:14.022Z".
std::optional<std::chrono::system_clock::time_point> parseTime(const std::string &text)
{
    std::tm parts{};
    const char *remainder = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (remainder == nullptr) {
        return std::nullopt;
    }
    std::chrono::microseconds fraction{0};
    if (*remainder == '.') {
        std::chrono::microseconds unit{100000};
        for (++remainder; *remainder >= '0' && *remainder <= '9'; ++remainder, unit /= 10) {
            fraction += unit * (*remainder - '0');
        }
    }
    if (std::string_view(remainder) != "Z") {
        return std::nullopt;
    }
    return std::chrono::system_clock::from_time_t(timegm(&parts)) + fraction;
}

std::string toText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

const std::string &log_line::field(const std::string &name) const
{
    static const std::string emptyText;
    const auto position = fields.find(name);
    return position == fields.end() ? emptyText : position->second;
}

expected<log_line> parseLogLine(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos) {
        return makeError(error_code::malformed, "read log line", "no JSON object");
    }
    const auto object = json::parse(text.substr(begin), nullptr, false);
    if (!object.is_object()) {
        return makeError(error_code::malformed, "read log line", "no JSON object");
    }
    log_line line;
    for (const auto &[name, value] : object.items()) {
        line.fields[name] = toText(value);
    }
    for (const char *name : {"at", "host", "part", "event"}) {
        if (!object.contains(name) || !object[name].is_string()) {
            return makeError(error_code::malformed, "read log line", std::string(name) + " is missing");
        }
    }
    const auto at = parseTime(line.field("at"));
    if (!at) {
        return makeError(error_code::malformed, "read log line", "at is not a UTC time: " + line.field("at"));
    }
    line.at = *at;
    line.host = line.field("host");
    line.part = line.field("part");
    line.event = line.field("event");
    for (const char *name : {"at", "host", "part", "event"}) {
        line.fields.erase(name);
    }
    return line;
}

expected<log_lines> readLogFiles(const std::vector<std::string> &paths)
{
    log_lines result;
    for (const auto &path : paths) {
        std::ifstream stream(path);
        if (!stream) {
            return makeError(error_code::invalidArgument, "read log file", "cannot be opened", path);
        }
        for (std::string text; std::getline(stream, text);) {
            if (auto line = parseLogLine(text)) {
                result.lines.push_back(std::move(*line));
            } else if (!text.empty()) {
                ++result.linesWithoutEntry;
            }
        }
        if (stream.bad()) {
            return makeError(error_code::malformed, "read log file", "reading failed", path);
        }
    }
    std::stable_sort(result.lines.begin(), result.lines.end(), [](const log_line &a, const log_line &b) { return a.at < b.at; });
    return result;
}

bool isRequestLine(const log_line &line)
{
    for (const char *part : {"search", "relay", "forward", "front", "request"}) {
        if (line.part == part) {
            return true;
        }
    }
    return false;
}

} // namespace orioledrum
