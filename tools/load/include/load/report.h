#pragma once

#include <load/sample.h>

#include <chrono>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// What the report needs to know about the run.
struct report_context {
    double searchesPerSecond = 0;
    double ordersPerSecond = 0;
    std::chrono::microseconds warmup{0}; ///< Requests scheduled before this time are left out.
    std::chrono::microseconds duration{0};
    std::chrono::milliseconds deadline{0};
    std::uint64_t seed = 0;
};

/// @param values Sorted in ascending order, not empty.
/// @param fraction In (0,1].
/// @return The smallest value with at least that fraction of all values at or below it.
double percentile(const std::vector<double> &values, double fraction);

/// @return The report as JSON text.
std::string reportAsJson(const std::vector<sample> &samples, const report_context &context);

/// @return The same figures as text for a terminal.
std::string reportAsText(const std::vector<sample> &samples, const report_context &context);

} // namespace orioledrum::load
