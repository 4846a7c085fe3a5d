#include <entryhost/settings.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

namespace orioledrum
{

namespace
{

namespace po = boost::program_options;

constexpr auto readStep = "read settings";

po::options_description describeOptions()
{
    po::options_description options("Options of entryhostd (also key=value lines of the settings file)");
    auto add = options.add_options();
    add("id", po::value<std::string>(), "name of this entry host, unique in the fleet (required)");
    add("zone", po::value<std::string>(), "availability zone of this entry host (required)");
    add("caller-address", po::value<std::string>(), "ip:port for callers (required; port 0: the system chooses)");
    add("peer-address", po::value<std::string>(), "ip:port for other entry hosts (required)");
    add("admin-address", po::value<std::string>(), "ip:port for administration and metrics (required)");
    add("config-service",
        po::value<std::vector<std::string>>()->composing(),
        "base URL of the configuration service (repeatable, required)");
    add("host-service", po::value<std::vector<std::string>>()->composing(), "base URL of the host list service (repeatable, required)");
    add("peer", po::value<std::vector<std::string>>()->composing(), "ID,ZONE,IP:PORT of another entry host (repeatable)");
    add("admin-token", po::value<std::string>(), "bearer token of the administration API (required)");
    add("workers", po::value<unsigned>()->default_value(2), "threads for searches and backend calls, 1 to 64");
    add("caller-threads", po::value<unsigned>()->default_value(2), "threads for caller connections, 1 to 64");
    add("balancer-delay-ms", po::value<unsigned>()->default_value(2000), "wait between unready and the end of accepting in a planned stop");
    add("stop-limit-ms", po::value<unsigned>()->default_value(15000), "longest duration of a planned stop");
    add("log-level", po::value<std::string>()->default_value("info"), "debug, info, warning or error");
    return options;
}

/// The error for a value that is not allowed.
auto wrongValue(const std::string &key, const std::string &found, const std::string &allowed)
{
    return makeError(error_code::invalidArgument, readStep, "'" + key + "' is '" + found + "'; expected " + allowed);
}

expected<std::string> requiredText(const po::variables_map &values, const std::string &key)
{
    if (values.count(key) == 0 || values[key].as<std::string>().empty()) {
        return makeError(error_code::invalidArgument, readStep, "'" + key + "' is missing");
    }
    return values[key].as<std::string>();
}

expected<std::string> requiredAddress(const po::variables_map &values, const std::string &key)
{
    return requiredText(values, key).and_then([&key](const std::string &text) -> expected<std::string> {
        const auto colon = text.rfind(':');
        unsigned port = 65536;
        if (colon != std::string::npos && colon > 0) {
            const char *end = text.data() + text.size();
            const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
            if (parsed.ec != std::errc() || parsed.ptr != end) {
                port = 65536;
            }
        }
        if (port > 65535) {
            return wrongValue(key, text, "ip:port");
        }
        return text;
    });
}

expected<std::vector<std::string>> requiredUrls(const po::variables_map &values, const std::string &key)
{
    if (values.count(key) == 0) {
        return makeError(error_code::invalidArgument, readStep, "'" + key + "' is missing");
    }
    const auto urls = values[key].as<std::vector<std::string>>();
    for (const auto &url : urls) {
        if (!url.starts_with("http://")) {
            return wrongValue(key, url, "http://ip:port");
        }
    }
    return urls;
}

expected<seed_peer> parsePeer(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    if (parts.size() != 3 || std::any_of(parts.begin(), parts.end(), [](const auto &part) { return part.empty(); })) {
        return wrongValue("peer", text, "ID,ZONE,IP:PORT");
    }
    return seed_peer{entry_host_id(parts[0]), zone_id(parts[1]), parts[2]};
}

expected<unsigned> boundedNumber(const po::variables_map &values, const std::string &key, unsigned least, unsigned greatest)
{
    const unsigned number = values[key].as<unsigned>();
    if (number < least || number > greatest) {
        return wrongValue(key, std::to_string(number), std::to_string(least) + " to " + std::to_string(greatest));
    }
    return number;
}

/// Copies a value or keeps the first error, so that the fields can be read one per line.
template<typename T, typename Target>
void assign(expected<T> value, Target &target, std::optional<error> &firstError)
{
    if (!value) {
        if (!firstError) {
            firstError = value.error();
        }
        return;
    }
    target = Target(std::move(*value));
}

expected<entry_host_settings> toSettings(const po::variables_map &values)
{
    entry_host_settings result;
    std::optional<error> failure;
    assign(requiredText(values, "id"), result.id, failure);
    assign(requiredText(values, "zone"), result.zone, failure);
    assign(requiredAddress(values, "caller-address"), result.callerAddress, failure);
    assign(requiredAddress(values, "peer-address"), result.peerAddress, failure);
    assign(requiredAddress(values, "admin-address"), result.adminAddress, failure);
    assign(requiredUrls(values, "config-service"), result.configServices, failure);
    assign(requiredUrls(values, "host-service"), result.hostServices, failure);
    assign(requiredText(values, "admin-token"), result.adminToken, failure);
    assign(boundedNumber(values, "workers", 1, 64), result.workers, failure);
    assign(boundedNumber(values, "caller-threads", 1, 64), result.callerThreads, failure);
    assign(boundedNumber(values, "balancer-delay-ms", 0, 60000), result.balancerDelay, failure);
    assign(boundedNumber(values, "stop-limit-ms", 100, 120000), result.stopLimit, failure);
    assign(parseLogLevel(values["log-level"].as<std::string>()), result.logLevel, failure);
    if (values.count("peer") > 0) {
        for (const auto &text : values["peer"].as<std::vector<std::string>>()) {
            seed_peer peer;
            assign(parsePeer(text), peer, failure);
            result.peers.push_back(std::move(peer));
        }
    }
    if (failure) {
        return tl::unexpected<error>(*failure);
    }
    return result;
}

} // namespace

expected<command_line_settings> parseSettings(const std::vector<std::string> &arguments)
{
    const auto options = describeOptions();
    po::options_description commandLine("Usage: entryhostd [--settings FILE] [options]");
    commandLine.add_options()("help", "show this text")("version", "show the version")(
        "settings", po::value<std::string>(), "file of key=value lines; # starts a comment");
    commandLine.add(options);

    command_line_settings request;
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(commandLine).run(), values);
        std::ostringstream help;
        help << commandLine;
        request.help = help.str();
        request.showHelp = values.count("help") > 0;
        request.showVersion = values.count("version") > 0;
        if (request.showHelp || request.showVersion) {
            return request;
        }
        if (values.count("settings") > 0) {
            const auto path = values["settings"].as<std::string>();
            std::ifstream file(path);
            if (!file) {
                return makeError(error_code::invalidArgument, readStep, "cannot open the settings file", path);
            }
            po::store(po::parse_config_file(file, options), values);
        }
        auto checked = toSettings(values);
        if (!checked) {
            return tl::unexpected<error>(checked.error());
        }
        request.values = std::move(*checked);
        return request;
    } catch (const po::error &failure) {
        return makeError(error_code::invalidArgument, readStep, failure.what());
    }
}

} // namespace orioledrum
