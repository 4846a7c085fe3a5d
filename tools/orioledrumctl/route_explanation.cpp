#include "route_explanation.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iterator>

namespace orioledrum
{

namespace
{

using nlohmann::json;

/// @return The value as it is shown: "-" for null, a list with commas.
std::string shown(const json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_array()) {
        std::string text;
        for (const auto &item : value) {
            text += (text.empty() ? "" : ",") + shown(item);
        }
        return text.empty() ? "-" : text;
    }
    if (value.is_number_float()) {
        return fmt::format("{:.2f}", value.get<double>());
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void addServers(std::string &text, const json &service)
{
    auto out = std::back_inserter(text);
    fmt::format_to(out, "\n{}", shown(service.at("service")));
    if (service.contains("weight")) {
        fmt::format_to(out, "  weight {}", shown(service.at("weight")));
    }
    fmt::format_to(out, "  tokens for extra calls {}\n", shown(service.at("extraCalls")));
    constexpr const char *row = "  {:>2}  {:<20} {:<16} {:>9} {:>9} {:>5} {:>6} {:>8} {:>8} {:>8}  {}\n";
    fmt::format_to(
        out, fmt::runtime(row), "#", "server", "zone", "expect ms", "cost ms", "load", "limit", "slowness", "load age", "answered", "why");
    int position = 0;
    for (const auto &server : service.at("servers")) {
        const auto &obstacles = server.at("obstacles");
        auto why = server.at("reasons");
        why.insert(why.begin(), obstacles.begin(), obstacles.end());
        fmt::format_to(out,
                       fmt::runtime(row),
                       obstacles.empty() ? std::to_string(++position) : "no",
                       shown(server.at("server")),
                       shown(server.at("zone")),
                       shown(server.at("expectedMs")),
                       shown(server.at("costMs")),
                       shown(server.at("load")),
                       shown(server.at("callsAtATime")),
                       shown(server.at("slowness").get<double>() * server.at("workTime").get<double>()),
                       shown(server.at("loadAgeMs")),
                       shown(server.at("answerAgeMs")),
                       shown(why));
    }
}

std::string toText(const json &value)
{
    std::string text;
    auto out = std::back_inserter(text);
    const auto &hosts = value.at("hosts");
    fmt::format_to(out,
                   "host {} in zone {}, knows {} hosts{}, state confirmed {} ms ago\n",
                   shown(value.at("host")),
                   shown(value.at("zone")),
                   shown(hosts.at("known")),
                   hosts.at("settled").get<bool>() ? "" : " (not settled)",
                   shown(value.at("stateAgeMs")));
    if (value.contains("route")) {
        const auto &route = value.at("route");
        fmt::format_to(out,
                       "route {} ({} {}{}) of configuration {}: {}, target {} ms, timeout {} ms, {}{}\n",
                       shown(route.at("name")),
                       shown(value.at("request").at("method")),
                       shown(route.at("host")),
                       shown(route.at("prefix")),
                       shown(value.at("configVersion")),
                       shown(route.at("kind")),
                       shown(route.at("targetMs")),
                       shown(route.at("timeoutMs")),
                       shown(route.at("retries")),
                       route.at("public").get<bool>() ? ", public" : "");
    }
    if (value.contains("refusal")) {
        const auto &refusal = value.at("refusal");
        fmt::format_to(out, "refused with {}: {}\n", shown(refusal.at("status")), shown(refusal.at("reason")));
        return text;
    }
    fmt::format_to(out, "priority {}\n", shown(value.at("priority")));
    if (value.contains("cap")) {
        const auto &cap = value.at("cap");
        fmt::format_to(out, "organisation {}: ", shown(cap.at("organisation")));
        if (cap.contains("owner")) {
            fmt::format_to(out,
                           "{} requests/s, burst {}, tokens from {}, without it from {}\n",
                           shown(cap.at("ratePerS")),
                           shown(cap.at("burst")),
                           shown(cap.at("owner")),
                           shown(cap.at("zoneOwner")));
        } else {
            text += "no cap\n";
        }
        if (cap.at("sentShare").get<double>() < 1) {
            fmt::format_to(out, "share of its requests that is sent under the present overload: {}\n", shown(cap.at("sentShare")));
        }
    }
    const auto &admission = value.at("admission");
    fmt::format_to(out, "admission now: {}", shown(admission.at("verdict")));
    if (admission.contains("requiredShards")) {
        fmt::format_to(out,
                       ", {} of {} reachable shards needed, expected after {} ms",
                       shown(admission.at("requiredShards")),
                       shown(admission.at("reachableShards")),
                       shown(admission.at("expectedMs")));
    }
    text += '\n';
    for (const auto &part : value.value("parts", json::array())) {
        fmt::format_to(out,
                       "part gathered by {} in zone {}: {} shards: {}\n",
                       shown(part.at("gatheredBy")),
                       shown(part.at("zone")),
                       part.at("shards").size(),
                       shown(part.at("shards")));
    }
    for (const auto &service : value.at("services")) {
        addServers(text, service);
    }
    return text;
}

} // namespace

expected<std::string> routeExplanationText(const std::string &explanation, const std::string &host)
{
    try {
        return toText(json::parse(explanation));
    } catch (const json::exception &failure) {
        return makeError(error_code::malformed, "read explanation", failure.what(), host);
    }
}

} // namespace orioledrum
