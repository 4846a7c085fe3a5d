#pragma once

#include <logging/log_level.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace orioledrum
{

/// A key and value that accompany a log line.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Writes the log lines of one part of a program, each with the part's prefix.
class part_logger
{
public:
    /// @param part Prefix of the lines, for example "ownership".
    explicit part_logger(std::string part);

    /// @param level Severity.
    /// @param sentence One short sentence.
    /// @param fields Values that belong to the event.
    void write(log_level level, std::string_view sentence, std::initializer_list<log_field> fields = {}) const;

    void debug(std::string_view sentence, std::initializer_list<log_field> fields = {}) const { write(log_level::debug, sentence, fields); }
    void info(std::string_view sentence, std::initializer_list<log_field> fields = {}) const { write(log_level::info, sentence, fields); }
    void warning(std::string_view sentence, std::initializer_list<log_field> fields = {}) const
    {
        write(log_level::warning, sentence, fields);
    }
    void error(std::string_view sentence, std::initializer_list<log_field> fields = {}) const { write(log_level::error, sentence, fields); }

private:
    std::string m_part;
};

} // namespace orioledrum
