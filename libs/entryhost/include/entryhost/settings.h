#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <logging/log_level.h>

#include <chrono>
#include <string>
#include <vector>

namespace orioledrum
{

/// Entry host to contact before the platform's host list has been read.
struct seed_peer {
    entry_host_id id;
    zone_id zone;
    std::string address; ///< "ip:port"
};

/// Validated settings of an entry host process.
struct entry_host_settings {
    entry_host_id id;
    zone_id zone;
    std::string callerAddress; ///< "ip:port" for callers; with port 0 the system assigns a free port.
    std::string peerAddress; ///< "ip:port" for other entry hosts; port 0 as for callerAddress.
    std::string adminAddress; ///< "ip:port" for administration and metrics; port 0 as for callerAddress.
    std::vector<std::string> configServices; ///< Base URLs of the configuration service; the next one is used after a failed read.
    std::vector<std::string> hostServices; ///< Base URLs of the host list service; the next one is used after a failed read.
    std::vector<seed_peer> peers;
    std::string adminToken; ///< Bearer token for the administration API.
    unsigned workers = 2; ///< Threads that run searches, orders and calls to backend servers.
    unsigned callerThreads = 2; ///< I/O threads for caller connections.
    std::chrono::milliseconds callerPortCloseDelay{2000}; ///< Planned stop: from reporting not ready to closing the port.
    std::chrono::milliseconds stopLimit{15000}; ///< Maximum duration of a planned stop.
    log_level logLevel = log_level::info;
};

/// Result of parsing the command line and the settings file.
struct command_line_settings {
    entry_host_settings values; ///< Default-constructed if showHelp or showVersion is true.
    bool showHelp = false;
    bool showVersion = false;
    std::string help; ///< Text to print for --help.
};

/// Reads settings from the command line and, with --settings FILE, from a file of key=value lines.
/// A value on the command line takes precedence over the file; for repeatable keys, the values of both are used.
/// @param arguments Command-line arguments without the program name.
/// @return The validated settings, or an error that names the missing, invalid or unknown key or the file that cannot be opened.
expected<command_line_settings> parseSettings(const std::vector<std::string> &arguments);

} // namespace orioledrum
