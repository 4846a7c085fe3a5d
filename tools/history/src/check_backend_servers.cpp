#include "checks.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace orioledrum::history
{

namespace
{

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/// Outcomes that reach the sender as an answer, a refusal or a closed connection.
bool givesWord(const backend_record &record)
{
    return record.outcome != "closed" && record.outcome != "never";
}

/// The times in which a backend server or zone must get no new work.
struct closed_period {
    std::int64_t fromUs = 0;
    std::int64_t toUs = never;
    const operator_event *began = nullptr; ///< Nothing when a recorded call shows the state.
    const backend_record *shown = nullptr;
};

/// Reports the calls of one backend server that arrived after the stated time.
/// @return True when the history reaches past that time.
bool checkPeriod(const check_context &context,
                 const closed_period &period,
                 const std::vector<const backend_record *> &calls,
                 const std::string &what,
                 promise_result &result)
{
    const std::int64_t from = period.fromUs + context.settings.noNewWorkAfter.count();
    for (const auto *call : calls) {
        if (call->arrivalUs > from && call->arrivalUs < period.toUs) {
            const auto &cause = period.began != nullptr ? period.began->source : period.shown->source;
            result.violations.push_back(
                {call->backend + " got new work " + std::to_string((call->arrivalUs - period.fromUs) / 1000) + " ms after " + what,
                 {cause, call->source}});
        }
    }
    return context.lastEventUs > from && period.toUs > from;
}

/// @return The times between an event with the first name and the next one with one of the others, for the same subject.
std::vector<closed_period> periods(const check_context &context,
                                   const std::string &opening,
                                   const std::vector<std::string> &closing,
                                   const std::function<bool(const operator_event &)> &concerns)
{
    std::vector<closed_period> found;
    bool open = false;
    for (const auto &event : context.events.operatorEvents) {
        if (!concerns(event)) {
            continue;
        }
        if (event.kind == opening && !open) {
            found.push_back({event.atUs, never, &event, nullptr});
            open = true;
        } else if (open && std::find(closing.begin(), closing.end(), event.kind) != closing.end()) {
            found.back().toUs = event.atUs;
            open = false;
        }
    }
    return found;
}

std::map<std::string, std::vector<const backend_record *>> byBackend(const check_context &context)
{
    std::map<std::string, std::vector<const backend_record *>> calls;
    for (const auto &record : context.events.records) {
        calls[record.backend].push_back(&record);
    }
    return calls;
}

/// When the senders could know of a cold turn.
struct cold_turn {
    std::int64_t closedUs = never; ///< Connections closed by a restart; an idle one shows it only to a sender that watches it.
    std::int64_t callUs = never; ///< First answer, refusal or cut call.
};

/// The cold turns of one backend server.
class cold_turns
{
public:
    cold_turns(const check_context &context, const std::string &backend, const std::vector<const backend_record *> &calls)
    {
        for (const auto &event : context.events.operatorEvents) {
            if (event.backend == backend && (event.kind == "coldTurn" || event.kind == "backendRestart")) {
                const bool restart = event.kind == "backendRestart";
                const std::int64_t turnUs = exactTime(event, restart, calls);
                m_turns[turnUs].closedUs = restart ? turnUs : never;
            }
        }
        // A new instance or the first cold call after a warm one shows a turn that no operator's event states.
        const backend_record *previous = nullptr;
        for (const auto *call : calls) {
            const bool turned = previous == nullptr || previous->instance != call->instance || previous->state != "cold";
            if (call->state == "cold" && turned) {
                const auto next = m_turns.upper_bound(call->arrivalUs);
                const bool stated = next != m_turns.begin() && (previous == nullptr || std::prev(next)->first >= previous->arrivalUs);
                if (!stated) {
                    m_turns.try_emplace(call->arrivalUs);
                }
            }
            previous = call;
        }
        for (const auto *call : calls) {
            const auto next = m_turns.upper_bound(call->endUs);
            if (givesWord(*call) && next != m_turns.begin()) {
                auto &word = std::prev(next)->second.callUs;
                word = std::min(word, call->endUs);
            }
        }
    }

    /// @return The latest turn before that time.
    [[nodiscard]] cold_turn at(std::int64_t whenUs) const
    {
        const auto next = m_turns.upper_bound(whenUs);
        return next == m_turns.begin() ? cold_turn() : std::prev(next)->second;
    }

private:
    /// The event states a span of time; the first recorded call that shows the turn in it is more exact.
    static std::int64_t exactTime(const operator_event &event, bool restart, const std::vector<const backend_record *> &calls)
    {
        std::int64_t turnUs = event.atUs;
        const auto consider = [&](std::int64_t whenUs) { turnUs = whenUs >= event.requestedUs ? std::min(turnUs, whenUs) : turnUs; };
        const backend_record *previous = nullptr;
        for (const auto *call : calls) {
            if (restart && call->outcome == "restarted") {
                consider(call->endUs);
            }
            const bool shows = restart ? previous != nullptr && previous->instance != call->instance : call->state == "cold";
            if (shows) {
                consider(call->arrivalUs);
            }
            previous = call;
        }
        return turnUs;
    }

    std::map<std::int64_t, cold_turn> m_turns; ///< By time.
};

} // namespace

promise_result checkCold(const check_context &context)
{
    promise_result result{0, "cold", "A backend server in a cold start never gets more than it bears.", 0, {}, {}, {}};
    result.counts["beforeFirstWord"] = 0;
    result.counts["afterClosedConnection"] = 0;
    result.counts["afterFirstWord"] = 0;
    for (const auto &[backend, calls] : byBackend(context)) {
        const cold_turns turns(context, backend, calls);
        for (const auto *call : calls) {
            if (call->state != "cold") {
                continue;
            }
            ++result.checked;
            if (call->slotsInUse < call->usableSlots) {
                continue;
            }
            const auto turn = turns.at(call->arrivalUs);
            const std::int64_t sentUs = call->arrivalUs - context.settings.maxTransit.count(); // At the earliest.
            const bool afterCall = turn.callUs < sentUs;
            const bool afterClosed = !afterCall && turn.closedUs < sentUs;
            ++result.counts[afterCall ? "afterFirstWord" : (afterClosed ? "afterClosedConnection" : "beforeFirstWord")];
            if (!afterCall && !afterClosed && context.settings.allowColdBeforeFirstResponse) {
                continue;
            }
            const std::string when = afterCall
                ? "after the first answer or cut call of the turn"
                : (afterClosed ? "after the restart closed the connections, before any answer" : "before the first word of the turn");
            std::vector<line_source> shown{call->source};
            for (const auto *other : calls) {
                const bool overlaps = other != call && other->arrivalUs <= call->arrivalUs && other->endUs > call->arrivalUs;
                if (overlaps && other->instance == call->instance) {
                    shown.push_back(other->source);
                }
            }
            std::string text = backend;
            text.append(" got a call with ").append(std::to_string(call->slotsInUse)).append(" running, cold and bearing ");
            text.append(std::to_string(call->usableSlots)).append(", sent ").append(when);
            result.violations.push_back({std::move(text), std::move(shown)});
        }
    }
    if (result.checked == 0) {
        result.missingEvidence.emplace_back("recorded calls to a cold backend server");
    }
    return result;
}

promise_result checkZones(const check_context &context)
{
    promise_result result{0, "zoneOut", "An availability zone taken out gets no new work after a few seconds.", 0, {}, {}, {}};
    std::set<std::string> zones;
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind == "zoneOut") {
            zones.insert(event.zone);
        }
    }
    for (const auto &zone : zones) {
        std::vector<const backend_record *> calls;
        bool known = false;
        for (const auto &[backend, itsZone] : context.events.zoneOfBackend) {
            known = known || itsZone == zone;
        }
        if (!known) {
            result.missingEvidence.push_back("the backend servers of zone " + zone + " (events backendServer)");
            continue;
        }
        for (const auto &record : context.events.records) {
            const auto found = context.events.zoneOfBackend.find(record.backend);
            if (found != context.events.zoneOfBackend.end() && found->second == zone) {
                calls.push_back(&record);
            }
        }
        const auto concerns = [&zone](const operator_event &event) { return event.zone == zone; };
        for (const auto &period : periods(context, "zoneOut", {"zoneIn"}, concerns)) {
            result.checked += checkPeriod(context, period, calls, "zone " + zone + " was taken out", result) ? 1 : 0;
        }
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    }
    if (zones.empty()) {
        result.missingEvidence.emplace_back("a zone taken out (event zoneOut)");
    } else if (result.checked == 0) {
        result.missingEvidence.emplace_back("a history that lasts longer than the stated time after a zone was taken out");
    }
    return result;
}

promise_result checkLeaving(const check_context &context)
{
    promise_result result{0, "leaving", "A leaving backend server gets no new work after a few seconds.", 0, {}, {}, {}};
    bool left = false;
    auto calls = byBackend(context);
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind == "backendLeaving" || event.kind == "backendDraining") {
            calls.try_emplace(event.backend); // It may have got no call at all.
        }
    }
    for (const auto &[backend, itsCalls] : calls) {
        const auto concerns = [&name = backend](const operator_event &event) { return event.backend == name; };
        for (const auto &period : periods(context, "backendLeaving", {"backendLive"}, concerns)) {
            left = true;
            result.checked += checkPeriod(context, period, itsCalls, "it was listed as leaving", result) ? 1 : 0;
        }
        const auto drains = periods(context, "backendDraining", {"backendUndrained", "backendRestart"}, concerns);
        for (const auto &period : drains) {
            left = true;
            result.checked += checkPeriod(context, period, itsCalls, "it began to drain", result) ? 1 : 0;
        }
        // Calls that found the backend server draining show it without an operator's event.
        closed_period shown;
        for (std::size_t index = 0; index < itsCalls.size() && drains.empty(); ++index) {
            const auto *call = itsCalls[index];
            const bool draining = call->state == "draining" && (shown.shown == nullptr || shown.shown->instance == call->instance);
            if (draining && shown.shown == nullptr) {
                shown = {call->arrivalUs, never, nullptr, call};
            }
            const bool ends = shown.shown != nullptr && !draining;
            if (ends) {
                shown.toUs = call->arrivalUs;
            }
            if (ends || (shown.shown != nullptr && index + 1 == itsCalls.size())) {
                left = true;
                result.checked += checkPeriod(context, shown, itsCalls, "it was first seen draining", result) ? 1 : 0;
                shown = {};
                if (call->state == "draining" && ends) {
                    shown = {call->arrivalUs, never, nullptr, call};
                }
            }
        }
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    }
    if (!left) {
        result.missingEvidence.emplace_back("a leaving or draining backend server");
    } else if (result.checked == 0) {
        result.missingEvidence.emplace_back("a history that lasts longer than the stated time after a backend server left");
    }
    return result;
}

} // namespace orioledrum::history
