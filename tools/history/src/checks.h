#pragma once

#include <history/check.h>

#include <map>
#include <unordered_map>

namespace orioledrum::history
{

/// A history and its settings, with indexes that several checks share.
struct check_context {
    /// The history and the settings must outlive the context.
    check_context(const recorded_history &recordedEvents, const check_settings &checkSettings);

    const recorded_history &events;
    const check_settings &settings;
    std::unordered_map<std::string, std::vector<const backend_record *>> searchCallsByRequest;
    std::unordered_map<std::string, std::vector<const backend_record *>> orderCallsByTicket;
    std::int64_t lastEventUs = 0; ///< Latest time of any recorded call, sample or operator event.

    /// @return True if the process was paused or, after a kill, down at any time between fromUs and toUs. Planned stops do not count.
    [[nodiscard]] bool wasDownOrPaused(const std::string &process, std::int64_t fromUs, std::int64_t toUs) const;
    /// @return Id of the entry host that accepts callers on this address, or the address itself if no event names the host.
    [[nodiscard]] std::string hostForAddress(const std::string &address) const;
};

/// One check for each promise, in the order of their numbers. checkHistory() sets promise_result::number.
promise_result checkSnapshot(const check_context &context);
promise_result checkCoverage(const check_context &context);
promise_result checkCold(const check_context &context);
promise_result checkZones(const check_context &context);
promise_result checkAnswers(const check_context &context);
promise_result checkNotRun(const check_context &context);
promise_result checkAtMostOnce(const check_context &context);
promise_result checkLeaving(const check_context &context);
promise_result checkPlannedStops(const check_context &context);
promise_result checkConfiguration(const check_context &context);

} // namespace orioledrum::history
