#pragma once

#include <history/promise_result.h>

#include <chrono>

namespace orioledrum::history
{

/// Bounds that the promises leave open.
struct check_settings {
    std::chrono::microseconds noNewWorkAfter{std::chrono::seconds{6}};
    std::chrono::microseconds inForceAfter{std::chrono::seconds{6}};
    std::chrono::microseconds deadlineGrace{0}; ///< Added to each deadline, for delays of the load generator itself.
    std::chrono::microseconds maxTransit{std::chrono::milliseconds{20}}; ///< Greatest time of an answer or call on the network.
    bool allowColdBeforeFirstResponse = false; ///< Count, but do not report, excess calls sent before the owner could know of a cold turn.
    std::uint32_t hitsPerShard = 3; ///< Hits that each shard of the stand-in holds for a query.
};

/// Decides each promise, in the order of their numbers.
std::vector<promise_result> checkHistory(const recorded_history &events, const check_settings &settings);

/// Compares results with the stated outcomes (events "expect") of the history.
/// @return One line for each outcome that differs or names no promise.
std::vector<std::string> compareWithExpected(const recorded_history &events, const std::vector<promise_result> &results);

} // namespace orioledrum::history
