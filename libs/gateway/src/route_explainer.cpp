#include <route_explainer.h>

#include <caller_front.h>
#include <gateway_state.h>
#include <publication_reader.h>
#include <usage_caps.h>

#include <search/gather_run.h>
#include <search/replica_candidate.h>
#include <search/search_admission.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>

namespace orioledrum
{

namespace
{

using nlohmann::json;

/// @return The decoded text; nothing when a '%' is not followed by two hexadecimal digits.
std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        const auto digits = text.substr(i + 1, 2);
        std::uint8_t byte = 0;
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
        if (digits.size() != 2 || failure != std::errc() || end != digits.data() + 2) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        i += 2;
    }
    return decoded;
}

double milliseconds(std::chrono::microseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

json ageOrNull(const std::optional<std::chrono::milliseconds> &age)
{
    return age ? json(age->count()) : json();
}

const char *toText(search_admission::verdict verdict)
{
    switch (verdict) {
    case search_admission::verdict::admitted:
        return "admitted";
    case search_admission::verdict::notStarted:
        return "notStarted";
    case search_admission::verdict::overloaded:
        return "overloaded";
    }
    return "notStarted";
}

std::string refusal(json &answer, int status, const char *reason)
{
    answer["refusal"] = {{"status", status}, {"reason", reason}};
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::optional<route_explainer::question> route_explainer::question::parse(std::string_view query)
{
    question result;
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        const auto name = pair.substr(0, equals);
        auto value = equals == std::string_view::npos ? std::nullopt : percentDecoded(pair.substr(equals + 1));
        if (!value) {
            return std::nullopt;
        }
        if (name == "method") {
            result.method = std::move(*value);
        } else if (name == "host") {
            result.host = std::move(*value);
        } else if (name == "target") {
            result.target = std::move(*value);
        } else if (name == "organisation") {
            result.organisation = std::move(*value);
        } else if (name == "priority") {
            std::uint32_t number = 0;
            const auto *end = value->data() + value->size();
            const auto [parsed, failure] = std::from_chars(value->data(), end, number);
            if (failure != std::errc() || parsed != end) {
                return std::nullopt;
            }
            result.priority = number;
        } else {
            return std::nullopt;
        }
    }
    return result.target.starts_with('/') ? std::optional(std::move(result)) : std::nullopt;
}

route_explainer::route_explainer(gateway_state &state, const publication_reader &reader, const usage_caps &usage)
    : m_state(state)
    , m_reader(reader)
    , m_usage(usage)
{
}

std::string route_explainer::explain(const question &asked, time_point now) const
{
    json answer{{"host", m_state.settings.host.str()},
                {"zone", m_state.settings.zone.str()},
                {"request", {{"method", asked.method}, {"host", asked.host}, {"target", asked.target}}},
                {"hosts", {{"known", m_state.registry.hostCount()}, {"settled", m_state.registry.hostsSettled()}}},
                {"stateAgeMs", nullptr}};
    if (const auto confirmed = m_reader.confirmedAt()) {
        answer["stateAgeMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmed).count();
    }
    if (!m_state.table) {
        return refusal(answer, 503, "no routes are known yet");
    }
    const auto &table = *m_state.table;
    answer["configVersion"] = table.version();
    const auto *route = table.find(asked.host, std::string_view(asked.target).substr(0, asked.target.find('?')));
    if (route == nullptr) {
        return refusal(answer, 404, "no route matches host and path");
    }
    answer["route"] = {{"name", route->name},
                       {"host", route->host},
                       {"prefix", route->prefix},
                       {"kind", route->isSearch() ? "search" : "forward"},
                       {"retries", route->retrySafety == retry_safety::idempotent ? "idempotent" : "atMostOnce"},
                       {"timeoutMs", route->timeout.count()},
                       {"targetMs", route->targetLatency.count()},
                       {"priority", route->priority},
                       {"public", route->isPublic}};
    const auto *member = asked.organisation.empty() ? nullptr : table.findOrganisation(asked.organisation);
    if (!asked.organisation.empty() && member == nullptr) {
        return refusal(answer, 401, "the configuration has no such organisation");
    }
    if (table.requiresKeys() && !route->isPublic && member == nullptr) {
        return refusal(answer, 401, "the route needs the key of an organisation");
    }
    answer["priority"] = asked.priority.value_or(member != nullptr ? member->priority.value_or(route->priority) : route->priority);
    if (member != nullptr) {
        explainCap(answer, *member);
    }
    if (route->isSearch()) {
        explainSearch(answer, *route, now);
    } else {
        explainForward(answer, *route, now);
    }
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

void route_explainer::explainCap(json &answer, const organisation &member) const
{
    json cap{{"organisation", member.name}, {"ratePerS", member.requestsPerSecond}, {"burst", member.burst}};
    if (const auto *place = m_usage.findPlace(member)) {
        cap["owner"] = place->owner ? json(place->owner->id.str()) : json();
        cap["zoneOwner"] = place->zoneOwner ? json(place->zoneOwner->id.str()) : json();
    }
    cap["sentShare"] = m_state.fairness.sentShare(member.name);
    answer["cap"] = std::move(cap);
}

json route_explainer::servers(const std::string &service, std::chrono::microseconds unqueuedLatency, time_point now) const
{
    json list = json::array();
    for (const auto &each : m_state.registry.candidates(service_id(service), unqueuedLatency, now)) {
        list.push_back({{"server", each.id.str()},
                        {"address", each.address},
                        {"zone", each.zone.str()},
                        {"expectedMs", milliseconds(each.expected)},
                        {"costMs", milliseconds(each.cost)},
                        {"load", each.load},
                        {"callsAtATime", each.callsAtATime},
                        {"slowness", each.slowness},
                        {"workTime", each.workTimeFactor},
                        {"failureShare", each.failureShare},
                        {"outstanding", each.outstandingCalls},
                        {"callLimit", each.callLimit ? json(*each.callLimit) : json()},
                        {"loadAgeMs", ageOrNull(each.loadAge)},
                        {"answerAgeMs", ageOrNull(each.answerAge)},
                        {"obstacles", each.obstacles},
                        {"reasons", each.reasons}});
    }
    const auto *budget = m_state.registry.findBudget(service_id(service));
    return {{"service", service}, {"extraCalls", budget != nullptr ? json(budget->tokens()) : json()}, {"servers", std::move(list)}};
}

void route_explainer::explainSearch(json &answer, const route &route, time_point now) const
{
    const auto unqueuedLatency = m_state.profile(route)->unqueuedLatency(now);
    const auto untilTarget = caller_front::timeUntilTarget(route, m_state.settings);
    answer["route"]["untilTargetMs"] = untilTarget.count();
    std::vector<bool> relayed(route.shards.size(), false);
    answer["parts"] = json::array();
    for (const auto &part : m_state.relays.previewParts(route.shards, now + untilTarget, now)) {
        json shards = json::array();
        for (const auto position : part.part.shards) {
            relayed[position] = true;
            shards.push_back(route.shards[position].str());
        }
        answer["parts"].push_back({{"gatheredBy", part.address}, {"zone", part.part.zone.str()}, {"shards", std::move(shards)}});
    }
    const auto required = gather_run::requiredShards(route.minCoverage, route.shards.size());
    const auto admission = search_admission::decide(m_state.registry, route.shards, relayed, required, unqueuedLatency, untilTarget, now);
    answer["admission"] = {{"verdict", toText(admission.result)},
                           {"requiredShards", required},
                           {"reachableShards", admission.shards.size()},
                           {"expectedMs", milliseconds(admission.expected)},
                           {"reachableInMs", admission.reachableIn.count()}};
    answer["unqueuedMs"] = milliseconds(unqueuedLatency);
    answer["services"] = json::array();
    for (const auto &shard : route.shards) {
        answer["services"].push_back(servers(shard.str(), unqueuedLatency, now));
    }
}

void route_explainer::explainForward(json &answer, const route &route, time_point now) const
{
    const auto unqueuedLatency = m_state.profile(route)->unqueuedLatency(now);
    answer["unqueuedMs"] = milliseconds(unqueuedLatency);
    answer["services"] = json::array();
    bool reachable = false;
    for (const auto &weighted : route.services) {
        auto service = servers(weighted.service.str(), unqueuedLatency, now);
        service["weight"] = weighted.weight;
        answer["services"].push_back(std::move(service));
        reachable = reachable || (weighted.weight > 0 && m_state.registry.reachable(weighted.service, now));
    }
    answer["admission"] = {{"verdict", reachable ? "admitted" : "notStarted"}};
}

} // namespace orioledrum
