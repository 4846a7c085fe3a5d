#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// Times and outcome of one request. Times count from the start of the run unless stated otherwise.
struct sample {
    bool isOrder = false; ///< False for a search.
    std::string service;
    std::string customer;
    std::string query;
    std::string host; ///< "ip:port" of the entry host.
    std::chrono::microseconds scheduled{0};
    std::chrono::microseconds sent{0}; ///< When the search, or the request for the ticket of an order, was sent.
    std::chrono::microseconds ended{0};
    std::chrono::microseconds orderSent{0}; ///< When the order was sent, after its ticket had arrived; 0 when it was not sent.
    std::chrono::microseconds runStart{0}; ///< Start of the run on CLOCK_BOOTTIME, to align samples with the backend stand-in's recording.
    std::chrono::microseconds deadline{0}; ///< Allowed duration, counted from the sending of the search or order.
    std::uint32_t limit = 0; ///< Results requested; 0 for orders.
    int status = 0; ///< HTTP status of the answer to the last request that was sent; 0 without this answer.
    /// Searches: answered, refused (any HTTP status but 200), failed (no answer or a malformed one). Orders: ran, notRun, unknown.
    std::string outcome;
    std::string code; ///< Error code, `noAnswer`, `malformedAnswer` or `none`; empty when the outcome is answered or ran.
    std::string message;
    std::string requestId;
    std::string ticket;
    std::uint64_t snapshot = 0;
    std::uint64_t layout = 0;
    std::uint64_t shardsTotal = 0;
    std::uint64_t shardsAnswered = 0;
    double coverage = 0; ///< Share of answered shards as the answer states it, between 0 and 1.
    bool complete = false;
    std::map<std::string, std::uint64_t> missing; ///< Number of missing shards by reason.
    std::vector<std::string> results; ///< Identifiers of the results; empty unless load_settings::keepResults is set.

    /// @return Time from the scheduled time to the end, including any send delay of the load generator itself.
    [[nodiscard]] std::chrono::microseconds latency() const { return ended - scheduled; }

    /// @return True for an answered search and for an order that ran.
    [[nodiscard]] bool succeeded() const { return outcome == "answered" || outcome == "ran"; }
};

/// Fills in the sample from the answer to a search. The outcome is `answered`, `refused` when the status is not 200, or `failed` when the
/// answer is malformed.
/// @param keepResults True to store the identifiers of the results.
void readSearchAnswer(int status, const std::string &body, bool keepResults, sample &result);

/// Fills in the sample from the answer to an order. An answer without a valid outcome sets the outcome to `unknown`.
void readOrderAnswer(int status, const std::string &body, sample &result);

/// @return The sample as a JSON object without line breaks.
std::string toJsonLine(const sample &entry);

} // namespace orioledrum::load
