#include <gateway/change_source.h>
#include <gateway/gateway.h>
#include <gateway/gateway_settings.h>
#include <gateway/message_codec.h>
#include <platform/adapter.h>
#include <transport/http_client.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <boost/program_options.hpp>

#include <malloc.h>

#include <csignal>
#include <exception>
#include <functional>
#include <iostream>

namespace
{

namespace options = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitStartFailure = 3;

/// Timeout for opening a connection to a backend server, another entry host or the platform; network delays in a region are a few
/// milliseconds.
constexpr std::chrono::milliseconds connectTimeout{300};

/// An allocation of at least this size is returned to the system when it is freed: the initial value of the C library.
constexpr int largeAllocationBytes = 128 * 1024;

int fail(int code, const std::string &message)
{
    std::cerr << "gatewayd: " << message << "\n";
    return code;
}

/// Calls `action` each time a signal of the set arrives. The set must exist as long as the event loop runs.
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
    if (settings->memoryBytes) {
        // The allocator would otherwise raise this threshold, and keep the memory of large bodies that have been freed.
        ::mallopt(M_MMAP_THRESHOLD, largeAllocationBytes);
    }
    asio::io_context context(1);
    // Created first: a signal that arrives during start-up is queued for its handler and does not terminate the process.
    asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    asio::signal_set reloadSignals(context, SIGHUP);
    http_client_settings clientSettings;
    clientSettings.connectTimeout = connectTimeout;
    clientSettings.maxBufferedBytes = settings->replyMemoryBytes();
    clientSettings.maxIdleConnections = settings->maxDescriptors / 3; // The rest is for connections of callers and other sockets.
    const auto client = http_client::create(context, clientSettings);
    if (!client) {
        return fail(exitStartFailure, client.error().describe());
    }
    const auto codec = platform::makeCodec();
    const auto source = platform::makeSource(**client, settings->platform);
    const auto instance = gateway::create(context, *settings, *codec, *source, **client);
    if (!instance) {
        return fail(exitStartFailure, instance.error().describe());
    }
    onSignal(stopSignals, [&] { (*instance)->stop(); });
    onSignal(reloadSignals, [&] {
        if (const auto newSettings = gateway_settings::load(file)) {
            (*instance)->reload(*newSettings);
        } else {
            std::cerr << "gatewayd: keeping the current settings: " << newSettings.error().describe() << "\n";
        }
    });
    // An exception of one event handler must not end the process, and with it all other requests.
    for (;;) {
        try {
            context.run();
            return 0;
        } catch (const std::exception &failure) {
            std::cerr << "gatewayd: unexpected error in an event handler: " << failure.what() << "\n";
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description description("Serves the requests of callers on one entry host.\n\nUsage: gatewayd [options]");
    description.add_options()("help", "print this text")("version", "print the version")(
        "settings", options::value<std::string>(), "settings file; default: the file that the platform specifies")(
        "check", "check the settings file and exit");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error &failure) {
        return fail(exitUsage, std::string(failure.what()) + "\nRun gatewayd --help for the options.");
    }
    if (arguments.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (arguments.contains("version")) {
        std::cout << "gatewayd " << ORIOLEDRUM_VERSION << "\n";
        return 0;
    }
    std::string file;
    if (arguments.contains("settings")) {
        file = arguments["settings"].as<std::string>();
    } else if (auto defaultFile = orioledrum::platform::settingsPath()) {
        file = *defaultFile;
    } else {
        return fail(exitUsage, defaultFile.error().describe());
    }
    return run(file, arguments.contains("check"));
}
