#pragma once

#include "admin_client.h"

#include <base/error.h>

#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// One event of an entry host, from its event ring buffer or from its log.
struct timeline_entry {
    std::string host;
    /// Increases with each event of a process. Events read from log files are numbered by time, across all files.
    std::uint64_t sequence = 0;
    std::int64_t wallTimeUs = 0; ///< Microseconds since the Unix epoch.
    std::string kind;
    std::string request; ///< Request id; empty for an event that is not about a request.
    std::string peer; ///< Entry host or backend server that the event is about; may be empty.
    std::string detail; ///< Further information as text; may be empty.
};

/// Fetches all events that a host still has in its ring buffer.
/// @param host "ip:port" of the admin address.
expected<std::vector<timeline_entry>> fetchTimeline(const admin_client &client, const std::string &host);

/// Sorts events of several hosts by wall time. Events of one host with equal times are sorted by sequence.
void sortTimeline(std::vector<timeline_entry> &entries);

/// @return UTC date and time with microseconds.
std::string formatWallTime(std::int64_t wallTimeUs);

/// @return One line per event.
std::string timelineText(const std::vector<timeline_entry> &entries);

/// @return The events as a JSON array.
std::string timelineJson(const std::vector<timeline_entry> &entries);

/// @param entries Sorted by sortTimeline().
/// @return An SVG drawing with one row per host and time from left to right.
std::string timelineSvg(const std::vector<timeline_entry> &entries);

} // namespace orioledrum
