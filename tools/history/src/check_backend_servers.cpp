#include "checks.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace orioledrum::history
{

namespace
{

/// Later than every recorded time; stands for an event that the history does not contain.
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/// @return True if the call ended with an answer, a refusal or a broken connection, which the sender notices.
bool reachesSender(const backend_record &record)
{
    return record.outcome != "closed" && record.outcome != "never";
}

/// A period in which a backend server is leaving or draining, or an availability zone is out of service. Either startEvent or
/// firstDrainingCall is set.
struct no_work_period {
    std::int64_t fromUs = 0;
    std::int64_t toUs = never;
    const operator_event *startEvent = nullptr; ///< Operator event that starts the period.
    const backend_record *firstDrainingCall = nullptr; ///< First call that found the backend server draining, without an operator event.
};

/// Reports calls that arrived in the period, but later than check_settings::noNewWorkAfter after its start.
/// @param cause What started the period, for the text of a violation.
/// @return True if the period and the history last longer than noNewWorkAfter, so that the period counts as checked.
bool checkNoNewWork(const check_context &context,
                    const no_work_period &period,
                    const std::vector<const backend_record *> &calls,
                    const std::string &cause,
                    promise_result &result)
{
    const std::int64_t allowedUntilUs = period.fromUs + context.settings.noNewWorkAfter.count();
    for (const auto *call : calls) {
        if (call->arrivalUs > allowedUntilUs && call->arrivalUs < period.toUs) {
            const auto &causeSource = period.startEvent != nullptr ? period.startEvent->source : period.firstDrainingCall->source;
            result.violations.push_back(
                {call->backend + " got new work " + std::to_string((call->arrivalUs - period.fromUs) / 1000) + " ms after " + cause,
                 {causeSource, call->source}});
        }
    }
    return context.lastEventUs > allowedUntilUs && period.toUs > allowedUntilUs;
}

/// @param isSameSubject Selects the events of one backend server or availability zone.
/// @return The periods from each event of startKind to the next event of one of endKinds.
std::vector<no_work_period> periodsBetween(const check_context &context,
                                           const std::string &startKind,
                                           const std::vector<std::string> &endKinds,
                                           const std::function<bool(const operator_event &)> &isSameSubject)
{
    std::vector<no_work_period> periods;
    bool inPeriod = false;
    for (const auto &event : context.events.operatorEvents) {
        if (!isSameSubject(event)) {
            continue;
        }
        if (event.kind == startKind && !inPeriod) {
            periods.push_back({event.atUs, never, &event, nullptr});
            inPeriod = true;
        } else if (inPeriod && std::find(endKinds.begin(), endKinds.end(), event.kind) != endKinds.end()) {
            periods.back().toUs = event.atUs;
            inPeriod = false;
        }
    }
    return periods;
}

std::map<std::string, std::vector<const backend_record *>> callsByBackend(const check_context &context)
{
    std::map<std::string, std::vector<const backend_record *>> calls;
    for (const auto &record : context.events.records) {
        calls[record.backend].push_back(&record);
    }
    return calls;
}

/// The times from which senders can know about a cold start.
struct cold_start {
    /// When a restart closed the connections. A sender notices the end of an idle connection only if it watches that connection.
    std::int64_t connectionsClosedUs = never;
    std::int64_t firstResponseUs = never; ///< End of the first answered, refused or interrupted call after the cold start.
};

/// The cold starts of one backend server, from operator events and recorded calls.
class cold_starts
{
public:
    cold_starts(const check_context &context, const std::string &backend, const std::vector<const backend_record *> &calls)
    {
        for (const auto &event : context.events.operatorEvents) {
            if (event.backend == backend && (event.kind == "coldTurn" || event.kind == "backendRestart")) {
                const bool restart = event.kind == "backendRestart";
                const std::int64_t startUs = coldStartTime(event, restart, calls);
                m_coldStarts[startUs].connectionsClosedUs = restart ? startUs : never;
            }
        }
        // The first cold call of a new instance, or after a warm call, proves a cold start even without an operator event.
        const backend_record *previous = nullptr;
        for (const auto *call : calls) {
            const bool firstColdCall = previous == nullptr || previous->instance != call->instance || previous->state != "cold";
            if (call->state == "cold" && firstColdCall) {
                const auto next = m_coldStarts.upper_bound(call->arrivalUs);
                const bool alreadyKnown =
                    next != m_coldStarts.begin() && (previous == nullptr || std::prev(next)->first >= previous->arrivalUs);
                if (!alreadyKnown) {
                    m_coldStarts.try_emplace(call->arrivalUs);
                }
            }
            previous = call;
        }
        for (const auto *call : calls) {
            const auto next = m_coldStarts.upper_bound(call->endUs);
            if (reachesSender(*call) && next != m_coldStarts.begin()) {
                auto &firstResponseUs = std::prev(next)->second.firstResponseUs;
                firstResponseUs = std::min(firstResponseUs, call->endUs);
            }
        }
    }

    /// @return The latest cold start at or before that time.
    [[nodiscard]] cold_start latestAt(std::int64_t timeUs) const
    {
        const auto next = m_coldStarts.upper_bound(timeUs);
        return next == m_coldStarts.begin() ? cold_start() : std::prev(next)->second;
    }

private:
    /// @return The time of a cold start. The event gives only the span from its request to its acknowledgement; a recorded call that
    /// proves the cold start within this span gives a more exact time.
    /// @param restart True for a restart, which starts a new instance, false for an instance that only becomes cold.
    static std::int64_t coldStartTime(const operator_event &event, bool restart, const std::vector<const backend_record *> &calls)
    {
        std::int64_t startUs = event.atUs;
        const auto consider = [&](std::int64_t timeUs) { startUs = timeUs >= event.requestedUs ? std::min(startUs, timeUs) : startUs; };
        const backend_record *previous = nullptr;
        for (const auto *call : calls) {
            if (restart && call->outcome == "restarted") {
                consider(call->endUs);
            }
            const bool showsColdStart = restart ? previous != nullptr && previous->instance != call->instance : call->state == "cold";
            if (showsColdStart) {
                consider(call->arrivalUs);
            }
            previous = call;
        }
        return startUs;
    }

    std::map<std::int64_t, cold_start> m_coldStarts; ///< By the time of the cold start.
};

} // namespace

promise_result checkCold(const check_context &context)
{
    promise_result result{0, "cold", "A backend server in a cold start never gets more calls than it has usable slots.", 0, {}, {}, {}};
    // These names say when the call was sent. "FirstWord" is the first answered, refused or interrupted call after the cold start.
    result.counts["beforeFirstWord"] = 0;
    result.counts["afterClosedConnection"] = 0;
    result.counts["afterFirstWord"] = 0;
    for (const auto &[backend, calls] : callsByBackend(context)) {
        const cold_starts coldStarts(context, backend, calls);
        for (const auto *call : calls) {
            if (call->state != "cold") {
                continue;
            }
            ++result.checked;
            if (call->slotsInUse < call->usableSlots) {
                continue;
            }
            const auto coldStart = coldStarts.latestAt(call->arrivalUs);
            const std::int64_t earliestSentUs = call->arrivalUs - context.settings.maxTransit.count();
            const bool afterFirstResponse = coldStart.firstResponseUs < earliestSentUs;
            const bool afterConnectionsClosed = !afterFirstResponse && coldStart.connectionsClosedUs < earliestSentUs;
            ++result.counts[afterFirstResponse ? "afterFirstWord" : (afterConnectionsClosed ? "afterClosedConnection" : "beforeFirstWord")];
            if (!afterFirstResponse && !afterConnectionsClosed && context.settings.allowColdBeforeFirstResponse) {
                continue;
            }
            const std::string sentPhase = afterFirstResponse
                ? "after the first answered, refused or interrupted call of the cold start"
                : (afterConnectionsClosed ? "after the restart closed the connections, before any answer"
                                          : "before the sender could know of the cold start");
            std::vector<line_source> evidence{call->source};
            for (const auto *otherCall : calls) {
                const bool overlaps = otherCall != call && otherCall->arrivalUs <= call->arrivalUs && otherCall->endUs > call->arrivalUs;
                if (overlaps && otherCall->instance == call->instance) {
                    evidence.push_back(otherCall->source);
                }
            }
            std::string text = backend;
            text.append(" got a call during a cold start with ").append(std::to_string(call->slotsInUse)).append(" calls running and ");
            text.append(std::to_string(call->usableSlots)).append(" usable slots, sent ").append(sentPhase);
            result.violations.push_back({std::move(text), std::move(evidence)});
        }
    }
    if (result.checked == 0) {
        result.missingEvidence.emplace_back("recorded calls to a cold backend server");
    }
    return result;
}

promise_result checkZones(const check_context &context)
{
    promise_result result{
        0, "zoneOut", "An availability zone that is taken out of service gets no new work after a few seconds.", 0, {}, {}, {}};
    std::set<std::string> zones;
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind == "zoneOut") {
            zones.insert(event.zone);
        }
    }
    for (const auto &zone : zones) {
        std::vector<const backend_record *> calls;
        bool hasBackendServers = false;
        for (const auto &[backend, backendZone] : context.events.zoneOfBackend) {
            hasBackendServers = hasBackendServers || backendZone == zone;
        }
        if (!hasBackendServers) {
            result.missingEvidence.push_back("the backend servers of zone " + zone + " (events backendServer)");
            continue;
        }
        for (const auto &record : context.events.records) {
            const auto zoneEntry = context.events.zoneOfBackend.find(record.backend);
            if (zoneEntry != context.events.zoneOfBackend.end() && zoneEntry->second == zone) {
                calls.push_back(&record);
            }
        }
        const auto isSameSubject = [&zone](const operator_event &event) { return event.zone == zone; };
        for (const auto &period : periodsBetween(context, "zoneOut", {"zoneIn"}, isSameSubject)) {
            result.checked += checkNoNewWork(context, period, calls, "zone " + zone + " was taken out of service", result) ? 1 : 0;
        }
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    }
    if (zones.empty()) {
        result.missingEvidence.emplace_back("a zone taken out of service (event zoneOut)");
    } else if (result.checked == 0) {
        result.missingEvidence.emplace_back(
            "a history that continues for longer than --no-new-work-s after a zone was taken out of service");
    }
    return result;
}

promise_result checkLeaving(const check_context &context)
{
    promise_result result{0, "leaving", "A leaving backend server gets no new work after a few seconds.", 0, {}, {}, {}};
    bool hasLeavingOrDraining = false;
    auto calls = callsByBackend(context);
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind == "backendLeaving" || event.kind == "backendDraining") {
            calls.try_emplace(event.backend); // A backend server without calls is checked too.
        }
    }
    for (const auto &[backend, backendCalls] : calls) {
        const auto isSameSubject = [&name = backend](const operator_event &event) { return event.backend == name; };
        for (const auto &period : periodsBetween(context, "backendLeaving", {"backendLive"}, isSameSubject)) {
            hasLeavingOrDraining = true;
            result.checked += checkNoNewWork(context, period, backendCalls, "it was listed as leaving", result) ? 1 : 0;
        }
        const auto drainingPeriods = periodsBetween(context, "backendDraining", {"backendUndrained", "backendRestart"}, isSameSubject);
        for (const auto &period : drainingPeriods) {
            hasLeavingOrDraining = true;
            result.checked += checkNoNewWork(context, period, backendCalls, "it began to drain", result) ? 1 : 0;
        }
        // Without an event backendDraining, each sequence of calls that found one instance draining defines a period.
        no_work_period observed;
        for (std::size_t index = 0; index < backendCalls.size() && drainingPeriods.empty(); ++index) {
            const auto *call = backendCalls[index];
            const bool draining = call->state == "draining"
                && (observed.firstDrainingCall == nullptr || observed.firstDrainingCall->instance == call->instance);
            if (draining && observed.firstDrainingCall == nullptr) {
                observed = {call->arrivalUs, never, nullptr, call};
            }
            const bool periodEnds = observed.firstDrainingCall != nullptr && !draining;
            if (periodEnds) {
                observed.toUs = call->arrivalUs;
            }
            if (periodEnds || (observed.firstDrainingCall != nullptr && index + 1 == backendCalls.size())) {
                hasLeavingOrDraining = true;
                result.checked += checkNoNewWork(context, observed, backendCalls, "it was first seen draining", result) ? 1 : 0;
                observed = {};
                if (call->state == "draining" && periodEnds) {
                    observed = {call->arrivalUs, never, nullptr, call};
                }
            }
        }
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    }
    if (!hasLeavingOrDraining) {
        result.missingEvidence.emplace_back("a leaving or draining backend server");
    } else if (result.checked == 0) {
        result.missingEvidence.emplace_back(
            "a history that continues for longer than --no-new-work-s after a backend server began to leave or drain");
    }
    return result;
}

} // namespace orioledrum::history
