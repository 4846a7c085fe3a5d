#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <logging/log_level.h>

#include <chrono>
#include <string>
#include <vector>

namespace orioledrum
{

/// Another entry host that is known before the platform's host list has been read.
struct seed_peer {
    entry_host_id id;
    zone_id zone;
    std::string address; ///< "ip:port"
};

/// Checked settings of one entry host process.
struct entry_host_settings {
    entry_host_id id;
    zone_id zone;
    std::string callerAddress; ///< "ip:port"; port 0 lets the system choose.
    std::string peerAddress;
    std::string adminAddress;
    std::vector<std::string> configServices; ///< Base URLs, asked in turn.
    std::vector<std::string> hostServices; ///< Base URLs, asked in turn.
    std::vector<seed_peer> peers;
    std::string adminToken;
    unsigned workers = 2; ///< Threads that run searches and backend calls.
    unsigned callerThreads = 2; ///< Threads that read and write caller connections.
    std::chrono::milliseconds balancerDelay{2000}; ///< Time from unready to the end of accepting, in a planned stop.
    std::chrono::milliseconds stopLimit{15000}; ///< Longest duration of a planned stop.
    log_level logLevel = log_level::info;
};

/// What the command line asks for.
struct command_line_settings {
    entry_host_settings values;
    bool showHelp = false;
    bool showVersion = false;
    std::string help; ///< Text for --help.
};

/// Reads settings from the command line and, with --settings FILE, from a file of key=value lines.
/// The command line goes before the file.
/// @param arguments The command line without the program name.
/// @return The checked settings, or an error that names the key, what was found and what is allowed.
expected<command_line_settings> parseSettings(const std::vector<std::string> &arguments);

} // namespace orioledrum
