#include "host_list_file.h"

#include <standin/control_server.h>
#include <standin/process.h>
#include <standin/revision_service.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

namespace
{

using namespace orioledrum::standin;
using json = nlohmann::json;
namespace options = boost::program_options;

constexpr std::string_view hostPath = "/control/host/";

http_response publishHosts(revision_service &service, json &hosts, json updatedHosts)
{
    if (const std::string problem = validateHosts(updatedHosts); !problem.empty()) {
        return errorResponse(400, "invalidArgument", problem);
    }
    hosts = std::move(updatedHosts);
    return {200, {}, json{{"revision", service.publish(hosts.dump())}}.dump()};
}

http_response replaceHosts(revision_service &service, json &hosts, const http_request &request)
{
    const auto body = json::parse(request.body);
    if (!body.contains("file")) {
        return publishHosts(service, hosts, body.at("hosts"));
    }
    auto read = readHostFile(body["file"].get<std::string>());
    return read ? publishHosts(service, hosts, std::move(*read)) : errorResponse(400, "invalidArgument", read.error());
}

/// Adds or updates the host named in the path, or removes it when the body contains "remove":true.
http_response updateHost(revision_service &service, json &hosts, const http_request &request)
{
    const std::string id = request.path.substr(hostPath.size());
    const auto body = json::parse(request.body);
    json updatedHosts = json::array();
    bool found = false;
    for (json host : hosts) {
        if (host["id"] == id) {
            found = true;
            if (body.value("remove", false)) {
                continue;
            }
            host.update(body);
        }
        updatedHosts.push_back(std::move(host));
    }
    if (!found && body.value("remove", false)) {
        return errorResponse(404, "invalidArgument", "Host " + id + " is not in the list.");
    }
    if (!found) {
        json host = body;
        host["id"] = id;
        updatedHosts.push_back(std::move(host));
    }
    return publishHosts(service, hosts, std::move(updatedHosts));
}

int run(const options::variables_map &values)
{
    raiseOpenFileLimit();
    asio::io_context context(1);
    revision_service_settings settings;
    settings.path = "/v1/hosts";
    settings.valueMember = "hosts";
    settings.firstRevision = values["first-revision"].as<std::uint64_t>();
    settings.callsPerSecond = values["calls-per-second"].as<std::uint64_t>();
    settings.lag = std::chrono::milliseconds(values["lag-ms"].as<std::uint32_t>());
    revision_service service(context, settings);
    auto hosts = readHostFile(values["file"].as<std::string>());
    if (!hosts) {
        std::cerr << hosts.error() << '\n';
        return 1;
    }
    const std::uint64_t revision = service.publish(hosts->dump());
    control_server controlServer(context, [&service, &hosts](const http_request &request) {
        if (auto response = service.handleControl(request)) {
            return *response;
        }
        if (request.method == "POST" && request.path == "/control/hosts") {
            return replaceHosts(service, *hosts, request);
        }
        if (request.method == "POST" && request.path.starts_with(hostPath) && request.path.size() > hostPath.size()) {
            return updateHost(service, *hosts, request);
        }
        return errorResponse(404, "invalidArgument", "Unknown control request.");
    });
    const auto port = service.listen(values["port"].as<std::uint16_t>());
    const auto controlPort = controlServer.listen(values["control-port"].as<std::uint16_t>());
    if (!port || !controlPort) {
        std::cerr << (port ? controlPort.error() : port.error()) << '\n';
        return 1;
    }
    std::cout << json{{"port", *port}, {"controlPort", *controlPort}, {"revision", revision}}.dump() << std::endl;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](std::error_code /*error*/, int /*signal*/) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("standin-hosts: stand-in for the host list service of the platform");
    // clang-format off
    description.add_options()
        ("help", "show this help")
        ("file", options::value<std::string>()->required(), "JSON file with the initial host list")
        ("port", options::value<std::uint16_t>()->default_value(0), "port of GET /v1/hosts; 0 for any free port")
        ("control-port", options::value<std::uint16_t>()->default_value(0), "port for control requests; 0 for any free port")
        ("calls-per-second", options::value<std::uint64_t>()->default_value(2000), "rate limit; calls above it get 429; 0 for no limit")
        ("first-revision", options::value<std::uint64_t>()->default_value(1), "number of the first revision")
        ("lag-ms", options::value<std::uint32_t>()->default_value(0), "delay in ms between a change of the list and serving it");
    // clang-format on
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description << '\n';
            return 0;
        }
        options::notify(values);
        return run(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
