#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace orioledrum::history
{

/// Where a line was read, for reports.
struct line_source {
    std::string place; ///< File name and line number.
    std::string text; ///< The line as read, cut when it is long.
};

/// One call recorded by a backend server. Times are CLOCK_BOOTTIME in microseconds.
struct backend_record {
    line_source source;
    bool isOrder = false;
    std::string backend;
    std::string instance;
    std::string request; ///< Caller's request of a search, without the attempt; the ticket of an order.
    std::string outcome;
    std::string state;
    std::string shard;
    std::uint64_t snapshot = 0;
    std::uint64_t layout = 0;
    std::uint64_t slotsInUse = 0; ///< Slots in use at the arrival, this call not counted.
    std::uint64_t usableSlots = 0;
    std::uint64_t runs = 0;
    std::int64_t arrivalUs = 0;
    std::int64_t endUs = 0;
};

/// What a caller saw of one request. Times are CLOCK_BOOTTIME in microseconds.
struct caller_sample {
    line_source source;
    bool isOrder = false;
    std::string hostAddress; ///< Caller address of the entry host.
    std::string outcome;
    std::string code;
    std::string query;
    std::string request;
    std::string ticket;
    std::optional<std::int64_t> sentAtUs; ///< Of the search or of the order itself, not of its ticket.
    std::optional<std::int64_t> endedAtUs;
    std::optional<std::int64_t> deadlineUs;
    int status = 0; ///< 0 without an answer.
    std::uint64_t snapshot = 0;
    std::uint64_t layout = 0;
    std::uint64_t shardsTotal = 0;
    std::uint64_t shardsAnswered = 0;
    std::uint64_t missingShards = 0; ///< Sum over all reasons.
    std::uint64_t lostShards = 0; ///< Missing because the call failed or was refused.
    double coverage = 0;
    bool complete = false;
    std::uint64_t limit = 0; ///< Results asked for; 0 when unknown.
    std::vector<std::string> results;
    bool resultsRecorded = false; ///< False when the samples were written without results.

    /// @return True for a search that was answered.
    [[nodiscard]] bool isAnsweredSearch() const { return !isOrder && outcome == "answered"; }
};

/// One event of the time line of an entry host.
struct host_event {
    line_source source;
    std::string host;
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::int64_t wallUs = 0;
    std::string kind;
    std::string detail;
};

/// What an operator did. Fields that the event does not have are empty.
struct operator_event {
    line_source source;
    std::string kind;
    std::int64_t atUs = 0;
    std::string zone;
    std::string backend;
    std::string host;
    std::string process; ///< Killed, paused, resumed or started process.
    std::string service;
    std::uint64_t revision = 0;
    std::int64_t requestedUs = 0; ///< When the action was asked for; atUs is when it was acknowledged.
    std::optional<std::set<std::string>> zonesOut; ///< All zones out in a published revision.
    std::int64_t balancerDelayUs = 0;
    int exitCode = 0;
    std::string promise;
    std::string verdict;
};

/// All that was read of one run.
struct recorded_history {
    std::vector<backend_record> records;
    std::vector<caller_sample> samples;
    std::vector<host_event> hostEvents;
    std::vector<operator_event> operatorEvents; ///< In order of time.
    std::map<std::string, std::string> zoneOfBackend;
    std::map<std::string, std::string> hostOfAddress; ///< Entry host by caller address.
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> shardsOfLayout; ///< By service and layout.
    std::map<std::string, std::string> serviceOfBackend;
    std::optional<std::int64_t> wallMinusBootUs;
};

} // namespace orioledrum::history
