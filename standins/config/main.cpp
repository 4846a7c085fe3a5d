#include "config_folder.h"

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
namespace options = boost::program_options;

http_response publish(revision_service &service, const http_request &request)
{
    const auto body = nlohmann::json::parse(request.body);
    std::string files;
    if (body.contains("folder")) {
        auto read = readConfigFolder(body["folder"].get<std::string>());
        if (!read) {
            return errorResponse(400, "invalidArgument", read.error());
        }
        files = std::move(*read);
    } else {
        files = nlohmann::json(body.at("files").get<std::map<std::string, std::string>>()).dump();
    }
    return {200, {}, nlohmann::json{{"revision", service.publish(std::move(files))}}.dump()};
}

int run(const options::variables_map &values)
{
    raiseOpenFileLimit();
    asio::io_context context(1);
    revision_service_settings settings;
    settings.path = "/v1/config";
    settings.valueMember = "files";
    settings.firstRevision = values["first-revision"].as<std::uint64_t>();
    settings.callsPerSecond = values["calls-per-second"].as<std::uint64_t>();
    settings.lag = std::chrono::milliseconds(values["lag-ms"].as<std::uint32_t>());
    revision_service service(context, settings);
    auto files = readConfigFolder(values["folder"].as<std::string>());
    if (!files) {
        std::cerr << files.error() << '\n';
        return 1;
    }
    const std::uint64_t revision = service.publish(std::move(*files));
    control_server controlServer(context, [&service](const http_request &request) {
        if (auto response = service.handleControl(request)) {
            return *response;
        }
        if (request.method == "POST" && request.path == "/control/publish") {
            return publish(service, request);
        }
        return errorResponse(404, "invalidArgument", "Unknown control request.");
    });
    const auto port = service.listen(values["port"].as<std::uint16_t>());
    const auto controlPort = controlServer.listen(values["control-port"].as<std::uint16_t>());
    if (!port || !controlPort) {
        std::cerr << (port ? controlPort.error() : port.error()) << '\n';
        return 1;
    }
    std::cout << nlohmann::json{{"port", *port}, {"controlPort", *controlPort}, {"revision", revision}}.dump() << std::endl;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](std::error_code /*error*/, int /*signal*/) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description(
        "standin-config: stand-in for the configuration service; serves a folder of files as numbered revisions");
    // clang-format off
    description.add_options()
        ("help", "show this help")
        ("folder", options::value<std::string>()->required(), "folder with the files of the first revision")
        ("port", options::value<std::uint16_t>()->default_value(0), "port of GET /v1/config; 0 for any free port")
        ("control-port", options::value<std::uint16_t>()->default_value(0), "port for control requests; 0 for any free port")
        ("calls-per-second", options::value<std::uint64_t>()->default_value(2000), "rate limit; calls above it get 429; 0 for no limit")
        ("first-revision", options::value<std::uint64_t>()->default_value(1), "number of the first revision")
        ("lag-ms", options::value<std::uint32_t>()->default_value(0), "delay in ms between publishing a revision and serving it");
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
