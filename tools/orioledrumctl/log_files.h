#pragma once

#include <base/error.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// One line of the structured log of an entry host.
struct log_line {
    std::chrono::system_clock::time_point at;
    std::string host;
    std::string part; ///< Component of the host that wrote the line, for example "platform".
    std::string event;
    std::map<std::string, std::string> fields; ///< All other fields of the line; values that are not strings as JSON text.

    /// @return The value of a field; empty when the line has no such field.
    [[nodiscard]] const std::string &field(const std::string &name) const;
};

/// Content of several log files.
struct log_lines {
    std::vector<log_line> lines; ///< Sorted by time; lines of one file with equal times keep their order.
    std::size_t linesWithoutEntry = 0; ///< Non-empty lines without a log entry, such as the truncated last line of a killed process.
};

/// Parses one line. Skips text before the JSON object, such as the prefix that a log collector adds.
/// @return The parsed line, or an error that says what is missing or invalid.
expected<log_line> parseLogLine(std::string_view text);

/// Reads log files. @return Their lines, or an error when a file cannot be read.
expected<log_lines> readLogFiles(const std::vector<std::string> &paths);

/// @return True for a line about a single request, false for one about the state of the host or its process.
bool isRequestLine(const log_line &line);

} // namespace orioledrum
