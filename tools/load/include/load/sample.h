#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// What one request experienced. Times count from the start of the run unless stated otherwise.
struct sample {
    bool isOrder = false;
    std::string service;
    std::string customer;
    std::string query;
    std::string host;
    std::chrono::microseconds scheduled{0};
    std::chrono::microseconds sent{0};
    std::chrono::microseconds ended{0};
    std::chrono::microseconds orderSent{0}; ///< When the order itself was sent, after its ticket; 0 without one.
    std::chrono::microseconds runStart{0}; ///< Start of the run on CLOCK_BOOTTIME, the clock of other recordings.
    std::chrono::microseconds deadline{0}; ///< Time allowed from the sending of the search or order.
    std::uint32_t limit = 0; ///< Results asked for; 0 for orders.
    int status = 0; ///< HTTP status of the last answer; 0 without one.
    std::string outcome; ///< Searches: answered, refused, failed. Orders: ran, notRun, unknown.
    std::string code; ///< Error code; empty when answered or ran.
    std::string message;
    std::string requestId;
    std::string ticket;
    std::uint64_t snapshot = 0;
    std::uint64_t layout = 0;
    std::uint64_t shardsTotal = 0;
    std::uint64_t shardsAnswered = 0;
    double coverage = 0;
    bool complete = false;
    std::map<std::string, std::uint64_t> missing; ///< Number of missing shards by reason.
    std::vector<std::string> results; ///< Identifiers of the results, kept when asked for.

    /// @return Time from the scheduled time to the end. It includes any wait of the load generator itself.
    [[nodiscard]] std::chrono::microseconds latency() const { return ended - scheduled; }

    /// @return True for an answered search and for an order that ran.
    [[nodiscard]] bool good() const { return outcome == "answered" || outcome == "ran"; }
};

/// Fills in what the answer to a search says.
/// @param keepResults True to keep the identifiers of the results.
void readSearchAnswer(int status, const std::string &body, bool keepResults, sample &result);

/// Fills in what the answer to an order says; an answer that cannot be read leaves the outcome unknown.
void readOrderAnswer(int status, const std::string &body, sample &result);

/// @return The sample as one line of JSON.
std::string toJsonLine(const sample &entry);

} // namespace orioledrum::load
