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
    po::options_description options("Options (also accepted as key=value lines in the settings file)");
    auto add = options.add_options();
    add("id", po::value<std::string>(), "ID of this entry host, unique among all entry hosts (required)");
    add("zone", po::value<std::string>(), "availability zone of this entry host (required)");
    add("caller-address", po::value<std::string>(), "ip:port for callers (required; port 0: the system assigns a free port)");
    add("peer-address", po::value<std::string>(), "ip:port for other entry hosts (required)");
    add("admin-address", po::value<std::string>(), "ip:port for administration and metrics (required)");
    add("config-service",
        po::value<std::vector<std::string>>()->composing(),
        "base URL of the configuration service (repeatable, required)");
    add("host-service", po::value<std::vector<std::string>>()->composing(), "base URL of the host list service (repeatable, required)");
    add("peer", po::value<std::vector<std::string>>()->composing(), "ID,ZONE,IP:PORT of another entry host (repeatable)");
    add("admin-token", po::value<std::string>(), "bearer token of the administration API (required)");
    add("workers", po::value<unsigned>()->default_value(2), "threads for searches, orders and calls to backend servers, 1 to 64");
    add("caller-threads", po::value<unsigned>()->default_value(2), "I/O threads for caller connections, 1 to 64");
    add("balancer-delay-ms",
        po::value<unsigned>()->default_value(2000),
        "planned stop: time between reporting not ready and closing the caller port");
    add("stop-limit-ms", po::value<unsigned>()->default_value(15000), "maximum duration of a planned stop");
    add("log-level", po::value<std::string>()->default_value("info"), "debug, info, warning or error");
    return options;
}

/// @return An error that names the key, the value found and the values allowed.
auto invalidValue(const std::string &key, const std::string &found, const std::string &allowed)
{
    return makeError(error_code::invalidArgument, readStep, "'" + key + "' is '" + found + "'; expected " + allowed);
}

expected<std::string> readRequiredText(const po::variables_map &values, const std::string &key)
{
    if (values.count(key) == 0 || values[key].as<std::string>().empty()) {
        return makeError(error_code::invalidArgument, readStep, "'" + key + "' is missing");
    }
    return values[key].as<std::string>();
}

expected<std::string> readRequiredAddress(const po::variables_map &values, const std::string &key)
{
    return readRequiredText(values, key).and_then([&key](const std::string &text) -> expected<std::string> {
        const auto colon = text.rfind(':');
        unsigned port = 65536; // Not a port number; marks an invalid text.
        if (colon != std::string::npos && colon > 0) {
            const char *end = text.data() + text.size();
            const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
            if (parsed.ec != std::errc() || parsed.ptr != end) {
                port = 65536;
            }
        }
        if (port > 65535) {
            return invalidValue(key, text, "ip:port");
        }
        return text;
    });
}

expected<std::vector<std::string>> readRequiredUrls(const po::variables_map &values, const std::string &key)
{
    if (values.count(key) == 0) {
        return makeError(error_code::invalidArgument, readStep, "'" + key + "' is missing");
    }
    const auto urls = values[key].as<std::vector<std::string>>();
    for (const auto &url : urls) {
        if (!url.starts_with("http://")) {
            return invalidValue(key, url, "http://ip:port");
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
        return invalidValue("peer", text, "ID,ZONE,IP:PORT");
    }
    return seed_peer{entry_host_id(parts[0]), zone_id(parts[1]), parts[2]};
}

expected<unsigned> readNumberInRange(const po::variables_map &values, const std::string &key, unsigned minimum, unsigned maximum)
{
    const unsigned number = values[key].as<unsigned>();
    if (number < minimum || number > maximum) {
        return invalidValue(key, std::to_string(number), std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return number;
}

/// Moves a value into `target`, or the error into `firstError` unless that holds an earlier error.
template<typename T, typename Target>
void assignOrRecordError(expected<T> value, Target &target, std::optional<error> &firstError)
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
    assignOrRecordError(readRequiredText(values, "id"), result.id, failure);
    assignOrRecordError(readRequiredText(values, "zone"), result.zone, failure);
    assignOrRecordError(readRequiredAddress(values, "caller-address"), result.callerAddress, failure);
    assignOrRecordError(readRequiredAddress(values, "peer-address"), result.peerAddress, failure);
    assignOrRecordError(readRequiredAddress(values, "admin-address"), result.adminAddress, failure);
    assignOrRecordError(readRequiredUrls(values, "config-service"), result.configServices, failure);
    assignOrRecordError(readRequiredUrls(values, "host-service"), result.hostServices, failure);
    assignOrRecordError(readRequiredText(values, "admin-token"), result.adminToken, failure);
    assignOrRecordError(readNumberInRange(values, "workers", 1, 64), result.workers, failure);
    assignOrRecordError(readNumberInRange(values, "caller-threads", 1, 64), result.callerThreads, failure);
    assignOrRecordError(readNumberInRange(values, "balancer-delay-ms", 0, 60000), result.callerPortCloseDelay, failure);
    assignOrRecordError(readNumberInRange(values, "stop-limit-ms", 100, 120000), result.stopLimit, failure);
    assignOrRecordError(parseLogLevel(values["log-level"].as<std::string>()), result.logLevel, failure);
    if (values.count("peer") > 0) {
        for (const auto &text : values["peer"].as<std::vector<std::string>>()) {
            seed_peer peer;
            assignOrRecordError(parsePeer(text), peer, failure);
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
        "settings", po::value<std::string>(), "file with key=value lines; # starts a comment");
    commandLine.add(options);

    command_line_settings result;
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(commandLine).run(), values);
        std::ostringstream help;
        help << commandLine;
        result.help = help.str();
        result.showHelp = values.count("help") > 0;
        result.showVersion = values.count("version") > 0;
        if (result.showHelp || result.showVersion) {
            return result;
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
        result.values = std::move(*checked);
        return result;
    } catch (const po::error &failure) {
        return makeError(error_code::invalidArgument, readStep, failure.what());
    }
}

} // namespace orioledrum
