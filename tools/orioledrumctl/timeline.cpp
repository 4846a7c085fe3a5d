#include "timeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace orioledrum
{

namespace
{

using nlohmann::json;

constexpr std::size_t pageSize = 5000; ///< Events requested at once.
/// Enough for more events than the ring buffer of any host holds. The limit ends fetching from a host that records events faster than
/// they can be fetched.
constexpr std::size_t maxPages = 100;

} // namespace

expected<std::vector<timeline_entry>> fetchTimeline(const admin_client &client, const std::string &host)
{
    std::vector<timeline_entry> entries;
    std::uint64_t after = 0;
    std::size_t longestPageSize = 1;
    for (std::size_t page = 0; page < maxPages; ++page) {
        const auto body = client.get(host, "/admin/v1/timeline?after=" + std::to_string(after) + "&limit=" + std::to_string(pageSize));
        if (!body) {
            return tl::unexpected<error>(body.error());
        }
        std::size_t count = 0;
        try {
            const auto answer = json::parse(*body);
            const auto name = answer.at("host").get<std::string>();
            for (const auto &item : answer.at("events")) {
                timeline_entry entry;
                entry.host = name;
                entry.sequence = item.at("sequence").get<std::uint64_t>();
                entry.wallTimeUs = item.at("wallTimeUs").get<std::int64_t>();
                entry.kind = item.at("kind").get<std::string>();
                entry.request = item.at("request").get<std::string>();
                entry.peer = item.at("peer").get<std::string>();
                entry.detail = item.at("detail").get<std::string>();
                after = std::max(after, entry.sequence);
                entries.push_back(std::move(entry));
                ++count;
            }
        } catch (const json::exception &failure) {
            return makeError(error_code::malformed, "read timeline", failure.what(), host);
        }
        // The host may return fewer events than requested, so only a page shorter than the longest one so far is the last.
        longestPageSize = std::max(longestPageSize, count);
        if (count < longestPageSize) {
            break;
        }
    }
    return entries;
}

void sortTimeline(std::vector<timeline_entry> &entries)
{
    std::sort(entries.begin(), entries.end(), [](const timeline_entry &left, const timeline_entry &right) {
        return std::tie(left.wallTimeUs, left.host, left.sequence) < std::tie(right.wallTimeUs, right.host, right.sequence);
    });
}

std::string formatWallTime(std::int64_t wallTimeUs)
{
    constexpr std::int64_t microsecondsPerSecond = 1000000;
    auto microseconds = wallTimeUs % microsecondsPerSecond;
    if (microseconds < 0) {
        microseconds += microsecondsPerSecond;
    }
    const std::time_t seconds = (wallTimeUs - microseconds) / microsecondsPerSecond;
    std::tm parts{};
    if (gmtime_r(&seconds, &parts) == nullptr) {
        return std::to_string(wallTimeUs) + "us";
    }
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(6) << std::setfill('0') << microseconds << 'Z';
    return text.str();
}

std::string timelineText(const std::vector<timeline_entry> &entries)
{
    std::ostringstream text;
    for (const auto &entry : entries) {
        text << formatWallTime(entry.wallTimeUs) << "  " << entry.host << "  " << entry.kind;
        for (const auto &[name, value] : {std::pair<std::string_view, const std::string &>("request", entry.request),
                                          std::pair<std::string_view, const std::string &>("peer", entry.peer),
                                          std::pair<std::string_view, const std::string &>("detail", entry.detail)}) {
            if (!value.empty()) {
                text << "  " << name << '=' << value;
            }
        }
        text << '\n';
    }
    return text.str();
}

std::string timelineJson(const std::vector<timeline_entry> &entries)
{
    json list = json::array();
    for (const auto &entry : entries) {
        list.push_back({{"host", entry.host},
                        {"sequence", entry.sequence},
                        {"wallTimeUs", entry.wallTimeUs},
                        {"kind", entry.kind},
                        {"request", entry.request},
                        {"peer", entry.peer},
                        {"detail", entry.detail}});
    }
    return list.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace orioledrum
