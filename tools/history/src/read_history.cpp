#include <history/read_history.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace orioledrum::history
{

using json = nlohmann::json;

namespace
{

constexpr std::size_t longestShownLine = 600;

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

std::uint64_t count(const json &line, const char *key)
{
    const json &value = line.at(key);
    if (!value.is_number_unsigned()) {
        throw std::invalid_argument(std::string(key) + " must be a whole number that is not negative");
    }
    return value.get<std::uint64_t>();
}

std::uint64_t countOr(const json &line, const char *key, std::uint64_t fallback)
{
    return line.contains(key) ? count(line, key) : fallback;
}

std::int64_t time(const json &line, const char *key)
{
    const json &value = line.at(key);
    if (!value.is_number_integer()) {
        throw std::invalid_argument(std::string(key) + " must be a whole number of microseconds");
    }
    return value.get<std::int64_t>();
}

std::string text(const json &line, const char *key)
{
    auto value = line.at(key).get<std::string>();
    if (value.empty()) {
        throw std::invalid_argument(std::string(key) + " must not be empty");
    }
    return value;
}

std::string textOr(const json &line, const char *key)
{
    return line.contains(key) ? line[key].get<std::string>() : std::string();
}

backend_record readRecord(const json &line, line_source source)
{
    backend_record result;
    result.source = std::move(source);
    result.isOrder = line.at("event") == "order";
    result.backend = text(line, "backend");
    result.instance = text(line, "instance");
    result.outcome = text(line, "outcome");
    result.state = text(line, "state");
    result.slotsInUse = count(line, "concurrent");
    result.usableSlots = count(line, "bears");
    result.arrivalUs = time(line, "arrivalUs");
    result.endUs = time(line, "endUs");
    if (result.endUs < result.arrivalUs) {
        throw std::invalid_argument("endUs is before arrivalUs");
    }
    if (result.isOrder) {
        result.request = line.at("order").get<std::string>();
        result.runs = count(line, "runs");
    } else {
        // An attempt has the identifier REQUEST.ATTEMPT.
        result.request = line.at("request").get<std::string>();
        result.request.resize(std::min(result.request.size(), result.request.rfind('.')));
        result.shard = line.at("shard").get<std::string>();
        result.snapshot = count(line, "snapshot");
        result.layout = count(line, "layout");
    }
    return result;
}

caller_sample readSample(const json &line, line_source source)
{
    caller_sample result;
    result.source = std::move(source);
    const std::string kind = text(line, "kind");
    if (kind != "search" && kind != "order") {
        throw std::invalid_argument("kind must be search or order");
    }
    result.isOrder = kind == "order";
    result.hostAddress = text(line, "host");
    result.outcome = text(line, "outcome");
    result.code = textOr(line, "code");
    result.status = line.at("status").get<int>();
    for (const auto &[key, field] : {std::pair{"sentAtUs", &result.sentAtUs},
                                     std::pair{"endedAtUs", &result.endedAtUs},
                                     std::pair{"deadlineUs", &result.deadlineUs}}) {
        if (line.contains(key)) {
            *field = time(line, key);
        }
    }
    if (result.sentAtUs && result.endedAtUs && *result.endedAtUs < *result.sentAtUs) {
        throw std::invalid_argument("endedAtUs is before sentAtUs");
    }
    if (result.isOrder) {
        result.ticket = line.at("ticket").get<std::string>();
        // A ticket request has no deadline, so the order counts from its own sending.
        if (line.contains("orderSentAtUs")) {
            result.sentAtUs = time(line, "orderSentAtUs");
        }
        return result;
    }
    result.query = line.at("query").get<std::string>();
    result.limit = countOr(line, "limit", 0);
    if (result.outcome != "answered") {
        return result;
    }
    result.request = text(line, "requestId");
    result.snapshot = count(line, "snapshot");
    result.layout = count(line, "layout");
    result.shardsTotal = count(line, "shardsTotal");
    result.shardsAnswered = count(line, "shardsAnswered");
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

void readTimeLine(const json &line, const line_source &source, recorded_history &result)
{
    const std::string host = text(line, "host");
    const std::string incarnation = textOr(line, "incarnation");
    for (const auto &entry : line.at("events")) {
        host_event event;
        event.host = host;
        event.incarnation = incarnation;
        event.sequence = count(entry, "sequence");
        event.wallUs = time(entry, "wallTimeUs");
        event.kind = text(entry, "kind");
        event.detail = textOr(entry, "detail");
        event.source = {source.place, host + ": " + entry.dump(-1, ' ', false, json::error_handler_t::replace)};
        if (event.kind == "configApplied") {
            const bool number = !event.detail.empty() && event.detail.find_first_not_of("0123456789") == std::string::npos;
            if (!number || event.detail.size() > 19) {
                throw std::invalid_argument("the detail of configApplied must be a revision");
            }
        }
        result.hostEvents.push_back(std::move(event));
    }
}

void readOperator(const json &line, line_source source, recorded_history &result)
{
    operator_event event;
    event.source = std::move(source);
    event.kind = line.at("event").get<std::string>();
    if (!isOperatorEvent(event.kind)) {
        throw std::invalid_argument("unknown event " + event.kind);
    }
    event.zone = textOr(line, "zone");
    event.backend = textOr(line, "backend");
    event.host = textOr(line, "host");
    event.process = textOr(line, "process");
    event.service = textOr(line, "service");
    const auto &name = event.kind;
    if (name == "backendServer") {
        result.zoneOfBackend[text(line, "backend")] = text(line, "zone");
        if (!event.service.empty()) {
            result.serviceOfBackend[event.backend] = event.service;
        }
        return;
    }
    if (name == "layout") {
        const auto shards = line.at("shards").get<std::set<std::string>>();
        result.shardsOfLayout[{text(line, "service"), count(line, "layout")}] = shards;
        return;
    }
    if (name == "entryHost") {
        result.hostOfAddress[text(line, "caller")] = text(line, "host");
        return;
    }
    if (name == "expect") {
        event.promise = text(line, "promise");
        event.verdict = text(line, "verdict");
        result.operatorEvents.push_back(std::move(event));
        return;
    }
    event.atUs = time(line, "atUs");
    event.requestedUs = line.contains("beganUs") ? time(line, "beganUs") : event.atUs;
    if (event.requestedUs > event.atUs) {
        throw std::invalid_argument("beganUs is after atUs");
    }
    if (name == "clock") {
        result.wallMinusBootUs = time(line, "wallUs") - event.atUs;
        return;
    }
    if (name == "publish") {
        event.revision = count(line, "revision");
        if (line.contains("zonesOut")) {
            event.zonesOut = line["zonesOut"].get<std::set<std::string>>();
        }
    } else if (name == "zoneOut" || name == "zoneIn") {
        text(line, "zone");
    } else if (name.starts_with("backend") || name == "coldTurn") {
        text(line, "backend");
    } else if (name == "kill" || name == "pause" || name == "resume" || name == "start") {
        text(line, "process");
    } else if (name == "stop" || name == "stopped") {
        text(line, "host");
        event.balancerDelayUs = line.contains("balancerDelayUs") ? time(line, "balancerDelayUs") : 0;
        if (name == "stopped") {
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
    const std::string event = textOr(line, "event");
    if (event == "search" || event == "order") {
        result.records.push_back(readRecord(line, std::move(source)));
    } else if (!event.empty()) {
        readOperator(line, std::move(source), result);
    } else if (line.contains("kind")) {
        result.samples.push_back(readSample(line, std::move(source)));
    } else if (line.contains("events")) {
        readTimeLine(line, source, result);
    } else {
        throw std::invalid_argument("the line is neither a call, a sample, a time line nor an operator's event");
    }
}

/// Adds the events zoneOut and zoneIn that the published revisions imply. A revision that a host rejected changes nothing.
void addZoneChanges(recorded_history &result)
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
    std::set<std::string> out;
    for (auto &[revision, published] : publications) {
        operator_event change;
        change.source = published.source;
        change.kind = "zoneOut";
        change.atUs = published.atUs;
        for (const auto &zone : *published.zonesOut) {
            if (!out.contains(zone)) {
                change.zone = zone;
                result.operatorEvents.push_back(change);
            }
        }
        change.kind = "zoneIn";
        change.atUs = published.requestedUs;
        for (const auto &zone : out) {
            if (!published.zonesOut->contains(zone)) {
                change.zone = zone;
                result.operatorEvents.push_back(change);
            }
        }
        out = std::move(*published.zonesOut);
    }
}

} // namespace

tl::expected<void, std::string> readHistory(std::istream &input, const std::string &name, recorded_history &result)
{
    const std::size_t firstSample = result.samples.size();
    std::string content;
    for (std::size_t number = 1; std::getline(input, content); ++number) {
        if (content.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        const std::string place = name + ":" + std::to_string(number);
        try {
            const json line = json::parse(content);
            if (content.size() > longestShownLine) {
                content = content.substr(0, longestShownLine) + "...";
            }
            readLine(line, {place, content}, result);
        } catch (const std::exception &failure) {
            return tl::unexpected(place + ": " + failure.what());
        }
    }
    if (input.bad()) {
        return tl::unexpected(name + ": cannot be read");
    }
    // A sample without hits has no results even when results were asked for.
    const auto begin = result.samples.begin() + static_cast<std::ptrdiff_t>(firstSample);
    const bool kept = std::any_of(begin, result.samples.end(), [](const caller_sample &entry) { return entry.resultsRecorded; });
    std::for_each(begin, result.samples.end(), [kept](caller_sample &entry) { entry.resultsRecorded = kept; });
    return {};
}

tl::expected<void, std::string> completeHistory(recorded_history &result)
{
    addZoneChanges(result);
    std::stable_sort(result.operatorEvents.begin(),
                     result.operatorEvents.end(),
                     [](const operator_event &left, const operator_event &right) { return left.atUs < right.atUs; });
    std::stable_sort(result.records.begin(), result.records.end(), [](const backend_record &left, const backend_record &right) {
        return left.arrivalUs < right.arrivalUs;
    });
    // Time lines may overlap when they were fetched several times.
    std::map<std::tuple<std::string, std::string, std::uint64_t>, const host_event *> seen;
    std::map<std::pair<std::string, std::string>, std::int64_t> firstWall;
    std::vector<host_event> unique;
    unique.reserve(result.hostEvents.size());
    for (const auto &event : result.hostEvents) {
        const auto [position, added] = seen.try_emplace({event.host, event.incarnation, event.sequence}, &event);
        if (!added) {
            if (position->second->wallUs != event.wallUs || position->second->kind != event.kind) {
                return tl::unexpected(event.source.place + ": host " + event.host + " has two different events with sequence "
                                      + std::to_string(event.sequence) + "; processes of one host need different incarnations");
            }
            continue;
        }
        const auto [first, firstAdded] = firstWall.try_emplace({event.host, event.incarnation}, event.wallUs);
        first->second = std::min(first->second, event.wallUs);
        unique.push_back(event);
    }
    std::stable_sort(unique.begin(), unique.end(), [&](const host_event &left, const host_event &right) {
        return std::tuple(left.host, firstWall.at({left.host, left.incarnation}), left.incarnation, left.sequence)
            < std::tuple(right.host, firstWall.at({right.host, right.incarnation}), right.incarnation, right.sequence);
    });
    result.hostEvents = std::move(unique);
    return {};
}

} // namespace orioledrum::history
