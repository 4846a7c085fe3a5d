#include "gateway_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace orioledrum
{

namespace
{

constexpr std::string_view callsMetric = "orioledrum_service_calls_total{";
constexpr std::string_view refusedMetric = "orioledrum_refused_requests_total{";
constexpr std::string_view organisationMetric = "orioledrum_organisation_";

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr double maxExact = 9007199254740992.0; // 2^53: doubles above it are no longer exact.
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !(value >= 0) || value > maxExact) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> parseCount(std::string_view text)
{
    const auto value = parseNumber(text);
    return value ? std::optional(static_cast<std::uint64_t>(*value)) : std::nullopt;
}

/// @return The value of a label in `{name="value",...}`; empty when there is none.
std::string labelValue(std::string_view labels, std::string_view name)
{
    const auto at = labels.find(std::string(name) + "=\"");
    std::string value;
    if (at == std::string_view::npos) {
        return value;
    }
    labels.remove_prefix(at + name.size() + 2);
    for (std::size_t i = 0; i < labels.size() && labels[i] != '"'; ++i) {
        if (labels[i] == '\\' && i + 1 < labels.size()) {
            ++i; // Skips the backslash of an escaped character.
        }
        value += labels[i];
    }
    return value;
}

double *valueOf(gateway_status::organisation_status &status, std::string_view metric)
{
    return metric == "keys" ? &status.keys : metric == "rate_per_s" ? &status.ratePerSecond : metric == "burst" ? &status.burst : nullptr;
}

/// @return The number without trailing zeros.
std::string numberText(double value)
{
    const auto whole = static_cast<std::uint64_t>(value);
    return static_cast<double>(whole) == value ? std::to_string(whole) : nlohmann::json(value).dump();
}

std::uint64_t *counterOf(gateway_status::service_calls &calls, std::string_view kind)
{
    return kind == "first"      ? &calls.first
        : kind == "extra"       ? &calls.extra
        : kind == "written"     ? &calls.written
        : kind == "notWritten"  ? &calls.notWritten
        : kind == "unaccounted" ? &calls.unaccounted
                                : nullptr;
}

nlohmann::json toJson(const gateway_status::service_calls &calls)
{
    return {{"first", calls.first},
            {"extra", calls.extra},
            {"written", calls.written},
            {"notWritten", calls.notWritten},
            {"unaccounted", calls.unaccounted}};
}

} // namespace

expected<gateway_status> gateway_status::parse(std::string_view metrics, const std::string &host)
{
    gateway_status status;
    std::map<std::string_view, std::optional<std::uint64_t>> gauges{{"orioledrum_ready", std::nullopt},
                                                                    {"orioledrum_config_version", std::nullopt},
                                                                    {"orioledrum_hosts", std::nullopt},
                                                                    {"orioledrum_backend_servers", std::nullopt}};
    while (!metrics.empty()) {
        const auto line = metrics.substr(0, metrics.find('\n'));
        metrics.remove_prefix(std::min(metrics.size(), line.size() + 1));
        const auto space = line.rfind(' ');
        if (space == std::string_view::npos || line.starts_with('#')) {
            continue;
        }
        const auto name = line.substr(0, space);
        if (const auto gauge = gauges.find(name); gauge != gauges.end()) {
            gauge->second = parseCount(line.substr(space + 1));
        } else if (name.starts_with(callsMetric)) {
            auto *counter = counterOf(status.services[std::string(labelValue(name, "service"))], labelValue(name, "kind"));
            const auto count = parseCount(line.substr(space + 1));
            if (counter == nullptr || !count) {
                return makeError(error_code::malformed, "read metrics", "unexpected line: " + std::string(line), host);
            }
            *counter = *count;
        } else if (name.starts_with(refusedMetric)) {
            const auto count = parseCount(line.substr(space + 1));
            if (!count) {
                return makeError(error_code::malformed, "read metrics", "unexpected line: " + std::string(line), host);
            }
            status.refused[labelValue(name, "organisation")][labelValue(name, "reason")] = *count;
        } else if (name.starts_with(organisationMetric)) {
            const auto labels = std::min(name.find('{'), name.size());
            auto &organisation = status.organisations[labelValue(name.substr(labels), "organisation")];
            auto *value = valueOf(organisation, name.substr(0, labels).substr(organisationMetric.size()));
            const auto number = parseNumber(line.substr(space + 1));
            if (value == nullptr || !number) {
                return makeError(error_code::malformed, "read metrics", "unexpected line: " + std::string(line), host);
            }
            *value = *number;
        }
    }
    for (const auto &[name, value] : gauges) {
        if (!value) {
            return makeError(error_code::malformed, "read metrics", std::string(name) + " is missing or not a number", host);
        }
    }
    status.ready = *gauges["orioledrum_ready"] != 0;
    status.configVersion = *gauges["orioledrum_config_version"];
    status.hosts = *gauges["orioledrum_hosts"];
    status.backendServers = *gauges["orioledrum_backend_servers"];
    return status;
}

gateway_status::service_calls gateway_status::totalCalls() const
{
    service_calls total;
    for (const auto &[service, calls] : services) {
        total.first += calls.first;
        total.extra += calls.extra;
        total.written += calls.written;
        total.notWritten += calls.notWritten;
        total.unaccounted += calls.unaccounted;
    }
    return total;
}

std::string gateway_status::text() const
{
    const auto total = totalCalls();
    std::string lines;
    const auto add = [&lines](const std::string &name, std::uint64_t value) { lines += name + ": " + std::to_string(value) + "\n"; };
    add("ready", ready ? 1 : 0);
    add("configVersion", configVersion);
    add("hosts", hosts);
    add("backendServers", backendServers);
    add("calls/first", total.first);
    add("calls/extra", total.extra);
    add("calls/written", total.written);
    add("calls/notWritten", total.notWritten);
    add("calls/unaccounted", total.unaccounted);
    for (const auto &[service, calls] : services) {
        if (calls.unaccounted > 0) {
            add("unaccounted calls to " + service, calls.unaccounted);
        }
    }
    for (const auto &[name, organisation] : organisations) {
        lines += "organisation " + name + ": keys " + numberText(organisation.keys);
        if (organisation.ratePerSecond > 0) {
            lines += ", " + numberText(organisation.ratePerSecond) + " requests/s, burst " + numberText(organisation.burst);
        }
        lines += "\n";
    }
    for (const auto &[name, reasons] : refused) {
        for (const auto &[reason, count] : reasons) {
            add("refused/" + reason + (name.empty() ? "" : " of " + name), count);
        }
    }
    return lines;
}

std::string gateway_status::json() const
{
    nlohmann::json value{{"ready", ready},
                         {"configVersion", configVersion},
                         {"hosts", hosts},
                         {"backendServers", backendServers},
                         {"calls", toJson(totalCalls())},
                         {"services", nlohmann::json::object()}};
    for (const auto &[service, calls] : services) {
        value["services"][service] = toJson(calls);
    }
    value["organisations"] = nlohmann::json::object();
    for (const auto &[name, organisation] : organisations) {
        value["organisations"][name] = {{"keys", static_cast<std::uint64_t>(organisation.keys)},
                                        {"ratePerS", organisation.ratePerSecond},
                                        {"burst", organisation.burst},
                                        {"refused", refusals()}};
    }
    value["refused"] = refusals();
    for (const auto &[name, reasons] : refused) {
        if (name.empty()) {
            value["refused"] = reasons;
        } else {
            value["organisations"][name]["refused"] = reasons;
        }
    }
    return value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace orioledrum
