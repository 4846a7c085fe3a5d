#include <entryhost/entry_host.h>
#include <entryhost/settings.h>
#include <logging/component_logger.h>

#include <csignal>
#include <iostream>
#include <vector>

namespace
{

constexpr int exitIncomplete = 1; // The graceful stop did not finish in time; see entry_host::stop().
constexpr int exitUsage = 2;
constexpr int exitStartFailure = 3;

/// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts, so that sigwait() receives them.
sigset_t blockStopSignals()
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    return stopSignals;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace orioledrum;
    const auto options = parseSettings(std::vector<std::string>(argv + 1, argv + argc));
    if (!options) {
        std::cerr << "entryhostd: " << options.error().describe() << "\nRun entryhostd --help for the options.\n";
        return exitUsage;
    }
    if (options->showHelp) {
        std::cout << options->help;
        return 0;
    }
    if (options->showVersion) {
        std::cout << "entryhostd " << ORIOLEDRUM_VERSION << "\n";
        return 0;
    }
    initLogging(options->values.id.str(), options->values.logLevel);
    const component_logger logger("main");
    const sigset_t stopSignals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);
    auto host = entry_host::create(options->values);
    if (!host) {
        logger.error("the entry host could not start", {{"error", host.error().describe()}});
        return exitStartFailure;
    }
    std::cout << R"({"caller":)" << (*host)->callerPort() << R"(,"peer":)" << (*host)->peerPort() << R"(,"admin":)" << (*host)->adminPort()
              << "}" << std::endl;
    int receivedSignal = 0;
    sigwait(&stopSignals, &receivedSignal);
    return (*host)->stop() ? 0 : exitIncomplete;
}
