#include "command_line.h"
#include "folder_commands.h"
#include "host_commands.h"
#include "log_commands.h"

#include <curl/curl.h>

#include <exception>
#include <functional>
#include <iostream>
#include <map>

namespace
{

using namespace orioledrum;

constexpr const char *usage = "Usage: orioledrumctl COMMAND [arguments]\n"
                              "\n"
                              "  check FOLDER            validate a configuration folder\n"
                              "  merged FOLDER           print each value of the merged configuration with its file\n"
                              "  diff FOLDER FOLDER      print the differences between two configuration folders\n"
                              "  status --host ip:port   print the status of an entry host\n"
                              "  timeline --host ip:port [--host ...]   print the events of entry hosts\n"
                              "  timeline --log FILE...  print the state changes of hosts, from their logs\n"
                              "  explain ID LOGFILE...   explain how a request ended, from the logs of all hosts\n"
                              "  route HOST TARGET --gateway ip:port   explain where a request would go now, without sending it\n"
                              "\n"
                              "'orioledrumctl COMMAND --help' lists the options of a command.\n"
                              "Exit codes: 0 ok, 1 failure or problems found, 2 usage, 3 unreachable.\n";

int run(const std::vector<std::string> &arguments)
{
    static const std::map<std::string, std::function<int(const std::vector<std::string> &)>> commands{
        {"check", runCheck},
        {"merged", runMerged},
        {"diff", runDiff},
        {"status", runStatus},
        {"timeline", runTimeline},
        {"explain", runExplain},
        {"route", runRoute},
    };
    if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h")) {
        std::cout << usage;
        return exitOk;
    }
    const auto command = arguments.empty() ? commands.end() : commands.find(arguments[0]);
    if (command == commands.end()) {
        std::cerr << (arguments.empty() ? "orioledrumctl: no command\n" : "orioledrumctl: unknown command " + arguments[0] + "\n") << usage;
        return exitUsage;
    }
    return command->second({arguments.begin() + 1, arguments.end()});
}

} // namespace

int main(int argc, char **argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int exitCode = exitFailure;
    try {
        exitCode = run({argv + 1, argv + argc});
    } catch (const std::exception &failure) {
        std::cerr << "orioledrumctl: " << failure.what() << '\n';
    }
    curl_global_cleanup();
    return exitCode;
}
