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

/// Lines about a request that were left out are reported with the first line of a later second, so the report may be late.
constexpr std::chrono::seconds omissionReport{2};

std::string timeOf(const log_line &line)
{
    return formatWallTime(std::chrono::duration_cast<std::chrono::microseconds>(line.at.time_since_epoch()).count());
}

/// What the lines of one host say up to a time, by subject. A later line on a subject replaces an earlier one.
class host_beliefs
{
public:
    host_beliefs(const std::vector<log_line> &lines, std::string host, wall_time until)
        : m_host(std::move(host))
        , m_until(until)
    {
        for (const auto &line : lines) {
            if (line.at > until) {
                break;
            }
            if (line.host == m_host) {
                take(line);
            }
        }
    }

    [[nodiscard]] belief contact() const
    {
        if (m_contact == nullptr) {
            return {m_host, "no line on contact with the platform", std::nullopt};
        }
        const bool lost = m_contact->event == "contactLost";
        return make(lost ? "had lost the platform: " + m_contact->field("error") : std::string("had contact with the platform"),
                    *m_contact);
    }

    [[nodiscard]] belief routes() const
    {
        if (m_routes == nullptr) {
            return {m_host, "no line on routes in force", std::nullopt};
        }
        return make("routes of version " + m_routes->field("version") + " were in force", *m_routes);
    }

    [[nodiscard]] std::vector<belief> zonesOut() const
    {
        if (m_zonesOut == nullptr || m_zonesOut->field("zones").empty()) {
            return {};
        }
        return {make("availability zones taken out: " + m_zonesOut->field("zones"), *m_zonesOut)};
    }

    /// @return What is known of each backend server of a service.
    [[nodiscard]] std::vector<belief> servers(const std::string &service) const
    {
        std::vector<belief> found;
        for (const auto &[server, known] : m_servers) {
            if (known.service != service) {
                continue;
            }
            if (known.gone != nullptr) {
                found.push_back(make("backend server " + server + ": its entry was gone", *known.gone));
                continue;
            }
            if (known.listed != nullptr) {
                const auto &draining = known.listed->field("draining");
                const auto &cold = known.listed->field("coldMs");
                std::string what = "backend server " + server + " at " + known.listed->field("address") + ": listed";
                what += draining.empty() || draining == "0" ? "" : ", leaving";
                what += cold.empty() || cold == "0" ? "" : ", cold for " + cold + " ms";
                found.push_back(make(what, *known.listed));
            }
            if (known.probe != nullptr) {
                const bool silent = known.probe->event == "backendServerSilent";
                found.push_back(
                    make("backend server " + server + (silent ? ": silent when probed" : ": answered when probed"), *known.probe));
            }
        }
        if (found.empty()) {
            // A list of entries is logged as one line without its entries.
            found.push_back(m_list == nullptr ? belief{m_host, "no backend server of " + service + " was known", std::nullopt}
                                              : make("no line on a backend server of " + service + " since the list of all "
                                                         + m_list->field("backendServers") + " was read",
                                                     *m_list));
        }
        return found;
    }

    /// @return What is known of another entry host.
    [[nodiscard]] std::vector<belief> peer(const std::string &name) const
    {
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            return {};
        }
        return {make("entry host " + name + " was " + found->second->field("state"), *found->second)};
    }

private:
    struct server_lines {
        std::string service;
        const log_line *listed = nullptr;
        const log_line *gone = nullptr;
        const log_line *probe = nullptr;
    };

    void take(const log_line &line)
    {
        if (line.part == "platform") {
            takePlatform(line);
        } else if (line.part == "probe") {
            auto &server = m_servers[line.field("server")];
            server.service = line.field("service");
            server.probe = &line;
        } else if (line.part == "hosts" && line.event == "hostState") {
            m_peers[line.field("peer")] = &line;
        } else if (line.part == "main" && line.event == "started") {
            *this = host_beliefs(m_host, m_until); // A new process knows nothing of what the earlier one believed.
        }
    }

    void takePlatform(const log_line &line)
    {
        if (line.event == "contactLost" || line.event == "contactRegained" || line.event == "listRead") {
            m_contact = &line;
            m_list = line.event == "listRead" ? &line : m_list;
        } else if (line.event == "routesInForce") {
            m_routes = &line;
        } else if (line.event == "zonesOut") {
            m_zonesOut = &line;
        } else if (line.event == "backendServer") {
            auto &server = m_servers[line.field("server")];
            server = {line.field("service"), &line, nullptr, nullptr};
        } else if (line.event == "backendServerGone") {
            m_servers[line.field("server")].gone = &line;
        }
    }

    host_beliefs(std::string host, wall_time until)
        : m_host(std::move(host))
        , m_until(until)
    {
    }

    [[nodiscard]] belief make(std::string what, const log_line &line) const
    {
        return {m_host, std::move(what), std::chrono::duration_cast<std::chrono::milliseconds>(m_until - line.at)};
    }

    std::string m_host;
    wall_time m_until;
    const log_line *m_contact = nullptr;
    const log_line *m_list = nullptr;
    const log_line *m_routes = nullptr;
    const log_line *m_zonesOut = nullptr;
    std::map<std::string, server_lines> m_servers;
    std::map<std::string, const log_line *> m_peers;
};

/// @return What an attempt_end means for a shard.
std::string meaningOf(const std::string &end)
{
    static const std::map<std::string, std::string> meanings{
        {"timedOut", "its backend servers were asked and had not answered in time (slow, paused or silent)"},
        {"shed", "its backend servers were full and turned the call away"},
        {"unreachable", "no backend server could be asked"},
        {"broken", "the connection to its backend server broke"},
        {"failed", "its backend server answered with an error"},
        {"abandoned", "the call was given up"},
    };
    const auto found = meanings.find(end);
    return found == meanings.end() ? end : found->second;
}

/// @return The line that ended the request for its caller.
const log_line *decisionOf(const std::vector<log_line> &path)
{
    const log_line *decision = nullptr;
    for (const auto &line : path) {
        if (line.part != "relay") {
            decision = &line;
        }
    }
    return decision;
}

std::string causeOfSearch(const log_line &line)
{
    const auto &shard = line.field("missingShard");
    if (line.event == "complete") {
        return "nothing was lost: all " + line.field("shards") + " shards answered, after " + line.field("ms")
            + " ms; the slowest call took " + line.field("slowestMs") + " ms";
    }
    if (line.event == "overloaded") {
        return "refused before anything was sent: enough shards were expected to have answered only after " + line.field("expectedMs")
            + " ms, more than the route's target allows";
    }
    if (line.event == "notStarted") {
        return "refused before anything was sent: too few shards had a backend server that answers, among them not " + shard;
    }
    std::string cause = line.field("missing") + " of " + line.field("shards") + " shards were missing, for example " + shard + ": "
        + meaningOf(line.field("missingBecause"));
    const auto &skipped = line.field("skipped");
    if (!skipped.empty() && skipped != "0") {
        cause += "; " + skipped + " shards were not asked because their queues were too long";
    }
    if (!line.field("lostRelays").empty()) {
        cause += "; these hosts gathered parts and did not answer in time: " + line.field("lostRelays");
    }
    return cause + "; hedges " + line.field("hedges") + ", retries " + line.field("retries");
}

std::string causeOfForward(const log_line &line)
{
    if (line.event == "answered") {
        return "nothing was lost: backend server " + line.field("server") + " answered with status " + line.field("status") + " after "
            + line.field("ms") + " ms";
    }
    const std::string last =
        " (" + line.field("calls") + " calls; the last one, to " + line.field("server") + ": " + line.field("lastCall") + ")";
    if (line.event == "notRun") {
        return "refused: no backend server of " + line.field("service") + " has run it or will run it" + last;
    }
    return "it may have run and was not sent again" + last;
}

std::string causeOf(const log_line &line)
{
    if (line.part == "search") {
        return causeOfSearch(line);
    }
    if (line.part == "forward") {
        return causeOfForward(line);
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

bool lostSomething(const log_line &line)
{
    return line.event != "complete" && line.event != "answered";
}

template<typename Values>
void append(std::vector<belief> &to, Values &&values)
{
    to.insert(to.end(), std::make_move_iterator(values.begin()), std::make_move_iterator(values.end()));
}

/// Adds what a host believed of the platform and of the shards or services that failed.
void addBeliefs(std::vector<belief> &to, const host_beliefs &known, const std::set<std::string> &services)
{
    to.push_back(known.contact());
    to.push_back(known.routes());
    append(to, known.zonesOut());
    for (const auto &service : services) {
        append(to, known.servers(service));
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

/// @return The host that listens on an address for other entry hosts, by the latest line that says so; empty when none does.
std::string hostAt(const std::vector<log_line> &lines, const std::string &address)
{
    std::string host;
    for (const auto &line : lines) {
        if (line.part == "main" && line.event == "started" && line.field("hosts") == address) {
            host = line.host;
        }
    }
    return host;
}

/// Adds what the host that answered believed of those that did not gather their parts in time.
void addLostRelays(explanation &to, const host_beliefs &known, const std::vector<log_line> &lines, const log_line &decision)
{
    std::istringstream addresses(decision.field("lostRelays"));
    for (std::string address; std::getline(addresses, address, ',');) {
        const auto host = hostAt(lines, address);
        if (host.empty()) {
            to.gaps.push_back("no line names the host at " + address);
        } else {
            append(to.beliefs, known.peer(host));
        }
    }
}

std::string ageText(const belief &each)
{
    return each.age ? " (for " + std::to_string(each.age->count()) + " ms)" : std::string();
}

} // namespace

explanation explainRequest(const std::vector<log_line> &lines, const std::string &request)
{
    explanation explained;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(explained.path), [&](const log_line &line) {
        return line.field("id") == request && isRequestLine(line);
    });
    const auto *decision = decisionOf(explained.path);
    if (decision != nullptr) {
        explained.outcome = decision->part + " " + decision->event;
        explained.cause = causeOf(*decision);
        if (lostSomething(*decision)) {
            const host_beliefs known(lines, decision->host, decision->at);
            addBeliefs(explained.beliefs, known, failedServices(*decision));
            addLostRelays(explained, known, lines, *decision);
            for (const auto &line : explained.path) {
                if (line.part == "relay") {
                    addBeliefs(explained.beliefs, host_beliefs(lines, line.host, line.at), failedServices(line));
                }
            }
        }
    } else if (!explained.path.empty()) {
        explained.gaps.emplace_back("the line of the host that answered the caller is missing");
    }
    for (const auto &line : lines) {
        const bool near =
            explained.path.empty() || (line.at >= explained.path.front().at && line.at <= explained.path.back().at + omissionReport);
        if (line.event == "linesOmitted" && near) {
            explained.gaps.push_back(line.host + " left out " + line.field("lines") + " lines of requests before " + timeOf(line));
        }
    }
    return explained;
}

std::string explanationText(const explanation &explained)
{
    std::ostringstream text;
    for (const auto &line : explained.path) {
        text << timeOf(line) << "  " << line.host << "  " << line.part << ' ' << line.event;
        for (const auto &[name, value] : line.fields) {
            if (name != "id" && !value.empty()) {
                text << "  " << name << '=' << value;
            }
        }
        text << '\n';
    }
    if (!explained.outcome.empty()) {
        text << "outcome: " << explained.outcome << "\ncause: " << explained.cause << '\n';
    }
    for (const auto &each : explained.beliefs) {
        text << "believed by " << each.host << ": " << each.what << ageText(each) << '\n';
    }
    for (const auto &gap : explained.gaps) {
        text << "not in the logs: " << gap << '\n';
    }
    return text.str();
}

std::string explanationJson(const explanation &explained)
{
    json path = json::array();
    for (const auto &line : explained.path) {
        path.push_back({{"at", timeOf(line)}, {"host", line.host}, {"part", line.part}, {"event", line.event}, {"fields", line.fields}});
    }
    json beliefs = json::array();
    for (const auto &each : explained.beliefs) {
        beliefs.push_back({{"host", each.host}, {"what", each.what}, {"ageMs", each.age ? json(each.age->count()) : json(nullptr)}});
    }
    const json all{
        {"outcome", explained.outcome}, {"cause", explained.cause}, {"path", path}, {"beliefs", beliefs}, {"gaps", explained.gaps}};
    return all.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace orioledrum
