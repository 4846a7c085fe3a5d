#include "explanation.h"

#include "timeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace orioledrum
{

namespace
{

using nlohmann::json;
using wall_time = std::chrono::system_clock::time_point;

/// Time after the last line of a request in which a linesOmitted report may still concern it: the report is written with the first
/// line of a later second.
constexpr std::chrono::seconds omissionReportDelay{2};

std::string formatTime(const log_line &line)
{
    return formatWallTime(std::chrono::duration_cast<std::chrono::microseconds>(line.at.time_since_epoch()).count());
}

/// The view of one host at a given time, reconstructed from its log lines. A later line on a subject replaces an earlier one.
class host_views
{
public:
    host_views(const std::vector<log_line> &lines, std::string host, wall_time until)
        : m_host(std::move(host))
        , m_until(until)
    {
        for (const auto &line : lines) {
            if (line.at > until) {
                break;
            }
            if (line.host == m_host) {
                applyLine(line);
            }
        }
    }

    [[nodiscard]] host_view contact() const
    {
        if (m_lastContact == nullptr) {
            return {m_host, "no line on contact with the platform", std::nullopt};
        }
        const bool lost = m_lastContact->event == "contactLost";
        return makeView(lost ? "had lost the platform: " + m_lastContact->field("error") : std::string("had contact with the platform"),
                        *m_lastContact);
    }

    [[nodiscard]] host_view routes() const
    {
        if (m_lastRoutes == nullptr) {
            return {m_host, "no line on routes in force", std::nullopt};
        }
        return makeView("routes of version " + m_lastRoutes->field("version") + " were in force", *m_lastRoutes);
    }

    [[nodiscard]] std::vector<host_view> zonesOut() const
    {
        if (m_lastZonesOut == nullptr || m_lastZonesOut->field("zones").empty()) {
            return {};
        }
        return {makeView("availability zones taken out: " + m_lastZonesOut->field("zones"), *m_lastZonesOut)};
    }

    /// @return The host's view of each backend server of a service.
    [[nodiscard]] std::vector<host_view> backendServers(const std::string &service) const
    {
        std::vector<host_view> found;
        for (const auto &[server, record] : m_servers) {
            if (record.service != service) {
                continue;
            }
            if (record.gone != nullptr) {
                found.push_back(makeView("backend server " + server + ": its entry was removed", *record.gone));
                continue;
            }
            if (record.listed != nullptr) {
                const auto &draining = record.listed->field("draining");
                const auto &cold = record.listed->field("coldMs");
                std::string description = "backend server " + server + " at " + record.listed->field("address") + ": listed";
                description += draining.empty() || draining == "0" ? "" : ", draining";
                description += cold.empty() || cold == "0" ? "" : ", cold for " + cold + " ms";
                found.push_back(makeView(description, *record.listed));
            }
            if (record.probe != nullptr) {
                const bool silent = record.probe->event == "backendServerSilent";
                found.push_back(
                    makeView("backend server " + server + (silent ? ": did not answer its last probe" : ": answered its last probe"),
                             *record.probe));
            }
        }
        if (found.empty()) {
            // Reading the full list of backend servers logs a single line without the entries.
            found.push_back(m_lastListRead == nullptr ? host_view{m_host, "no backend server of " + service + " was known", std::nullopt}
                                                      : makeView("no line on a backend server of " + service + " since the list of all "
                                                                     + m_lastListRead->field("backendServers") + " was read",
                                                                 *m_lastListRead));
        }
        return found;
    }

    /// @return The host's view of another entry host; empty without a line about it.
    [[nodiscard]] std::vector<host_view> peer(const std::string &name) const
    {
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            return {};
        }
        return {makeView("entry host " + name + " was " + found->second->field("state"), *found->second)};
    }

private:
    /// Latest lines about a backend server.
    struct server_lines {
        std::string service;
        const log_line *listed = nullptr;
        const log_line *gone = nullptr;
        const log_line *probe = nullptr;
    };

    void applyLine(const log_line &line)
    {
        if (line.part == "platform") {
            applyPlatformLine(line);
        } else if (line.part == "probe") {
            auto &server = m_servers[line.field("server")];
            server.service = line.field("service");
            server.probe = &line;
        } else if (line.part == "hosts" && line.event == "hostState") {
            m_peers[line.field("peer")] = &line;
        } else if (line.part == "main" && line.event == "started") {
            *this = host_views(m_host, m_until); // A new process starts without the state of its predecessor.
        }
    }

    void applyPlatformLine(const log_line &line)
    {
        if (line.event == "contactLost" || line.event == "contactRegained" || line.event == "listRead") {
            m_lastContact = &line;
            m_lastListRead = line.event == "listRead" ? &line : m_lastListRead;
        } else if (line.event == "routesInForce") {
            m_lastRoutes = &line;
        } else if (line.event == "zonesOut") {
            m_lastZonesOut = &line;
        } else if (line.event == "backendServer") {
            auto &server = m_servers[line.field("server")];
            server = {line.field("service"), &line, nullptr, nullptr};
        } else if (line.event == "backendServerGone") {
            m_servers[line.field("server")].gone = &line;
        }
    }

    host_views(std::string host, wall_time until)
        : m_host(std::move(host))
        , m_until(until)
    {
    }

    [[nodiscard]] host_view makeView(std::string description, const log_line &line) const
    {
        return {m_host, std::move(description), std::chrono::duration_cast<std::chrono::milliseconds>(m_until - line.at)};
    }

    std::string m_host;
    wall_time m_until;
    const log_line *m_lastContact = nullptr;
    const log_line *m_lastListRead = nullptr;
    const log_line *m_lastRoutes = nullptr;
    const log_line *m_lastZonesOut = nullptr;
    std::map<std::string, server_lines> m_servers;
    std::map<std::string, const log_line *> m_peers;
};

/// @return Why a shard is missing, for the text of an attempt_end.
std::string describeCallEnd(const std::string &end)
{
    static const std::map<std::string, std::string> descriptions{
        {"timedOut", "its backend servers were asked and had not answered in time (slow, paused or silent)"},
        {"shed", "its backend servers were full and rejected the call"},
        {"unreachable", "no backend server could be asked"},
        {"broken", "the connection to its backend server broke"},
        {"failed", "its backend server answered with an error"},
        {"abandoned", "the call was abandoned"},
    };
    const auto found = descriptions.find(end);
    return found == descriptions.end() ? end : found->second;
}

/// @return The line of the host that answered the caller; null when it is missing.
const log_line *findDecision(const std::vector<log_line> &path)
{
    const log_line *decision = nullptr;
    for (const auto &line : path) {
        if (line.part != "relay") {
            decision = &line;
        }
    }
    return decision;
}

std::string describeSearchCause(const log_line &line)
{
    const auto &shard = line.field("missingShard");
    if (line.event == "complete") {
        return "full answer: all " + line.field("shards") + " shards answered after " + line.field("ms") + " ms; the slowest call took "
            + line.field("slowestMs") + " ms";
    }
    if (line.event == "overloaded") {
        return "refused before anything was sent: the expected time until enough shards would have answered was " + line.field("expectedMs")
            + " ms, above the target of the route";
    }
    if (line.event == "notStarted") {
        return "refused before anything was sent: too few shards had a responsive backend server; there was none, for example, for "
            + shard;
    }
    std::string cause = line.field("missing") + " of " + line.field("shards") + " shards were missing, for example " + shard + ": "
        + describeCallEnd(line.field("missingBecause"));
    const auto &skipped = line.field("skipped");
    if (!skipped.empty() && skipped != "0") {
        cause += "; " + skipped + " shards were not asked because their queues were too long";
    }
    if (!line.field("lostRelays").empty()) {
        cause += "; these hosts were asked to gather parts and did not answer in time: " + line.field("lostRelays");
    }
    return cause + "; hedges " + line.field("hedges") + ", retries " + line.field("retries");
}

std::string describeForwardCause(const log_line &line)
{
    if (line.event == "answered") {
        return "answer passed on: backend server " + line.field("server") + " answered with status " + line.field("status") + " after "
            + line.field("ms") + " ms";
    }
    const std::string lastCallText =
        " (" + line.field("calls") + " calls; the last call, to " + line.field("server") + ": " + line.field("lastCall") + ")";
    if (line.event == "notRun") {
        return "refused: no backend server of " + line.field("service") + " has run it or will run it" + lastCallText;
    }
    return "the request may have run and was not sent again" + lastCallText;
}

std::string describeCause(const log_line &line)
{
    if (line.part == "search") {
        return describeSearchCause(line);
    }
    if (line.part == "forward") {
        return describeForwardCause(line);
    }
    if (line.event == "callerGone") {
        return "the caller closed its connection before the answer";
    }
    if (line.event == "noRoutes") {
        return "refused: no configuration was in force yet";
    }
    if (line.event == "noRoute") {
        return "refused: no route of the configuration in force matches " + line.field("target");
    }
    return "refused before it was routed: " + line.event;
}

bool lacksFullAnswer(const log_line &line)
{
    return line.event != "complete" && line.event != "answered";
}

template<typename Values>
void append(std::vector<host_view> &target, Values &&values)
{
    target.insert(target.end(), std::make_move_iterator(values.begin()), std::make_move_iterator(values.end()));
}

/// Adds a host's view of the platform and of the shards or services that failed.
void addHostViews(std::vector<host_view> &target, const host_views &views, const std::set<std::string> &services)
{
    target.push_back(views.contact());
    target.push_back(views.routes());
    append(target, views.zonesOut());
    for (const auto &service : services) {
        append(target, views.backendServers(service));
    }
}

std::set<std::string> failedServices(const log_line &line)
{
    std::set<std::string> services;
    for (const char *name : {"missingShard", "service"}) {
        if (!line.field(name).empty()) {
            services.insert(line.field(name));
        }
    }
    return services;
}

/// @return The host that listens for other entry hosts on an address, according to its latest start; empty when no line names it.
std::string findHostAt(const std::vector<log_line> &lines, const std::string &address)
{
    std::string host;
    for (const auto &line : lines) {
        if (line.part == "main" && line.event == "started" && line.field("hosts") == address) {
            host = line.host;
        }
    }
    return host;
}

/// Adds the answering host's view of the hosts that did not gather their parts of the search in time.
void addLostRelays(explanation &target, const host_views &views, const std::vector<log_line> &lines, const log_line &decision)
{
    std::istringstream addresses(decision.field("lostRelays"));
    for (std::string address; std::getline(addresses, address, ',');) {
        const auto host = findHostAt(lines, address);
        if (host.empty()) {
            target.gaps.push_back("no line names the host at " + address);
        } else {
            append(target.hostViews, views.peer(host));
        }
    }
}

std::string formatAge(const host_view &item)
{
    return item.age ? " (for " + std::to_string(item.age->count()) + " ms)" : std::string();
}

} // namespace

explanation explainRequest(const std::vector<log_line> &lines, const std::string &request)
{
    explanation result;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(result.path), [&](const log_line &line) {
        return line.field("id") == request && isRequestLine(line);
    });
    const auto *decision = findDecision(result.path);
    if (decision != nullptr) {
        result.outcome = decision->part + " " + decision->event;
        result.cause = describeCause(*decision);
        if (lacksFullAnswer(*decision)) {
            const host_views views(lines, decision->host, decision->at);
            addHostViews(result.hostViews, views, failedServices(*decision));
            addLostRelays(result, views, lines, *decision);
            for (const auto &line : result.path) {
                if (line.part == "relay") {
                    addHostViews(result.hostViews, host_views(lines, line.host, line.at), failedServices(line));
                }
            }
        }
    } else if (!result.path.empty()) {
        result.gaps.emplace_back("the line of the host that answered the caller is missing");
    }
    for (const auto &line : lines) {
        const bool isNearRequest =
            result.path.empty() || (line.at >= result.path.front().at && line.at <= result.path.back().at + omissionReportDelay);
        if (line.event == "linesOmitted" && isNearRequest) {
            result.gaps.push_back(line.host + " left out " + line.field("lines") + " lines of requests before " + formatTime(line));
        }
    }
    return result;
}

std::string explanationText(const explanation &result)
{
    std::ostringstream text;
    for (const auto &line : result.path) {
        text << formatTime(line) << "  " << line.host << "  " << line.part << ' ' << line.event;
        for (const auto &[name, value] : line.fields) {
            if (name != "id" && !value.empty()) {
                text << "  " << name << '=' << value;
            }
        }
        text << '\n';
    }
    if (!result.outcome.empty()) {
        text << "outcome: " << result.outcome << "\ncause: " << result.cause << '\n';
    }
    for (const auto &item : result.hostViews) {
        text << "believed by " << item.host << ": " << item.description << formatAge(item) << '\n';
    }
    for (const auto &gap : result.gaps) {
        text << "not in the logs: " << gap << '\n';
    }
    return text.str();
}

std::string explanationJson(const explanation &result)
{
    json path = json::array();
    for (const auto &line : result.path) {
        path.push_back(
            {{"at", formatTime(line)}, {"host", line.host}, {"part", line.part}, {"event", line.event}, {"fields", line.fields}});
    }
    json views = json::array();
    for (const auto &item : result.hostViews) {
        views.push_back({{"host", item.host}, {"what", item.description}, {"ageMs", item.age ? json(item.age->count()) : json(nullptr)}});
    }
    const json all{{"outcome", result.outcome}, {"cause", result.cause}, {"path", path}, {"beliefs", views}, {"gaps", result.gaps}};
    return all.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace orioledrum
