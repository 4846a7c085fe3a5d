#include <gateway/change_source.h>
#include <gateway/gateway.h>
#include <gateway/gateway_settings.h>
#include <gateway/message_codec.h>
#include <platform/adapter.h>
#include <transport/http_client.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <boost/program_options.hpp>

#include <csignal>
#include <functional>
#include <iostream>

namespace
{

namespace options = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitStart = 3;

/// Time to open a connection to a backend server or to the platform; ways within a region take some milliseconds.
constexpr std::chrono::milliseconds connectTimeout{300};

int fail(int code, const std::string &message)
{
    std::cerr << "gatewayd: " << message << "\n";
    return code;
}

/// Calls a function at each signal of the set.
void onSignal(asio::signal_set &signals, std::function<void()> action)
{
    signals.async_wait([&signals, action = std::move(action)](const asio::error_code &code, int) mutable {
        if (!code) {
            action();
            onSignal(signals, std::move(action));
        }
    });
}

int run(const std::string &file, bool checkOnly)
{
    using namespace orioledrum;
    const auto settings = gateway_settings::load(file);
    if (!settings) {
        return fail(exitUsage, settings.error().describe());
    }
    if (checkOnly) {
        std::cout << file << ": valid\n";
        return 0;
    }
    asio::io_context context(1);
    // Installed first: a signal that arrives during the start waits for its handler and does not end the process.
    asio::signal_set stops(context, SIGTERM, SIGINT);
    asio::signal_set reloads(context, SIGHUP);
    http_client_settings limits;
    limits.connectTimeout = connectTimeout;
    limits.maxIdleConnections = settings->maxDescriptors / 3;
    const auto client = http_client::create(context, limits);
    if (!client) {
        return fail(exitStart, client.error().describe());
    }
    const auto codec = platform::makeCodec();
    const auto source = platform::makeSource(**client, settings->platform);
    const auto host = gateway::create(context, *settings, *codec, *source, **client);
    if (!host) {
        return fail(exitStart, host.error().describe());
    }
    onSignal(stops, [&] { (*host)->stop(); });
    onSignal(reloads, [&] {
        if (const auto changed = gateway_settings::load(file)) {
            (*host)->reload(*changed);
        } else {
            std::cerr << "gatewayd: the settings stay as they were: " << changed.error().describe() << "\n";
        }
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description described("Serves searches and requests on one entry host.\n\nUsage: gatewayd [options]");
    described.add_options()("help", "print this text")("version", "print the version")(
        "settings", options::value<std::string>(), "settings file; without it, the file that the platform names")(
        "check", "check the settings file and end");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
    } catch (const options::error &failure) {
        return fail(exitUsage, std::string(failure.what()) + "\nRun gatewayd --help for the options.");
    }
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }
    if (given.contains("version")) {
        std::cout << "gatewayd " << ORIOLEDRUM_VERSION << "\n";
        return 0;
    }
    std::string file;
    if (given.contains("settings")) {
        file = given["settings"].as<std::string>();
    } else if (auto named = orioledrum::platform::settingsPath()) {
        file = *named;
    } else {
        return fail(exitUsage, named.error().describe());
    }
    return run(file, given.contains("check"));
}
