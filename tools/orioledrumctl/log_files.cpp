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

/// Reads a time as event_log writes it, for example "2026-06-03T01:35:14.022Z".
std::optional<std::chrono::system_clock::time_point> parseTime(const std::string &text)
{
    std::tm parts{};
    const char *rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr) {
        return std::nullopt;
    }
    std::chrono::microseconds fraction{0};
    if (*rest == '.') {
        std::chrono::microseconds unit{100000};
        for (++rest; *rest >= '0' && *rest <= '9'; ++rest, unit /= 10) {
            fraction += unit * (*rest - '0');
        }
    }
    if (std::string_view(rest) != "Z") {
        return std::nullopt;
    }
    return std::chrono::system_clock::from_time_t(timegm(&parts)) + fraction;
}

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

const std::string &log_line::field(const std::string &name) const
{
    static const std::string none;
    const auto found = fields.find(name);
    return found == fields.end() ? none : found->second;
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
        line.fields[name] = textOf(value);
    }
    for (const char *name : {"at", "host", "part", "event"}) {
        if (!object.contains(name) || !object[name].is_string()) {
            return makeError(error_code::malformed, "read log line", std::string(name) + " is missing");
        }
    }
    const auto at = parseTime(line.field("at"));
    if (!at) {
        return makeError(error_code::malformed, "read log line", "at is no UTC time: " + line.field("at"));
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
    log_lines read;
    for (const auto &path : paths) {
        std::ifstream stream(path);
        if (!stream) {
            return makeError(error_code::invalidArgument, "read log file", "cannot be opened", path);
        }
        for (std::string text; std::getline(stream, text);) {
            if (auto line = parseLogLine(text)) {
                read.lines.push_back(std::move(*line));
            } else if (!text.empty()) {
                ++read.unreadable;
            }
        }
        if (stream.bad()) {
            return makeError(error_code::malformed, "read log file", "reading failed", path);
        }
    }
    std::stable_sort(read.lines.begin(), read.lines.end(), [](const log_line &a, const log_line &b) { return a.at < b.at; });
    return read;
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
