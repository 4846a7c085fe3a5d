#include <standin/backend_fleet.h>
#include <standin/process.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace
{

using namespace orioledrum::standin;
using json = nlohmann::json;
namespace options = boost::program_options;

// Limits how much of the recording is lost when the process is killed.
constexpr std::chrono::milliseconds flushInterval{200};

tl::expected<json, std::string> readSettings(const options::variables_map &values)
{
    json settings = {{"backendServers", json::array()}};
    if (values.count("file") != 0) {
        const auto name = values["file"].as<std::string>();
        std::ifstream input(name);
        if (!input) {
            return tl::unexpected("Cannot read file " + name + ".");
        }
        settings = json::parse(input, nullptr, true, true);
        if (settings.is_array()) {
            settings = json{{"backendServers", settings}};
        }
    }
    if (values.count("backend") != 0) {
        for (const auto &text : values["backend"].as<std::vector<std::string>>()) {
            settings["backendServers"].push_back(json::parse(text));
        }
    }
    if (values.count("seed") != 0) {
        settings["seed"] = values["seed"].as<std::uint64_t>();
    }
    return settings;
}

void flushPeriodically(asio::steady_timer &timer, recorder &recording)
{
    timer.expires_after(flushInterval);
    timer.async_wait([&](std::error_code error) {
        if (!error) {
            recording.flush();
            flushPeriodically(timer, recording);
        }
    });
}

int run(const options::variables_map &values)
{
    raiseOpenFileLimit();
    const auto settingsJson = readSettings(values);
    if (!settingsJson) {
        std::cerr << settingsJson.error() << '\n';
        return 1;
    }
    const auto settings = parseFleet(*settingsJson);
    if (!settings) {
        std::cerr << settings.error() << '\n';
        return 1;
    }
    recorder recording;
    if (values.count("record") != 0 && !recording.open(values["record"].as<std::string>())) {
        std::cerr << "Cannot write file " << values["record"].as<std::string>() << ".\n";
        return 1;
    }
    const auto threads = values["threads"].as<std::uint32_t>();
    if (threads == 0) {
        std::cerr << "threads must be at least 1.\n";
        return 2;
    }
    asio::io_context context(1);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](std::error_code /*error*/, int /*signal*/) { context.stop(); });
    backend_fleet fleet(*settings, threads, recording);
    const auto ports = fleet.start(values["control-port"].as<std::uint16_t>());
    if (!ports) {
        std::cerr << ports.error() << '\n';
        return 1;
    }
    std::cout << *ports << std::endl;
    asio::steady_timer flushTimer(context);
    flushPeriodically(flushTimer, recording);
    context.run();
    fleet.stop();
    recording.flush();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("standin-backend: simulates many backend servers, each on its own loopback port");
    // clang-format off
    description.add_options()
        ("help", "show this help")
        ("file", options::value<std::string>(), "JSON file: {\"seed\",\"defaults\":{},\"backendServers\":[{\"id\",\"service\",\"shard\",\"zone\",\"port\",...}]}")
        ("backend", options::value<std::vector<std::string>>(), "additional backend server as JSON text; repeatable")
        ("seed", options::value<std::uint64_t>(), "seed of the service times and partial answers; overrides the seed in the file")
        ("control-port", options::value<std::uint16_t>()->default_value(0), "port for control requests; 0 for any free port")
        ("record", options::value<std::string>(), "file to record one JSON line per search and order")
        ("threads", options::value<std::uint32_t>()->default_value(2), "number of threads that serve the backend servers");
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
