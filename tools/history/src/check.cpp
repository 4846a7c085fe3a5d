#include "checks.h"

#include <algorithm>

namespace orioledrum::history
{

check_context::check_context(const recorded_history &recordedEvents, const check_settings &checkSettings)
    : events(recordedEvents)
    , settings(checkSettings)
{
    for (const auto &record : recordedEvents.records) {
        (record.isOrder ? orderCallsByTicket : searchCallsByRequest)[record.request].push_back(&record);
        lastEventUs = std::max(lastEventUs, record.endUs);
    }
    for (const auto &sample : recordedEvents.samples) {
        lastEventUs = std::max(lastEventUs, sample.endedAtUs.value_or(0));
    }
    for (const auto &event : recordedEvents.operatorEvents) {
        lastEventUs = std::max(lastEventUs, event.atUs);
    }
}

bool check_context::wasDownOrPaused(const std::string &process, std::int64_t fromUs, std::int64_t toUs) const
{
    bool downOrPaused = false;
    for (const auto &event : events.operatorEvents) {
        if (event.process != process || event.atUs > toUs) {
            continue;
        }
        if (event.kind == "kill" || event.kind == "pause") {
            downOrPaused = true;
        } else if (event.kind == "resume" || event.kind == "start") {
            if (downOrPaused && event.atUs >= fromUs) {
                return true;
            }
            downOrPaused = false;
        }
    }
    return downOrPaused;
}

std::string check_context::hostForAddress(const std::string &address) const
{
    const auto found = events.hostOfAddress.find(address);
    return found == events.hostOfAddress.end() ? address : found->second;
}

std::string_view toString(verdict value)
{
    switch (value) {
    case verdict::held:
        return "held";
    case verdict::violated:
        return "violated";
    case verdict::notDecidable:
        break;
    }
    return "notDecidable";
}

verdict promise_result::decision() const
{
    if (!violations.empty()) {
        return verdict::violated;
    }
    return checked > 0 && missingEvidence.empty() ? verdict::held : verdict::notDecidable;
}

std::vector<promise_result> checkHistory(const recorded_history &events, const check_settings &settings)
{
    const check_context context(events, settings);
    std::vector<promise_result> results;
    for (const auto check : {checkSnapshot,
                             checkCoverage,
                             checkCold,
                             checkZones,
                             checkAnswers,
                             checkNotRun,
                             checkAtMostOnce,
                             checkLeaving,
                             checkPlannedStops,
                             checkConfiguration}) {
        results.push_back(check(context));
        results.back().number = static_cast<int>(results.size());
    }
    return results;
}

std::vector<std::string> compareWithExpected(const recorded_history &events, const std::vector<promise_result> &results)
{
    std::vector<std::string> differences;
    for (const auto &event : events.operatorEvents) {
        if (event.kind != "expect") {
            continue;
        }
        const auto found =
            std::find_if(results.begin(), results.end(), [&event](const promise_result &result) { return result.name == event.promise; });
        if (found == results.end()) {
            differences.push_back(event.source.place + ": unknown promise " + event.promise);
        } else if (event.verdict != toString(found->decision())) {
            differences.push_back(event.source.place + ": " + event.promise + " is " + std::string(toString(found->decision()))
                                  + ", expected " + event.verdict);
        }
    }
    return differences;
}

} // namespace orioledrum::history
