#include "checks.h"

#include <algorithm>
#include <array>

namespace orioledrum::history
{

namespace
{

/// Error codes that requests must not get because of a planned stop, from the stopping host or another entry host.
constexpr std::array<std::string_view, 5> plannedStopErrors = {"draining", "unreachable", "notReady", "notOwner", "cancelled"};

struct planned_stop {
    const operator_event *stopEvent = nullptr;
    const operator_event *stoppedEvent = nullptr; ///< Null if the history doesn't contain the end of the stop.
};

/// Pairs each event "stop" with the next event "stopped" of the same host.
std::vector<planned_stop> plannedStops(const check_context &context)
{
    std::vector<planned_stop> stops;
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind == "stop") {
            stops.push_back({&event, nullptr});
        } else if (event.kind == "stopped") {
            const auto pending = std::find_if(stops.begin(), stops.end(), [&event](const planned_stop &stop) {
                return stop.stoppedEvent == nullptr && stop.stopEvent->host == event.host;
            });
            if (pending != stops.end()) {
                pending->stoppedEvent = &event;
            }
        }
    }
    return stops;
}

/// @return True if an event during the period, or up to 10 s before it, can make requests fail without the planned stop.
bool hasOtherCause(const check_context &context, std::int64_t fromUs, std::int64_t toUs)
{
    return std::any_of(context.events.operatorEvents.begin(), context.events.operatorEvents.end(), [&](const operator_event &event) {
        const bool canFailRequests = event.kind == "kill" || event.kind == "pause" || event.kind == "resume"
            || event.kind == "backendRestart" || event.kind == "coldTurn" || event.kind == "backendChange"
            || event.kind == "backendDraining" || event.kind == "backendLeaving" || event.kind == "zoneOut";
        // 10 s cover a takeover of leases (4 s) and the longest deadline of a request that started before the takeover.
        return canFailRequests && event.atUs <= toUs && event.atUs >= fromUs - 10000000;
    });
}

/// @param otherCause True if other events can have made requests fail at that time.
/// @return How the stop made the request fail or lose shards; empty if it didn't.
std::string stopFailureReason(const check_context &context, const planned_stop &stop, const caller_sample &sample, bool otherCause)
{
    const std::int64_t stopUs = stop.stopEvent->atUs;
    const std::int64_t stoppedUs = stop.stoppedEvent->atUs;
    if (sample.outcome == "ran" || *sample.endedAtUs < stopUs || *sample.sentAtUs > stoppedUs) {
        return {};
    }
    if (sample.outcome == "answered") {
        return sample.lostShards > 0 && !otherCause
            ? std::to_string(sample.lostShards) + " shards were lost, without any other cause in the history"
            : "";
    }
    if (context.hostForAddress(sample.hostAddress) == stop.stopEvent->host) {
        // Later, the load balancer no longer uses the host, so failures of requests that are still sent to it don't count.
        const bool sentBeforeBalancerReacted = *sample.sentAtUs <= stopUs + stop.stopEvent->balancerDelayUs;
        const bool failedByStop = sample.status == 0 || sample.outcome == "unknown"
            || std::find(plannedStopErrors.begin(), plannedStopErrors.end(), sample.code) != plannedStopErrors.end();
        return sentBeforeBalancerReacted && failedByStop && !context.wasDownOrPaused(stop.stopEvent->host, stopUs, stoppedUs)
            ? "the stopping host dropped or refused it"
            : "";
    }
    if (otherCause) {
        return {};
    }
    const bool failedByStop = sample.status == 0 || sample.outcome == "unknown"
        || std::find(plannedStopErrors.begin(), plannedStopErrors.end(), sample.code) != plannedStopErrors.end();
    return failedByStop ? "it failed at another host during the stop, without any other cause in the history" : "";
}

/// The last revision that a host applied, and the event that shows it.
struct applied_revision {
    std::uint64_t revision = 0;
    const host_event *appliedEvent = nullptr;
};

/// Checks that no host applies a revision lower than its previous one, also across restarts.
void checkRevisionOrder(const check_context &context, promise_result &result)
{
    std::map<std::string, applied_revision> lastByHost;
    for (const auto &event : context.events.hostEvents) {
        if (event.kind != "configApplied") {
            continue;
        }
        ++result.checked;
        const std::uint64_t revision = std::stoull(event.detail);
        auto &last = lastByHost[event.host];
        if (last.appliedEvent != nullptr && revision < last.revision) {
            result.violations.push_back({event.host + " went back from revision " + std::to_string(last.revision) + " to " + event.detail,
                                         {last.appliedEvent->source, event.source}});
        }
        last = {revision, &event};
    }
}

/// The timeline events of one process of an entry host.
struct process_timeline {
    std::int64_t firstUs = 0;
    std::vector<const host_event *> events;
};

/// @return True if by that time the process had applied the published revision or a later one, or had rejected the published one.
bool appliedOrRejected(const process_timeline &timeline, const operator_event &publication, std::int64_t wallUs)
{
    return std::any_of(timeline.events.begin(), timeline.events.end(), [&](const host_event *event) {
        if (event->wallUs > wallUs) {
            return false;
        }
        if (event->kind == "configApplied") {
            return std::stoull(event->detail) >= publication.revision;
        }
        return event->kind == "configRejected" && event->detail.starts_with(std::to_string(publication.revision) + " ");
    });
}

/// @return True if the host ran as one process, neither stopped, killed nor paused, during the whole period.
bool ranThroughout(const check_context &context, const std::string &host, std::int64_t fromUs, std::int64_t toUs)
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
            // A host that starts during the period has less time than the promise allows, so it isn't checked.
            running = event.atUs < fromUs;
        }
    }
    return running;
}

} // namespace

promise_result checkPlannedStops(const check_context &context)
{
    promise_result result{0, "plannedStop", "Every planned stop is a graceful shutdown that makes no request fail.", 0, {}, {}, {}};
    bool allSamplesHaveTimes = true;
    const auto stops = plannedStops(context);
    for (const auto &stop : stops) {
        if (stop.stoppedEvent == nullptr) {
            result.missingEvidence.push_back("the end of the stop of " + stop.stopEvent->host + " (event stopped)");
            continue;
        }
        if (stop.stoppedEvent->exitCode != 0) {
            result.violations.push_back(
                {stop.stopEvent->host + " ended its planned stop with exit code " + std::to_string(stop.stoppedEvent->exitCode),
                 {stop.stopEvent->source, stop.stoppedEvent->source}});
        }
        const bool otherCause = hasOtherCause(context, stop.stopEvent->atUs, stop.stoppedEvent->atUs);
        for (const auto &sample : context.events.samples) {
            if (!sample.sentAtUs || !sample.endedAtUs) {
                allSamplesHaveTimes = false;
                continue;
            }
            if (*sample.endedAtUs >= stop.stopEvent->atUs && *sample.sentAtUs <= stop.stoppedEvent->atUs) {
                ++result.checked;
            }
            if (const auto reason = stopFailureReason(context, stop, sample, otherCause); !reason.empty()) {
                result.violations.push_back(
                    {"a request failed or lost shards because of the stop of " + stop.stopEvent->host + ": " + reason,
                     {stop.stopEvent->source, sample.source, stop.stoppedEvent->source}});
            }
        }
    }
    if (stops.empty()) {
        result.missingEvidence.emplace_back("a planned stop (events stop and stopped)");
    } else if (result.checked == 0) {
        result.missingEvidence.emplace_back("samples of requests during a planned stop");
    }
    if (!allSamplesHaveTimes) {
        result.missingEvidence.emplace_back("absolute times in the samples (sentAtUs, endedAtUs)");
    }
    return result;
}

promise_result checkConfiguration(const check_context &context)
{
    promise_result result{0,
                          "configuration",
                          "An accepted configuration is active on every host within seconds and never reverts to an older one.",
                          0,
                          {},
                          {},
                          {}};
    checkRevisionOrder(context, result);
    const bool hasAppliedRevisions = result.checked > 0;
    const host_event *previous = nullptr;
    for (const auto &event : context.events.hostEvents) {
        const bool sameProcess = previous != nullptr && previous->host == event.host && previous->incarnation == event.incarnation;
        if (event.sequence != (sameProcess ? previous->sequence + 1 : 1)) {
            // A process keeps its events in a ring buffer, which drops the oldest ones.
            result.missingEvidence.push_back("events of " + event.host + " before sequence " + std::to_string(event.sequence));
        }
        previous = &event;
    }
    std::map<std::string, std::map<std::string, process_timeline>> timelinesByHost;
    for (const auto &event : context.events.hostEvents) {
        auto &timeline = timelinesByHost[event.host][event.incarnation];
        timeline.firstUs = timeline.events.empty() ? event.wallUs : std::min(timeline.firstUs, event.wallUs);
        timeline.events.push_back(&event);
    }
    bool hasPublication = false;
    for (const auto &event : context.events.operatorEvents) {
        if (event.kind != "publish") {
            continue;
        }
        hasPublication = true;
        const std::int64_t dueUs = event.atUs + context.settings.maxActivationDelay.count();
        // A publication may be late if the platform was down, delayed or outdated at any time until then.
        const bool platformDisturbed =
            std::any_of(context.events.operatorEvents.begin(), context.events.operatorEvents.end(), [dueUs](const auto &otherEvent) {
                const bool disturbance = otherEvent.kind == "platform"
                    || (otherEvent.kind == "kill" && (otherEvent.process == "config" || otherEvent.process == "hosts"));
                return disturbance && otherEvent.atUs <= dueUs;
            });
        if (!context.events.wallMinusBootUs || platformDisturbed || context.lastEventUs < dueUs) {
            ++result.counts["publicationsNotChecked"];
            continue;
        }
        const std::int64_t clockOffsetUs = *context.events.wallMinusBootUs;
        for (const auto &[host, timelines] : timelinesByHost) {
            if (!ranThroughout(context, host, event.atUs, dueUs)) {
                ++result.counts["hostsAwayDuringPublication"];
                continue;
            }
            // The process that was running at the end of the time allowed: the last one whose timeline had started by then.
            const process_timeline *timeline = nullptr;
            for (const auto &[incarnation, candidate] : timelines) {
                if (candidate.firstUs <= dueUs + clockOffsetUs && (timeline == nullptr || candidate.firstUs > timeline->firstUs)) {
                    timeline = &candidate;
                }
            }
            if (timeline == nullptr) {
                ++result.counts["hostsWithoutEarlyEvents"];
                continue;
            }
            ++result.checked;
            ++result.counts["publicationsCheckedOnHosts"];
            if (!appliedOrRejected(*timeline, event, dueUs + clockOffsetUs)) {
                result.violations.push_back({host + " neither applied nor rejected revision " + std::to_string(event.revision) + " within "
                                                 + std::to_string(context.settings.maxActivationDelay.count() / 1000) + " ms",
                                             {event.source}});
            }
        }
    }
    if (!hasAppliedRevisions) {
        result.missingEvidence.emplace_back("timelines of entry hosts with applied revisions");
    }
    if (!hasPublication) {
        result.missingEvidence.emplace_back("a publication (event publish)");
    } else if (!context.events.wallMinusBootUs) {
        result.missingEvidence.emplace_back("the offset between the wall clock and CLOCK_BOOTTIME (event clock)");
    } else if (result.counts["publicationsCheckedOnHosts"] == 0) {
        result.missingEvidence.emplace_back(
            "a publication with a reachable platform, and a history that continues for longer than --in-force-s after it");
    }
    return result;
}

} // namespace orioledrum::history
