#pragma once

#include <history/check.h>

#include <map>
#include <unordered_map>

namespace orioledrum::history
{

/// A history with the indexes that several checks need.
struct check_context {
    check_context(const recorded_history &source, const check_settings &chosen);

    const recorded_history &events;
    const check_settings &settings;
    std::unordered_map<std::string, std::vector<const backend_record *>> searchCallsByRequest; ///< By request.
    std::unordered_map<std::string, std::vector<const backend_record *>> orderCallsByTicket; ///< By ticket.
    std::int64_t lastEventUs = 0; ///< Latest time of any record, sample or operator's event.

    /// @return True when the process was killed or stood still at some time between the two times.
    [[nodiscard]] bool wasDownOrPaused(const std::string &process, std::int64_t fromUs, std::int64_t toUs) const;
    /// @return Identifier of the entry host with this caller address, or the address itself.
    [[nodiscard]] std::string hostForAddress(const std::string &address) const;
};

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
