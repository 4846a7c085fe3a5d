#pragma once

#include <logging/log_level.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace orioledrum
{

/// A key and value that are appended to a log line.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Writes the log lines of one component of a program, with the name of the component as prefix.
class component_logger
{
public:
    /// @param component Name of the component, for example "ownership".
    explicit component_logger(std::string component);

    /// @param message One short sentence.
    /// @param fields Written after the message as key=value.
    void write(log_level level, std::string_view message, std::initializer_list<log_field> fields = {}) const;

    void debug(std::string_view message, std::initializer_list<log_field> fields = {}) const { write(log_level::debug, message, fields); }
    void info(std::string_view message, std::initializer_list<log_field> fields = {}) const { write(log_level::info, message, fields); }
    void warning(std::string_view message, std::initializer_list<log_field> fields = {}) const
    {
        write(log_level::warning, message, fields);
    }
    void error(std::string_view message, std::initializer_list<log_field> fields = {}) const { write(log_level::error, message, fields); }

private:
    std::string m_component;
};

} // namespace orioledrum
