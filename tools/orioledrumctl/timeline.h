#pragma once

#include "admin_client.h"

#include <base/error.h>

#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// One event recorded by an entry host.
struct timeline_entry {
    std::string host;
    std::uint64_t sequence = 0;
    std::int64_t wallTimeUs = 0;
    std::string kind;
    std::string request;
    std::string peer;
    std::string detail;
};

/// Fetches all events that a host still holds.
/// @param host "ip:port" of the admin address.
expected<std::vector<timeline_entry>> fetchTimeline(const admin_client &client, const std::string &host);

/// Sorts events of several hosts by wall time. Events of one host with equal times keep their order.
void orderTimeline(std::vector<timeline_entry> &entries);

/// @return UTC date and time with microseconds.
std::string formatWallTime(std::int64_t wallTimeUs);

/// @return One line per event.
std::string timelineText(const std::vector<timeline_entry> &entries);

/// @return The events as a JSON array.
std::string timelineJson(const std::vector<timeline_entry> &entries);

/// @return An SVG drawing with one row per host and time from left to right.
std::string timelineSvg(const std::vector<timeline_entry> &entries);

} // namespace orioledrum
