#include "host_commands.h"

#include "admin_client.h"
#include "command_line.h"
#include "gateway_status.h"
#include "log_commands.h"
#include "route_explanation.h"
#include "timeline.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace orioledrum
{

namespace
{

using nlohmann::json;
namespace po = boost::program_options;

constexpr const char *tokenVariable = "ORIOLEDRUM_ADMIN_TOKEN";

/// @return True for "ip:port" with a port above 0; an IPv6 address must be in brackets.
bool isValidHost(const std::string &host)
{
    const auto colon = host.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::uint16_t port = 0;
    const char *end = host.data() + host.size();
    const auto [parsed, failure] = std::from_chars(host.data() + colon + 1, end, port);
    auto address = host.substr(0, colon);
    int family = AF_INET;
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
        family = AF_INET6;
    }
    in6_addr binary{};
    return failure == std::errc() && parsed == end && port > 0 && inet_pton(family, address.c_str(), &binary) == 1;
}

/// @param allowSeveral True for an optional --host that may be repeated, false for a required one.
void addHostOptions(po::options_description &options, bool allowSeveral)
{
    auto *hosts = po::value<std::vector<std::string>>();
    options.add_options()("host",
                          allowSeveral ? hosts : hosts->required(),
                          allowSeveral ? "ip:port of an entry host's admin address; may be repeated"
                                       : "ip:port of the entry host's admin address")(
        "token", po::value<std::string>(), "admin token; other users of this machine can read it in the process list, unlike a token file")(
        "token-file", po::value<std::string>(), "file with the admin token")(
        "timeout-ms", po::value<std::uint32_t>()->default_value(3000), "timeout of one request");
}

/// Entry hosts to query, with the token and the timeout of each request.
struct host_options {
    std::vector<std::string> hosts;
    std::string token;
    std::chrono::milliseconds timeout{0};
};

/// @param problem Set to what is wrong when the result is empty.
std::optional<std::string> readToken(const po::variables_map &values, std::string &problem)
{
    std::string token;
    if (values.count("token") > 0) {
        token = values["token"].as<std::string>();
    } else if (values.count("token-file") > 0) {
        const auto path = values["token-file"].as<std::string>();
        std::ifstream stream(path);
        if (!std::getline(stream, token)) {
            problem = "the token file " + path + " cannot be read or is empty";
            return std::nullopt;
        }
    } else if (const char *value = std::getenv(tokenVariable); value != nullptr) { // NOLINT(concurrency-mt-unsafe)
        token = value;
    } else {
        problem = std::string("no token; use --token-file, --token or the environment variable ") + tokenVariable;
        return std::nullopt;
    }
    if (token.empty()
        || std::any_of(token.begin(), token.end(), [](unsigned char character) { return character < 0x21 || character > 0x7e; })) {
        problem = "the token must consist of visible ASCII characters";
        return std::nullopt;
    }
    return token;
}

/// Reads the options of addHostOptions(). Prints what is wrong with them on standard error and returns nothing if they are invalid.
std::optional<host_options> readHostOptions(const std::string &name, const po::variables_map &values)
{
    host_options options;
    std::string problem;
    options.hosts = values["host"].as<std::vector<std::string>>();
    const auto invalidHost = std::find_if_not(options.hosts.begin(), options.hosts.end(), isValidHost);
    if (invalidHost != options.hosts.end()) {
        problem = "--host " + *invalidHost + " must be an IP address and a port";
    } else if (auto token = readToken(values, problem)) {
        options.token = std::move(*token);
        options.timeout = std::chrono::milliseconds(values["timeout-ms"].as<std::uint32_t>());
        if (options.timeout.count() > 0) {
            return options;
        }
        problem = "--timeout-ms must be greater than 0";
    }
    std::cerr << "orioledrumctl " << name << ": " << problem << '\n';
    return std::nullopt;
}

std::string percentEncoded(const std::string &text)
{
    char *encoded = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
    std::string result = encoded != nullptr ? encoded : "";
    curl_free(encoded);
    return result;
}

int exitCodeFor(const error &failure)
{
    return failure.code == error_code::unreachable ? exitUnreachable : exitFailure;
}

/// Prints each value of a JSON document on its own line as "path/to/key: value".
void printFlattened(const json &value, const std::string &path)
{
    if (value.is_structured() && !value.empty()) {
        for (const auto &[key, item] : value.items()) {
            auto itemPath = path;
            if (!path.empty()) {
                itemPath += '/';
            }
            itemPath += key;
            printFlattened(item, itemPath);
        }
        return;
    }
    std::cout << path << ": " << (value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace))
              << '\n';
}

/// Fetches the events of all hosts. Hosts whose events cannot be fetched are reported on standard error.
/// @return exitOk, or the highest exit code of the hosts that failed.
int fetchTimelines(const host_options &options, std::vector<timeline_entry> &entries)
{
    int exitCode = exitOk;
    const admin_client client(options.token, options.timeout);
    for (const auto &host : options.hosts) {
        auto fetched = fetchTimeline(client, host);
        if (!fetched) {
            std::cerr << "orioledrumctl: " << fetched.error().describe() << '\n';
            exitCode = std::max(exitCode, exitCodeFor(fetched.error()));
            continue;
        }
        std::move(fetched->begin(), fetched->end(), std::back_inserter(entries));
    }
    return exitCode;
}

int printGatewayStatus(const command_line &commandLine)
{
    const auto host = commandLine.values["gateway"].as<std::string>();
    if (!isValidHost(host) || commandLine.values.count("host") > 0) {
        std::cerr << "orioledrumctl status: "
                  << (isValidHost(host) ? "--host and --gateway exclude each other"
                                        : "--gateway " + host + " must be an IP address and a port")
                  << '\n';
        return exitUsage;
    }
    const std::chrono::milliseconds timeout(commandLine.values["timeout-ms"].as<std::uint32_t>());
    const auto metrics = admin_client({}, timeout).get(host, "/metrics");
    if (!metrics) {
        std::cerr << "orioledrumctl: " << metrics.error().describe() << '\n';
        return exitCodeFor(metrics.error());
    }
    const auto status = gateway_status::parse(*metrics, host);
    if (!status) {
        std::cerr << "orioledrumctl: " << status.error().describe() << '\n';
        return exitFailure;
    }
    std::cout << (commandLine.json() ? status->json() + "\n" : status->text());
    return status->totalCalls().unaccounted == 0 ? exitOk : exitFailure;
}

} // namespace

int runStatus(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    po::options_description options;
    addHostOptions(options, true);
    options.add_options()("gateway", po::value<std::string>(), "ip:port of the metrics address of gatewayd, instead of --host and a token");
    const auto commandLine = parseCommand("status",
                                          "Prints the status of an entry host: entryhostd by --host, gatewayd by --gateway. For gatewayd "
                                          "the exit code is 1 when requests were written that no decision accounts for.",
                                          arguments,
                                          options,
                                          {},
                                          exitCode);
    if (!commandLine) {
        return exitCode;
    }
    if (commandLine->values.count("gateway") > 0) {
        return printGatewayStatus(*commandLine);
    }
    if (commandLine->values.count("host") == 0) {
        std::cerr << "orioledrumctl status: --host or --gateway is required\n";
        return exitUsage;
    }
    const auto hostOptions = readHostOptions("status", commandLine->values);
    if (!hostOptions) {
        return exitUsage;
    }
    if (hostOptions->hosts.size() != 1) {
        std::cerr << "orioledrumctl status: expected one --host\n";
        return exitUsage;
    }
    const auto body = admin_client(hostOptions->token, hostOptions->timeout).get(hostOptions->hosts[0], "/admin/v1/status");
    if (!body) {
        std::cerr << "orioledrumctl: " << body.error().describe() << '\n';
        return exitCodeFor(body.error());
    }
    const auto status = json::parse(*body, nullptr, false);
    if (status.is_discarded()) {
        std::cerr << "orioledrumctl: the status of " << hostOptions->hosts[0] << " is not JSON\n";
        return exitFailure;
    }
    if (commandLine->json()) {
        std::cout << status.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    } else {
        printFlattened(status, "");
    }
    return exitOk;
}

int runRoute(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    po::options_description options;
    options.add_options()("gateway", po::value<std::string>()->required(), "ip:port of the metrics address of gatewayd")(
        "method", po::value<std::string>()->default_value("GET"), "method of the request")(
        "organisation", po::value<std::string>(), "organisation whose key the request would carry")(
        "priority", po::value<std::uint32_t>(), "priority in place of that of the organisation and the route")(
        "timeout-ms", po::value<std::uint32_t>()->default_value(3000), "timeout of the question");
    const auto commandLine =
        parseCommand("route",
                     "Explains where a request to HOST and TARGET (path and query) would go now, and why, without "
                     "sending it. The gateway asks its own decision code and calls no backend server. The exit code is "
                     "1 when the request would be refused.",
                     arguments,
                     options,
                     {"HOST", "TARGET"},
                     exitCode);
    if (!commandLine) {
        return exitCode;
    }
    const auto &values = commandLine->values;
    const auto gateway = values["gateway"].as<std::string>();
    if (!isValidHost(gateway)) {
        std::cerr << "orioledrumctl route: --gateway " << gateway << " must be an IP address and a port\n";
        return exitUsage;
    }
    auto target = "/route?method=" + percentEncoded(values["method"].as<std::string>())
        + "&host=" + percentEncoded(commandLine->positional[0]) + "&target=" + percentEncoded(commandLine->positional[1]);
    if (values.count("organisation") > 0) {
        target += "&organisation=" + percentEncoded(values["organisation"].as<std::string>());
    }
    if (values.count("priority") > 0) {
        target += "&priority=" + std::to_string(values["priority"].as<std::uint32_t>());
    }
    const auto answer = admin_client({}, std::chrono::milliseconds(values["timeout-ms"].as<std::uint32_t>())).get(gateway, target);
    if (!answer) {
        std::cerr << "orioledrumctl: " << answer.error().describe() << '\n';
        return exitCodeFor(answer.error());
    }
    const auto text = routeExplanationText(*answer, gateway);
    if (!text) {
        std::cerr << "orioledrumctl: " << text.error().describe() << '\n';
        return exitFailure;
    }
    const auto explanation = json::parse(*answer);
    std::cout << (commandLine->json() ? explanation.dump(2) + "\n" : *text);
    const bool admitted = !explanation.contains("refusal") && explanation["admission"]["verdict"] == "admitted";
    return admitted ? exitOk : exitFailure;
}

int runTimeline(const std::vector<std::string> &arguments)
{
    int exitCode = exitOk;
    po::options_description options;
    addHostOptions(options, true);
    options.add_options()("request", po::value<std::string>(), "print only events of this request")(
        "svg", po::value<std::string>(), "also write an SVG drawing to this file")(
        "log",
        po::value<std::vector<std::string>>()->multitoken()->composing(),
        "log files of entry hosts (gatewayd), read instead of querying --host");
    const auto commandLine =
        parseCommand("timeline",
                     "Prints the events of entry hosts, or of their log files, sorted by wall time. Hosts that do not "
                     "answer are reported on standard error; the events of the others are still printed. Lines about requests "
                     "in log files are skipped unless --request selects one request.",
                     arguments,
                     options,
                     {},
                     exitCode);
    if (!commandLine) {
        return exitCode;
    }
    const auto request = commandLine->values.count("request") > 0 ? commandLine->values["request"].as<std::string>() : std::string();
    std::vector<timeline_entry> entries;
    if (commandLine->values.count("log") > 0) {
        auto read = readTimelineFromLogs(commandLine->values["log"].as<std::vector<std::string>>(), request);
        if (!read) {
            return exitFailure;
        }
        entries = std::move(*read);
    } else {
        if (commandLine->values.count("host") == 0) {
            std::cerr << "orioledrumctl timeline: --host or --log is required\n";
            return exitUsage;
        }
        const auto hostOptions = readHostOptions("timeline", commandLine->values);
        if (!hostOptions) {
            return exitUsage;
        }
        exitCode = fetchTimelines(*hostOptions, entries);
        if (!request.empty()) {
            std::erase_if(entries, [&request](const timeline_entry &entry) { return entry.request != request; });
        }
    }
    sortTimeline(entries);
    std::cout << (commandLine->json() ? timelineJson(entries) + "\n" : timelineText(entries));
    if (commandLine->values.count("svg") > 0) {
        const auto path = commandLine->values["svg"].as<std::string>();
        std::ofstream stream(path, std::ios::binary);
        stream << timelineSvg(entries);
        stream.close();
        if (!stream) {
            std::cerr << "orioledrumctl: cannot write " << path << '\n';
            exitCode = std::max<int>(exitCode, exitFailure);
        }
    }
    return exitCode;
}

} // namespace orioledrum
