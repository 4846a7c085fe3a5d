#include "checks.h"

#include <algorithm>
#include <array>

namespace orioledrum::history
{

namespace
{

/// Errors that a planned stop of another entry host must not cause.
constexpr std::array<std::string_view, 5> stopErrors = {"draining", "unreachable", "notReady", "notOwner", "cancelled"};

struct planned_stop {
    const operator_event *began = nullptr;
    const operator_event *ended = nullptr;
};

std::vector<planned_stop> plannedStops(const check_context &context)
{
    std::vector<planned_stop> stops;
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind == "stop") {
            stops.push_back({&event, nullptr});
        } else if (event.kind == "stopped") {
            const auto open = std::find_if(stops.begin(), stops.end(), [&event](const planned_stop &stop) {
                return stop.ended == nullptr && stop.began->host == event.host;
            });
            if (open != stops.end()) {
                open->ended = &event;
            }
        }
    }
    return stops;
}

/// @return True when some process was killed, paused or the platform changed shortly before or during the time.
bool otherCause(const check_context &context, std::int64_t fromUs, std::int64_t toUs)
{
    return std::any_of(context.events.operatorEvents.begin(), context.events.operatorEvents.end(), [&](const operator_event &event) {
        const bool harmful = event.kind == "kill" || event.kind == "pause" || event.kind == "resume" || event.kind == "backendRestart"
            || event.kind == "coldTurn" || event.kind == "backendChange" || event.kind == "backendDraining"
            || event.kind == "backendLeaving" || event.kind == "zoneOut";
        // Ten seconds cover a takeover (4 s) and the longest deadline of a request begun before it.
        return harmful && event.atUs <= toUs && event.atUs >= fromUs - 10000000;
    });
}

/// @return Why the sample counts as cut by the stop; empty when it does not.
std::string cutBy(const check_context &context, const planned_stop &stop, const caller_sample &sample, bool other)
{
    const std::int64_t began = stop.began->atUs;
    const std::int64_t ended = stop.ended->atUs;
    if (sample.outcome == "ran" || *sample.endedAtUs < began || *sample.sentAtUs > ended) {
        return {};
    }
    if (sample.outcome == "answered") {
        return sample.lostShards > 0 && !other
            ? std::to_string(sample.lostShards) + " shards were lost, without any other cause in the history"
            : "";
    }
    if (context.hostForAddress(sample.hostAddress) == stop.began->host) {
        // Later requests are kept away by the balancer.
        const bool accepted = *sample.sentAtUs <= began + stop.began->balancerDelayUs;
        const bool own = sample.status == 0 || sample.outcome == "unknown"
            || std::find(stopErrors.begin(), stopErrors.end(), sample.code) != stopErrors.end();
        return accepted && own && !context.wasDownOrPaused(stop.began->host, began, ended) ? "the stopping host cut or refused it" : "";
    }
    if (other) {
        return {};
    }
    const bool caused = sample.status == 0 || sample.outcome == "unknown"
        || std::find(stopErrors.begin(), stopErrors.end(), sample.code) != stopErrors.end();
    return caused ? "it failed at another host during the stop, without any other cause in the history" : "";
}

struct incarnation_state {
    std::uint64_t revision = 0;
    const host_event *applied = nullptr;
};

/// Checks that no host applies a revision below one that it applied before.
void checkOrder(const check_context &context, promise_result &result)
{
    std::map<std::string, incarnation_state> hosts;
    for (const auto &event : context.events.hostEvents) {
        if (event.kind != "configApplied") {
            continue;
        }
        ++result.checked;
        const std::uint64_t revision = std::stoull(event.detail);
        auto &state = hosts[event.host];
        if (state.applied != nullptr && revision < state.revision) {
            result.violations.push_back({event.host + " went back from revision " + std::to_string(state.revision) + " to " + event.detail,
                                         {state.applied->source, event.source}});
        }
        state = {revision, &event};
    }
}

/// What the time line of one process shows.
struct process_line {
    std::int64_t firstUs = 0;
    std::vector<const host_event *> events;
};

/// @return True when the process had the revision, or had rejected it, at that time.
bool hasRevision(const process_line &line, const operator_event &published, std::int64_t wallUs)
{
    return std::any_of(line.events.begin(), line.events.end(), [&](const host_event *event) {
        if (event->wallUs > wallUs) {
            return false;
        }
        if (event->kind == "configApplied") {
            return std::stoull(event->detail) >= published.revision;
        }
        return event->kind == "configRejected" && event->detail.starts_with(std::to_string(published.revision) + " ");
    });
}

/// @return True when the host ran from the publication to the end of the time allowed, as one process.
bool ranThrough(const check_context &context, const std::string &host, std::int64_t fromUs, std::int64_t toUs)
{
    if (context.wasDownOrPaused(host, fromUs, toUs)) {
        return false;
    }
    bool running = true;
    for (const auto &event : context.events.operatorEvents) {
        if (event.atUs > toUs) {
            break;
        }
        if ((event.kind == "stop" || event.kind == "stopped") && event.host == host) {
            running = false;
        } else if (event.kind == "start" && event.process == host) {
            // A start within the time allowed gives it less time than the promise states.
            running = event.atUs < fromUs;
        }
    }
    return running;
}

} // namespace

promise_result checkPlannedStops(const check_context &context)
{
    promise_result result{0, "plannedStop", "Every planned stop is a graceful shutdown that cuts no request.", 0, {}, {}, {}};
    bool times = true;
    const auto stops = plannedStops(context);
    for (const auto &stop : stops) {
        if (stop.ended == nullptr) {
            result.missingEvidence.push_back("the end of the stop of " + stop.began->host + " (event stopped)");
            continue;
        }
        if (stop.ended->exitCode != 0) {
            result.violations.push_back(
                {stop.began->host + " ended its planned stop with exit code " + std::to_string(stop.ended->exitCode),
                 {stop.began->source, stop.ended->source}});
        }
        const bool other = otherCause(context, stop.began->atUs, stop.ended->atUs);
        for (const auto &sample : context.events.samples) {
            if (!sample.sentAtUs || !sample.endedAtUs) {
                times = false;
                continue;
            }
            if (*sample.endedAtUs >= stop.began->atUs && *sample.sentAtUs <= stop.ended->atUs) {
                ++result.checked;
            }
            if (const auto reason = cutBy(context, stop, sample, other); !reason.empty()) {
                result.violations.push_back({"a request was cut by the stop of " + stop.began->host + ": " + reason,
                                             {stop.began->source, sample.source, stop.ended->source}});
            }
        }
    }
    if (stops.empty()) {
        result.missingEvidence.emplace_back("a planned stop (events stop and stopped)");
    } else if (result.checked == 0) {
        result.missingEvidence.emplace_back("samples of requests during a planned stop");
    }
    if (!times) {
        result.missingEvidence.emplace_back("absolute times in the samples (sentAtUs, endedAtUs)");
    }
    return result;
}

promise_result checkConfiguration(const check_context &context)
{
    promise_result result{
        0, "configuration", "An accepted configuration is in force everywhere within seconds and never reverts.", 0, {}, {}, {}};
    checkOrder(context, result);
    const bool timeLines = result.checked > 0;
    const host_event *previous = nullptr;
    for (const auto &event : context.events.hostEvents) {
        const bool same = previous != nullptr && previous->host == event.host && previous->incarnation == event.incarnation;
        if (event.sequence != (same ? previous->sequence + 1 : 1)) {
            // The ring of a process drops its oldest events.
            result.missingEvidence.push_back("events of " + event.host + " before sequence " + std::to_string(event.sequence));
        }
        previous = &event;
    }
    std::map<std::string, std::map<std::string, process_line>> hosts;
    for (const auto &event : context.events.hostEvents) {
        auto &line = hosts[event.host][event.incarnation];
        line.firstUs = line.events.empty() ? event.wallUs : std::min(line.firstUs, event.wallUs);
        line.events.push_back(&event);
    }
    bool published = false;
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind != "publish") {
            continue;
        }
        published = true;
        const std::int64_t due = event.atUs + context.settings.inForceAfter.count();
        const bool platformChanged =
            std::any_of(context.events.operatorEvents.begin(), context.events.operatorEvents.end(), [due](const auto &other) {
                const bool outage =
                    other.kind == "platform" || (other.kind == "kill" && (other.process == "config" || other.process == "hosts"));
                return outage && other.atUs <= due;
            });
        if (!context.events.wallMinusBootUs || platformChanged || context.lastEventUs < due) {
            ++result.counts["publicationsNotChecked"];
            continue;
        }
        const std::int64_t offset = *context.events.wallMinusBootUs;
        for (const auto &[host, lines] : hosts) {
            if (!ranThrough(context, host, event.atUs, due)) {
                ++result.counts["hostsAwayDuringPublication"];
                continue;
            }
            // The process that was running: the last one that had begun by then.
            const process_line *line = nullptr;
            for (const auto &[incarnation, candidate] : lines) {
                if (candidate.firstUs <= due + offset && (line == nullptr || candidate.firstUs > line->firstUs)) {
                    line = &candidate;
                }
            }
            if (line == nullptr) {
                ++result.counts["hostsWithoutEarlyEvents"];
                continue;
            }
            ++result.checked;
            ++result.counts["publicationsCheckedOnHosts"];
            if (!hasRevision(*line, event, due + offset)) {
                result.violations.push_back({host + " neither applied nor rejected revision " + std::to_string(event.revision) + " within "
                                                 + std::to_string(context.settings.inForceAfter.count() / 1000) + " ms",
                                             {event.source}});
            }
        }
    }
    if (!timeLines) {
        result.missingEvidence.emplace_back("time lines of entry hosts with applied revisions");
    }
    if (!published) {
        result.missingEvidence.emplace_back("a publication (event publish)");
    } else if (!context.events.wallMinusBootUs) {
        result.missingEvidence.emplace_back("the offset of the clocks (event clock)");
    } else if (result.counts["publicationsCheckedOnHosts"] == 0) {
        result.missingEvidence.emplace_back(
            "a publication with a reachable platform and a history that lasts longer than the time allowed");
    }
    return result;
}

} // namespace orioledrum::history
