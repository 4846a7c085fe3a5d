#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace orioledrum::history
{

/// The input line that an event was read from, quoted in reports.
struct line_source {
    std::string place; ///< File name and line number.
    std::string text; ///< The line as read, truncated if long.
};

/// One search or order call as the called backend server recorded it. Times are CLOCK_BOOTTIME in microseconds.
struct backend_record {
    line_source source;
    bool isOrder = false;
    std::string backend;
    std::string instance;
    std::string request; ///< Request id of a search, without the number of the attempt; ticket of an order.
    std::string outcome; ///< How the call ended, for example "answered", or "closed" if the sender closed it.
    std::string state; ///< "warm", "cold" or "draining", at the arrival.
    std::string shard;
    std::uint64_t snapshot = 0;
    std::uint64_t layout = 0;
    std::uint64_t slotsInUse = 0; ///< Slots in use at the arrival, excluding this call.
    std::uint64_t usableSlots = 0; ///< Slots usable at the arrival; fewer than all slots during a cold start.
    std::uint64_t runs = 0; ///< Times that the order has been executed, including by this call; 0 if this call did not execute it.
    std::int64_t arrivalUs = 0;
    std::int64_t endUs = 0;
};

/// One search or order request as its caller recorded it. Times are CLOCK_BOOTTIME in microseconds.
struct caller_sample {
    line_source source;
    bool isOrder = false;
    std::string hostAddress; ///< Address on which the entry host accepts callers.
    std::string outcome;
    std::string code;
    std::string query;
    std::string request; ///< Request id stated in the answer to a search; empty without this answer.
    std::string ticket; ///< Ticket of an order; empty if the order got none.
    std::optional<std::int64_t> sentAtUs; ///< When the search or the order itself was sent, not the request for its ticket.
    std::optional<std::int64_t> endedAtUs;
    std::optional<std::int64_t> deadlineUs; ///< Time allowed, counted from sentAtUs.
    int status = 0; ///< HTTP status; 0 without an answer.
    std::uint64_t snapshot = 0;
    std::uint64_t layout = 0;
    std::uint64_t shardsTotal = 0;
    std::uint64_t shardsAnswered = 0;
    std::uint64_t missingShards = 0; ///< Shards without an answer, for any reason.
    std::uint64_t lostShards = 0; ///< Missing shards whose call failed or was refused.
    double coverage = 0; ///< Answered share of the shards, as the answer states it.
    bool complete = false; ///< True if the answer states that all shards answered.
    std::uint64_t limit = 0; ///< Maximum number of results requested; 0 when unknown.
    std::vector<std::string> results;
    bool resultsRecorded = false; ///< True if the file of this sample records results, even when this answer has none.

    /// @return True for a search that was answered.
    [[nodiscard]] bool isAnsweredSearch() const { return !isOrder && outcome == "answered"; }
};

/// One event from the timeline of an entry host.
struct host_event {
    line_source source;
    std::string host;
    std::string incarnation; ///< Identifies the process of the host; empty if the timeline does not state it.
    std::uint64_t sequence = 0; ///< Counts the events of one process from 1.
    std::int64_t wallUs = 0; ///< Wall clock time in microseconds.
    std::string kind;
    std::string detail; ///< Revision for configApplied; revision, a space and the reason for configRejected.
};

/// An operator's action, or a fact about the deployment that the run's script recorded. Fields that a kind does not use are empty.
struct operator_event {
    line_source source;
    std::string kind; ///< Value of the JSON key "event".
    std::int64_t atUs = 0; ///< When the action was acknowledged; CLOCK_BOOTTIME in microseconds, as requestedUs.
    std::string zone;
    std::string backend;
    std::string host;
    std::string process; ///< Process that was killed, paused, resumed or started.
    std::string service;
    std::uint64_t revision = 0;
    std::int64_t requestedUs = 0; ///< When the action was requested; equals atUs if the event does not state it.
    std::optional<std::set<std::string>> zonesOut; ///< All availability zones that a published revision takes out of service.
    std::int64_t balancerDelayUs = 0; ///< Time after the start of a stop in which the load balancer still sends requests to the host.
    int exitCode = 0;
    std::string promise; ///< Promise to which an expected verdict applies.
    std::string verdict; ///< Expected verdict, for replays.
};

/// Everything that was read about one run.
struct recorded_history {
    std::vector<backend_record> records;
    std::vector<caller_sample> samples;
    std::vector<host_event> hostEvents;
    std::vector<operator_event> operatorEvents; ///< In order of atUs once the history is complete.
    std::map<std::string, std::string> zoneOfBackend;
    std::map<std::string, std::string> hostOfAddress; ///< Id of an entry host by the address on which it accepts callers.
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> shardsOfLayout; ///< By service and layout.
    std::map<std::string, std::string> serviceOfBackend;
    std::optional<std::int64_t> wallMinusBootUs; ///< Wall clock minus CLOCK_BOOTTIME, in microseconds.
};

} // namespace orioledrum::history
