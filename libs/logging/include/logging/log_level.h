#pragma once

#include <base/error.h>

#include <string_view>

namespace orioledrum
{

/// Severity of a log line.
enum class log_level { debug, info, warning, error };

/// @param text "debug", "info", "warning" or "error".
/// @return The level, or an invalidArgument error.
expected<log_level> parseLogLevel(std::string_view text);

/// Sets up logging to standard error. Called once at program start.
/// @param process Name of this process, which is written in each line.
/// @param minLevel Lines below this level are dropped.
void initLogging(std::string_view process, log_level minLevel);

} // namespace orioledrum
