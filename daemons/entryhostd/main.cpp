#include <entryhost/entry_host.h>
#include <entryhost/settings.h>
#include <logging/part_logger.h>

#include <csignal>
#include <iostream>
#include <vector>

namespace
{

constexpr int exitIncomplete = 1;
constexpr int exitUsage = 2;
constexpr int exitStart = 3;

/// Blocks the stop signals in this thread and all that it starts, so that sigwait receives them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace orioledrum;
    const auto request = parseSettings(std::vector<std::string>(argv + 1, argv + argc));
    if (!request) {
        std::cerr << "entryhostd: " << request.error().describe() << "\nRun entryhostd --help for the options.\n";
        return exitUsage;
    }
    if (request->showHelp) {
        std::cout << request->help;
        return 0;
    }
    if (request->showVersion) {
        std::cout << "entryhostd " << ORIOLEDRUM_VERSION << "\n";
        return 0;
    }
    initLogging(request->values.id.str(), request->values.logLevel);
    const part_logger logger("main");
    const sigset_t signals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);
    auto host = entry_host::create(request->values);
    if (!host) {
        logger.error("the entry host could not start", {{"error", host.error().describe()}});
        return exitStart;
    }
    std::cout << R"({"caller":)" << (*host)->callerPort() << R"(,"peer":)" << (*host)->peerPort() << R"(,"admin":)" << (*host)->adminPort()
              << "}" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return (*host)->stop() ? 0 : exitIncomplete;
}
