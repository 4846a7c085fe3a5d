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
    std::string part;
    std::string event;
    std::map<std::string, std::string> fields; ///< The other fields; numbers as text.

    /// @return A field, or an empty text.
    [[nodiscard]] const std::string &field(const std::string &name) const;
};

/// Lines of log files.
struct log_lines {
    std::vector<log_line> lines; ///< In the order of their times; lines of one file keep their order when times are equal.
    std::size_t unreadable = 0; ///< Lines that hold no log entry, for example the cut last line of a killed process.
};

/// Reads the entry of one line. Text before the JSON object, as a log collector adds it, is passed over.
/// @return The entry, or an error that names the missing field.
expected<log_line> parseLogLine(std::string_view text);

/// Reads log files. @return An error when a file cannot be read.
expected<log_lines> readLogFiles(const std::vector<std::string> &paths);

/// @return True for a line about a single request, false for one about a belief or the life of the process.
bool isRequestLine(const log_line &line);

} // namespace orioledrum
