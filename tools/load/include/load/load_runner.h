#pragma once

#include <load/arrival.h>
#include <load/sample.h>

#include <chrono>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// How requests are sent.
struct load_settings {
    std::vector<std::string> hosts; ///< "ip:port" of the entry hosts.
    std::size_t threads = 1;
    std::chrono::milliseconds deadline{79};
    double minCoverage = 0.99;
    std::uint32_t limit = 10;
    int priority = -1; ///< -1 to send none.
    std::chrono::milliseconds timeout{2000}; ///< Longest wait for one answer.
    bool keepResults = false;
};

/// Sends every arrival at its time, whether or not earlier ones have ended, and waits for all of them to end.
/// @return One sample for each arrival, in the order of their scheduled times.
std::vector<sample> runLoad(const load_settings &settings, const std::vector<arrival> &arrivals);

} // namespace orioledrum::load
