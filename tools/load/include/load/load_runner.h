#pragma once

#include <load/arrival.h>
#include <load/sample.h>

#include <chrono>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// Target hosts and parameters of the requests.
struct load_settings {
    std::vector<std::string> hosts; ///< "ip:port" of the entry hosts.
    std::size_t threads = 1; ///< Sender threads; arrivals are distributed among them round-robin.
    std::chrono::milliseconds deadline{79}; ///< Deadline sent with each request. Default: 99th-percentile target (docs/design.md).
    double minCoverage = 0.99; ///< Minimum coverage requested per search, between 0 and 1.
    std::uint32_t limit = 10; ///< Results requested per search.
    int priority = -1; ///< Priority of searches; -1 to send none.
    std::chrono::milliseconds timeout{2000}; ///< Timeout of each HTTP request.
    bool keepResults = false; ///< True to store the identifiers of results in the samples.
};

/// Sends each request at its scheduled time, whether or not earlier ones have ended, and waits until all have ended.
/// @return One sample per arrival, sorted by scheduled time.
std::vector<sample> runLoad(const load_settings &settings, const std::vector<arrival> &arrivals);

} // namespace orioledrum::load
