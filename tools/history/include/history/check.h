#pragma once

#include <history/promise_result.h>

#include <chrono>

namespace orioledrum::history
{

/// Limits and parameters of the checks that the promises themselves don't state.
struct check_settings {
    /// Time for which a backend server may still get new work after it starts to leave or drain, or its availability
    /// zone is taken out of service.
    std::chrono::microseconds noNewWorkAfter{std::chrono::seconds{6}};
    /// Time within which each running entry host must apply or reject a published revision.
    std::chrono::microseconds maxActivationDelay{std::chrono::seconds{6}};
    std::chrono::microseconds deadlineGrace{0}; ///< Added to each deadline to allow for delays in the load generator itself.
    /// Longest time assumed from the sending of a call to its arrival at the backend server.
    std::chrono::microseconds maxTransit{std::chrono::milliseconds{20}};
    /// Count calls above the usable slots of a cold backend server, but don't report them, if they were sent before the first response,
    /// interrupted call or closed connection could tell the sender about the cold start.
    bool allowColdBeforeFirstResponse = false;
    std::uint32_t hitsPerShard = 3; ///< Hits that each shard of the stand-ins holds for a query.
};

/// Checks each promise against the recorded events.
/// @return One result per promise, in the order of their numbers, which start at 1.
std::vector<promise_result> checkHistory(const recorded_history &events, const check_settings &settings);

/// Compares results with the expected verdicts (events "expect") of the history.
/// @return One line for each expected verdict that differs from the result or names an unknown promise.
std::vector<std::string> compareWithExpected(const recorded_history &events, const std::vector<promise_result> &results);

} // namespace orioledrum::history
