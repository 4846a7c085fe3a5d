#include <history/read_history.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace orioledrum::history
{

using json = nlohmann::json;

namespace
{

/// Longer lines are truncated in reports.
constexpr std::size_t maxShownLineBytes = 600;

/// Kinds of operator events; moreOperatorEventKinds lists the others.
constexpr std::array<std::string_view, 18> operatorEventKinds = {"backendServer",
                                                                 "layout",
                                                                 "entryHost",
                                                                 "clock",
                                                                 "publish",
                                                                 "zoneOut",
                                                                 "zoneIn",
                                                                 "backendLeaving",
                                                                 "backendLive",
                                                                 "backendDraining",
                                                                 "backendUndrained",
                                                                 "backendRestart",
                                                                 "coldTurn",
                                                                 "kill",
                                                                 "pause",
                                                                 "resume",
                                                                 "start",
                                                                 "stop"};
constexpr std::array<std::string_view, 5> moreOperatorEventKinds = {"stopped", "platform", "end", "expect", "backendChange"};

bool isOperatorEvent(const std::string &name)
{
    return std::find(operatorEventKinds.begin(), operatorEventKinds.end(), name) != operatorEventKinds.end()
        || std::find(moreOperatorEventKinds.begin(), moreOperatorEventKinds.end(), name) != moreOperatorEventKinds.end();
}

std::uint64_t unsignedField(const json &line, const char *key)
{
    const json &value = line.at(key);
    if (!value.is_number_unsigned()) {
        throw std::invalid_argument(std::string(key) + " must be a non-negative integer");
    }
    return value.get<std::uint64_t>();
}

std::uint64_t unsignedFieldOr(const json &line, const char *key, std::uint64_t fallback)
{
    return line.contains(key) ? unsignedField(line, key) : fallback;
}

std::int64_t timeField(const json &line, const char *key)
{
    const json &value = line.at(key);
    if (!value.is_number_integer()) {
        throw std::invalid_argument(std::string(key) + " must be an integer number of microseconds");
    }
    return value.get<std::int64_t>();
}

/// @return The text of this key. Throws if the key is absent or its text is empty.
std::string nonEmptyText(const json &line, const char *key)
{
    auto value = line.at(key).get<std::string>();
    if (value.empty()) {
        throw std::invalid_argument(std::string(key) + " must not be empty");
    }
    return value;
}

std::string textOrEmpty(const json &line, const char *key)
{
    return line.contains(key) ? line[key].get<std::string>() : std::string();
}

backend_record readRecord(const json &line, line_source source)
{
    backend_record result;
    result.source = std::move(source);
    result.isOrder = line.at("event") == "order";
    result.backend = nonEmptyText(line, "backend");
    result.instance = nonEmptyText(line, "instance");
    result.outcome = nonEmptyText(line, "outcome");
    result.state = nonEmptyText(line, "state");
    result.slotsInUse = unsignedField(line, "concurrent");
    result.usableSlots = unsignedField(line, "bears");
    result.arrivalUs = timeField(line, "arrivalUs");
    result.endUs = timeField(line, "endUs");
    if (result.endUs < result.arrivalUs) {
        throw std::invalid_argument("endUs is before arrivalUs");
    }
    if (result.isOrder) {
        result.request = line.at("order").get<std::string>();
        result.runs = unsignedField(line, "runs");
    } else {
        // The recorded id has the form REQUEST.ATTEMPT; only the request id is kept.
        result.request = line.at("request").get<std::string>();
        result.request.resize(std::min(result.request.size(), result.request.rfind('.')));
        result.shard = line.at("shard").get<std::string>();
        result.snapshot = unsignedField(line, "snapshot");
        result.layout = unsignedField(line, "layout");
    }
    return result;
}

caller_sample readSample(const json &line, line_source source)
{
    caller_sample result;
    result.source = std::move(source);
    const std::string kind = nonEmptyText(line, "kind");
    if (kind != "search" && kind != "order") {
        throw std::invalid_argument("kind must be search or order");
    }
    result.isOrder = kind == "order";
    result.hostAddress = nonEmptyText(line, "host");
    result.outcome = nonEmptyText(line, "outcome");
    result.code = textOrEmpty(line, "code");
    result.status = line.at("status").get<int>();
    for (const auto &[key, field] : {std::pair{"sentAtUs", &result.sentAtUs},
                                     std::pair{"endedAtUs", &result.endedAtUs},
                                     std::pair{"deadlineUs", &result.deadlineUs}}) {
        if (line.contains(key)) {
            *field = timeField(line, key);
        }
    }
    if (result.sentAtUs && result.endedAtUs && *result.endedAtUs < *result.sentAtUs) {
        throw std::invalid_argument("endedAtUs is before sentAtUs");
    }
    if (result.isOrder) {
        result.ticket = line.at("ticket").get<std::string>();
        // The request for the ticket has no deadline, so the deadline counts from when the order itself was sent.
        if (line.contains("orderSentAtUs")) {
            result.sentAtUs = timeField(line, "orderSentAtUs");
        }
        return result;
    }
    result.query = line.at("query").get<std::string>();
    result.limit = unsignedFieldOr(line, "limit", 0);
    if (result.outcome != "answered") {
        return result;
    }
    result.request = nonEmptyText(line, "requestId");
    result.snapshot = unsignedField(line, "snapshot");
    result.layout = unsignedField(line, "layout");
    result.shardsTotal = unsignedField(line, "shardsTotal");
    result.shardsAnswered = unsignedField(line, "shardsAnswered");
    result.coverage = line.at("coverage").get<double>();
    result.complete = line.at("complete").get<bool>();
    for (const auto &[reason, number] : line.at("missing").items()) {
        result.missingShards += number.get<std::uint64_t>();
        result.lostShards += reason == "failed" || reason == "refused" ? number.get<std::uint64_t>() : 0;
    }
    if (line.contains("results")) {
        result.results = line["results"].get<std::vector<std::string>>();
        result.resultsRecorded = true;
    }
    return result;
}

void readTimeline(const json &line, const line_source &source, recorded_history &result)
{
    const std::string host = nonEmptyText(line, "host");
    const std::string incarnation = textOrEmpty(line, "incarnation");
    for (const auto &entry : line.at("events")) {
        host_event event;
        event.host = host;
        event.incarnation = incarnation;
        event.sequence = unsignedField(entry, "sequence");
        event.wallUs = timeField(entry, "wallTimeUs");
        event.kind = nonEmptyText(entry, "kind");
        event.detail = textOrEmpty(entry, "detail");
        event.source = {source.place, host + ": " + entry.dump(-1, ' ', false, json::error_handler_t::replace)};
        if (event.kind == "configApplied") {
            const bool isRevision = !event.detail.empty() && event.detail.find_first_not_of("0123456789") == std::string::npos;
            if (!isRevision || event.detail.size() > 19) {
                throw std::invalid_argument("the detail of configApplied must be a revision");
            }
        }
        result.hostEvents.push_back(std::move(event));
    }
}

void readOperatorEvent(const json &line, line_source source, recorded_history &result)
{
    operator_event event;
    event.source = std::move(source);
    event.kind = line.at("event").get<std::string>();
    if (!isOperatorEvent(event.kind)) {
        throw std::invalid_argument("unknown event " + event.kind);
    }
    event.zone = textOrEmpty(line, "zone");
    event.backend = textOrEmpty(line, "backend");
    event.host = textOrEmpty(line, "host");
    event.process = textOrEmpty(line, "process");
    event.service = textOrEmpty(line, "service");
    const auto &kind = event.kind;
    if (kind == "backendServer") {
        result.zoneOfBackend[nonEmptyText(line, "backend")] = nonEmptyText(line, "zone");
        if (!event.service.empty()) {
            result.serviceOfBackend[event.backend] = event.service;
        }
        return;
    }
    if (kind == "layout") {
        const auto shards = line.at("shards").get<std::set<std::string>>();
        result.shardsOfLayout[{nonEmptyText(line, "service"), unsignedField(line, "layout")}] = shards;
        return;
    }
    if (kind == "entryHost") {
        result.hostOfAddress[nonEmptyText(line, "caller")] = nonEmptyText(line, "host");
        return;
    }
    if (kind == "expect") {
        event.promise = nonEmptyText(line, "promise");
        event.verdict = nonEmptyText(line, "verdict");
        result.operatorEvents.push_back(std::move(event));
        return;
    }
    event.atUs = timeField(line, "atUs");
    event.requestedUs = line.contains("beganUs") ? timeField(line, "beganUs") : event.atUs;
    if (event.requestedUs > event.atUs) {
        throw std::invalid_argument("beganUs is after atUs");
    }
    if (kind == "clock") {
        result.wallMinusBootUs = timeField(line, "wallUs") - event.atUs;
        return;
    }
    if (kind == "publish") {
        event.revision = unsignedField(line, "revision");
        if (line.contains("zonesOut")) {
            event.zonesOut = line["zonesOut"].get<std::set<std::string>>();
        }
    } else if (kind == "zoneOut" || kind == "zoneIn") {
        nonEmptyText(line, "zone");
    } else if (kind.starts_with("backend") || kind == "coldTurn") {
        nonEmptyText(line, "backend");
    } else if (kind == "kill" || kind == "pause" || kind == "resume" || kind == "start") {
        nonEmptyText(line, "process");
    } else if (kind == "stop" || kind == "stopped") {
        nonEmptyText(line, "host");
        event.balancerDelayUs = line.contains("balancerDelayUs") ? timeField(line, "balancerDelayUs") : 0;
        if (kind == "stopped") {
            event.exitCode = line.at("exitCode").get<int>();
        }
    }
    result.operatorEvents.push_back(std::move(event));
}

void readLine(const json &line, line_source source, recorded_history &result)
{
    if (!line.is_object()) {
        throw std::invalid_argument("the line is not a JSON object");
    }
    const std::string event = textOrEmpty(line, "event");
    if (event == "search" || event == "order") {
        result.records.push_back(readRecord(line, std::move(source)));
    } else if (!event.empty()) {
        readOperatorEvent(line, std::move(source), result);
    } else if (line.contains("kind")) {
        result.samples.push_back(readSample(line, std::move(source)));
    } else if (line.contains("events")) {
        readTimeline(line, source, result);
    } else {
        throw std::invalid_argument("the line is neither a recorded call, a sample, a timeline nor an operator event");
    }
}

/// Adds a zoneOut or zoneIn event for each zone whose state differs between consecutive published revisions. Revisions that any host
/// rejected are ignored. A zone counts as out of service from the acknowledgement of the publication that takes it out, and as back in
/// service from the request of the publication that brings it back.
void addZoneEvents(recorded_history &result)
{
    std::set<std::string> rejected;
    for (const auto &event : result.hostEvents) {
        if (event.kind == "configRejected") {
            rejected.insert(event.detail.substr(0, event.detail.find(' ')));
        }
    }
    std::map<std::uint64_t, operator_event> publications;
    for (const auto &event : result.operatorEvents) {
        if (event.kind == "publish" && event.zonesOut && !rejected.contains(std::to_string(event.revision))) {
            publications.emplace(event.revision, event);
        }
    }
    std::set<std::string> zonesOut;
    for (auto &[revision, publication] : publications) {
        operator_event zoneEvent;
        zoneEvent.source = publication.source;
        zoneEvent.kind = "zoneOut";
        zoneEvent.atUs = publication.atUs;
        for (const auto &zone : *publication.zonesOut) {
            if (!zonesOut.contains(zone)) {
                zoneEvent.zone = zone;
                result.operatorEvents.push_back(zoneEvent);
            }
        }
        zoneEvent.kind = "zoneIn";
        zoneEvent.atUs = publication.requestedUs;
        for (const auto &zone : zonesOut) {
            if (!publication.zonesOut->contains(zone)) {
                zoneEvent.zone = zone;
                result.operatorEvents.push_back(zoneEvent);
            }
        }
        zonesOut = std::move(*publication.zonesOut);
    }
}

} // namespace

tl::expected<void, std::string> readHistory(std::istream &input, const std::string &name, recorded_history &result)
{
    const std::size_t sampleCountBefore = result.samples.size();
    std::string lineText;
    for (std::size_t lineNumber = 1; std::getline(input, lineText); ++lineNumber) {
        if (lineText.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        const std::string place = name + ":" + std::to_string(lineNumber);
        try {
            const json line = json::parse(lineText);
            if (lineText.size() > maxShownLineBytes) {
                lineText = lineText.substr(0, maxShownLineBytes) + "...";
            }
            readLine(line, {place, lineText}, result);
        } catch (const std::exception &failure) {
            return tl::unexpected(place + ": " + failure.what());
        }
    }
    if (input.bad()) {
        return tl::unexpected(name + ": cannot be read");
    }
    // A sample without hits has no key "results" even when the input records results, so one sample with this key
    // shows that the input records them.
    const auto firstNewSample = result.samples.begin() + static_cast<std::ptrdiff_t>(sampleCountBefore);
    const bool anyResults =
        std::any_of(firstNewSample, result.samples.end(), [](const caller_sample &entry) { return entry.resultsRecorded; });
    std::for_each(firstNewSample, result.samples.end(), [anyResults](caller_sample &entry) { entry.resultsRecorded = anyResults; });
    return {};
}

tl::expected<void, std::string> completeHistory(recorded_history &result)
{
    addZoneEvents(result);
    std::stable_sort(result.operatorEvents.begin(),
                     result.operatorEvents.end(),
                     [](const operator_event &left, const operator_event &right) { return left.atUs < right.atUs; });
    std::stable_sort(result.records.begin(), result.records.end(), [](const backend_record &left, const backend_record &right) {
        return left.arrivalUs < right.arrivalUs;
    });
    // Timelines overlap when they were fetched several times, so repeated events are dropped.
    std::map<std::tuple<std::string, std::string, std::uint64_t>, const host_event *> earlierEvents;
    std::map<std::pair<std::string, std::string>, std::int64_t> firstWallUs;
    std::vector<host_event> uniqueEvents;
    uniqueEvents.reserve(result.hostEvents.size());
    for (const auto &event : result.hostEvents) {
        const auto [earlierEvent, added] = earlierEvents.try_emplace({event.host, event.incarnation, event.sequence}, &event);
        if (!added) {
            if (earlierEvent->second->wallUs != event.wallUs || earlierEvent->second->kind != event.kind) {
                return tl::unexpected(event.source.place + ": host " + event.host + " has two different events with sequence "
                                      + std::to_string(event.sequence) + "; processes of one host need different incarnations");
            }
            continue;
        }
        const auto [firstTime, firstAdded] = firstWallUs.try_emplace({event.host, event.incarnation}, event.wallUs);
        firstTime->second = std::min(firstTime->second, event.wallUs);
        uniqueEvents.push_back(event);
    }
    std::stable_sort(uniqueEvents.begin(), uniqueEvents.end(), [&](const host_event &left, const host_event &right) {
        return std::tuple(left.host, firstWallUs.at({left.host, left.incarnation}), left.incarnation, left.sequence)
            < std::tuple(right.host, firstWallUs.at({right.host, right.incarnation}), right.incarnation, right.sequence);
    });
    result.hostEvents = std::move(uniqueEvents);
    return {};
}

} // namespace orioledrum::history
