#pragma once

#include <load/sample.h>

#include <chrono>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// Parameters of the run that the report needs.
struct report_context {
    double searchesPerSecond = 0;
    double ordersPerSecond = 0;
    std::chrono::microseconds warmup{0}; ///< Requests scheduled before this time are excluded.
    std::chrono::microseconds duration{0};
    std::chrono::milliseconds deadline{0};
    std::uint64_t seed = 0;
};

/// Nearest-rank percentile.
/// @param sortedValues Not empty, in ascending order.
/// @param fraction In (0,1].
/// @return The smallest value such that at least `fraction` of all values are less than or equal to it.
double percentile(const std::vector<double> &sortedValues, double fraction);

/// @return The report as JSON text.
std::string reportAsJson(const std::vector<sample> &samples, const report_context &context);

/// @return The main figures of the report as text for a terminal.
std::string reportAsText(const std::vector<sample> &samples, const report_context &context);

} // namespace orioledrum::load
