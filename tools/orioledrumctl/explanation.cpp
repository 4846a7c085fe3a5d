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

/// A linesOmitted report up to this time after the last line of a request may count omitted lines of this request, because a host writes
/// the report with its first request line of a later second.
constexpr std::chrono::seconds omissionReportDelay{2};

std::string formatTime(const log_line &line)
{
    return formatWallTime(std::chrono::duration_cast<std::chrono::microseconds>(line.at.time_since_epoch()).count());
}

/// What one host knew at a given time, reconstructed from its log lines. A later line about the same subject replaces an earlier one.
class reconstructed_view
{
public:
    reconstructed_view(const std::vector<log_line> &lines, std::string host, wall_time until)
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

    [[nodiscard]] host_view_item contact() const
    {
        if (m_lastContact == nullptr) {
            return {m_host, "no line on contact with the platform", std::nullopt};
        }
        const bool lost = m_lastContact->event == "contactLost";
        return makeItem(lost ? "had lost contact with the platform: " + m_lastContact->field("error")
                             : std::string("had contact with the platform"),
                        *m_lastContact);
    }

    [[nodiscard]] host_view_item routes() const
    {
        if (m_lastRoutes == nullptr) {
            return {m_host, "no line on routes in force", std::nullopt};
        }
        return makeItem("routes of version " + m_lastRoutes->field("version") + " were in force", *m_lastRoutes);
    }

    [[nodiscard]] std::vector<host_view_item> zonesOut() const
    {
        if (m_lastZonesOut == nullptr || m_lastZonesOut->field("zones").empty()) {
            return {};
        }
        return {makeItem("availability zones taken out of service: " + m_lastZonesOut->field("zones"), *m_lastZonesOut)};
    }

    /// @param service Id of a service or shard, as in the field "service" of log lines about backend servers.
    /// @return The host's view of each backend server of the service. Never empty.
    [[nodiscard]] std::vector<host_view_item> backendServers(const std::string &service) const
    {
        std::vector<host_view_item> found;
        for (const auto &[server, record] : m_servers) {
            if (record.service != service) {
                continue;
            }
            if (record.suspension != nullptr) {
                const bool leaving = record.suspension->event == "serverLeaving";
                const auto &request = record.suspension->field("id");
                std::string description = "backend server " + server + ": not called ";
                description += leaving ? "since it said that it leaves" : "for " + record.suspension->field("ms") + " ms, as it asked";
                description += ", in its answer to ";
                description += request.empty() ? "a status check" : request;
                found.push_back(makeItem(description, *record.suspension));
            }
            if (record.gone != nullptr) {
                found.push_back(makeItem("backend server " + server + ": its entry was removed", *record.gone));
                continue;
            }
            if (record.listed != nullptr) {
                const auto &draining = record.listed->field("draining");
                const auto &cold = record.listed->field("coldMs");
                std::string description = "backend server " + server + " at " + record.listed->field("address") + ": listed";
                description += draining.empty() || draining == "0" ? "" : ", draining";
                description += cold.empty() || cold == "0" ? "" : ", cold for " + cold + " ms";
                found.push_back(makeItem(description, *record.listed));
            }
            if (record.probe != nullptr) {
                const bool silent = record.probe->event == "backendServerSilent";
                found.push_back(
                    makeItem("backend server " + server + (silent ? ": did not answer its last probe" : ": answered its last probe"),
                             *record.probe));
            }
        }
        if (found.empty()) {
            // Reading the full list of backend servers logs a single line without the entries.
            found.push_back(m_lastListRead == nullptr
                                ? host_view_item{m_host, "no backend server of " + service + " was known", std::nullopt}
                                : makeItem("no line on a backend server of " + service + " since the list of all "
                                               + m_lastListRead->field("backendServers") + " was read",
                                           *m_lastListRead));
        }
        return found;
    }

    /// @return The last known state of another entry host, as a single item; empty when no line is about that host.
    [[nodiscard]] std::vector<host_view_item> peer(const std::string &name) const
    {
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            return {};
        }
        return {makeItem("entry host " + name + " was " + found->second->field("state"), *found->second)};
    }

private:
    /// Latest lines about a backend server.
    struct server_lines {
        std::string service;
        const log_line *listed = nullptr;
        const log_line *gone = nullptr;
        const log_line *probe = nullptr;
        const log_line *suspension = nullptr; // The backend server leaves, or wants no calls for a time.
    };

    void applyLine(const log_line &line)
    {
        if (line.part == "platform") {
            applyPlatformLine(line);
        } else if (line.part == "probe") {
            auto &server = m_servers[line.field("server")];
            server.service = line.field("service");
            server.probe = &line;
        } else if (line.event == "serverLeaving" || line.event == "serverQuiet") {
            auto &server = m_servers[line.field("server")];
            server.service = line.field("service");
            server.suspension = &line;
        } else if (line.part == "hosts" && line.event == "hostState") {
            m_peers[line.field("peer")] = &line;
        } else if (line.part == "main" && line.event == "started") {
            *this = reconstructed_view(m_host, m_until); // A new process starts without the state of its predecessor.
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
            server = {line.field("service"), &line, nullptr, nullptr, server.suspension};
        } else if (line.event == "backendServerGone") {
            m_servers[line.field("server")].gone = &line;
        }
    }

    reconstructed_view(std::string host, wall_time until)
        : m_host(std::move(host))
        , m_until(until)
    {
    }

    [[nodiscard]] host_view_item makeItem(std::string description, const log_line &line) const
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

/// @return Why a shard is missing; `end` itself if it is not a known value.
/// @param end Value of the log field missingBecause, the text of an attempt_end.
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

/// @return The last line that is not from a relay, written by the host that answered the caller; null when it is missing.
const log_line *findDecision(const std::vector<log_line> &requestLines)
{
    const log_line *decision = nullptr;
    for (const auto &line : requestLines) {
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
    if (line.event == "unauthenticated") {
        return "refused: it carried no key of an organisation in the configuration in force";
    }
    if (line.event == "keyWithdrawn") {
        return "ended because its key was withdrawn";
    }
    if (line.event == "overCap") {
        return "refused: organisation " + line.field("organisation") + " had reached its usage cap";
    }
    if (line.event == "capUnknown") {
        return "refused: the host that keeps the usage cap of organisation " + line.field("organisation") + " did not answer";
    }
    return "refused before it was routed: " + line.event;
}

bool lacksFullAnswer(const log_line &line)
{
    return line.event != "complete" && line.event != "answered";
}

template<typename Values>
void append(std::vector<host_view_item> &target, Values &&values)
{
    target.insert(target.end(), std::make_move_iterator(values.begin()), std::make_move_iterator(values.end()));
}

/// Adds a host's view of the platform and of the backend servers of the given services.
void addHostViews(std::vector<host_view_item> &target, const reconstructed_view &view, const std::set<std::string> &services)
{
    target.push_back(view.contact());
    target.push_back(view.routes());
    append(target, view.zonesOut());
    for (const auto &service : services) {
        append(target, view.backendServers(service));
    }
}

/// @return The service, or the shard given as an example of the missing ones, that a line about a failed request names.
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
void addLostRelays(explanation &target, const reconstructed_view &view, const std::vector<log_line> &lines, const log_line &decision)
{
    std::istringstream addresses(decision.field("lostRelays"));
    for (std::string address; std::getline(addresses, address, ',');) {
        const auto host = findHostAt(lines, address);
        if (host.empty()) {
            target.missingInformation.push_back("no line names the host at " + address);
        } else {
            append(target.hostViews, view.peer(host));
        }
    }
}

std::string formatAge(const host_view_item &item)
{
    return item.age ? " (for " + std::to_string(item.age->count()) + " ms)" : std::string();
}

} // namespace

explanation explainRequest(const std::vector<log_line> &lines, const std::string &request)
{
    explanation result;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(result.logLines), [&](const log_line &line) {
        return line.field("id") == request && isRequestLine(line);
    });
    const auto *decision = findDecision(result.logLines);
    if (decision != nullptr) {
        result.outcome = decision->part + " " + decision->event;
        result.cause = describeCause(*decision);
        if (lacksFullAnswer(*decision)) {
            const reconstructed_view view(lines, decision->host, decision->at);
            addHostViews(result.hostViews, view, failedServices(*decision));
            addLostRelays(result, view, lines, *decision);
            for (const auto &line : result.logLines) {
                if (line.part == "relay") {
                    addHostViews(result.hostViews, reconstructed_view(lines, line.host, line.at), failedServices(line));
                }
            }
        }
    } else if (!result.logLines.empty()) {
        result.missingInformation.emplace_back("the line of the host that answered the caller is missing");
    }
    for (const auto &line : lines) {
        const bool isNearRequest = result.logLines.empty()
            || (line.at >= result.logLines.front().at && line.at <= result.logLines.back().at + omissionReportDelay);
        if (line.event == "linesOmitted" && isNearRequest) {
            result.missingInformation.push_back(line.host + " left out " + line.field("lines") + " lines of requests before "
                                                + formatTime(line));
        }
    }
    return result;
}

std::string explanationText(const explanation &result)
{
    std::ostringstream text;
    for (const auto &line : result.logLines) {
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
    for (const auto &item : result.missingInformation) {
        text << "not in the logs: " << item << '\n';
    }
    return text.str();
}

std::string explanationJson(const explanation &result)
{
    json path = json::array();
    for (const auto &line : result.logLines) {
        path.push_back(
            {{"at", formatTime(line)}, {"host", line.host}, {"part", line.part}, {"event", line.event}, {"fields", line.fields}});
    }
    json views = json::array();
    for (const auto &item : result.hostViews) {
        views.push_back({{"host", item.host}, {"what", item.description}, {"ageMs", item.age ? json(item.age->count()) : json(nullptr)}});
    }
    const json all{
        {"outcome", result.outcome}, {"cause", result.cause}, {"path", path}, {"beliefs", views}, {"gaps", result.missingInformation}};
    return all.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace orioledrum
