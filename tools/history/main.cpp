#include <history/check.h>
#include <history/read_history.h>
#include <history/render.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace
{

using namespace orioledrum::history;
namespace options = boost::program_options;

enum exit_code : int { exitOk = 0, exitViolated = 1, exitUsage = 2, exitUnreadable = 3 };

/// Converts the value of a time option, which is in seconds or milliseconds.
std::chrono::microseconds timeOption(const options::variables_map &values, const char *name, double microsecondsPerUnit)
{
    const double value = values[name].as<double>();
    if (!(value >= 0 && value < 1e6)) {
        throw options::error(std::string("--") + name + " must be at least 0 and below 1000000");
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(value * microsecondsPerUnit));
}

int reportUnreadable(const std::string &message)
{
    std::cerr << "orioledrum-history: " << message << '\n';
    return exitUnreadable;
}

int run(const options::variables_map &values)
{
    check_settings settings;
    settings.noNewWorkAfter = timeOption(values, "no-new-work-s", 1e6);
    settings.maxActivationDelay = timeOption(values, "in-force-s", 1e6);
    settings.deadlineGrace = timeOption(values, "deadline-grace-ms", 1e3);
    settings.maxTransit = timeOption(values, "transit-ms", 1e3);
    settings.allowColdBeforeFirstResponse = values.count("allow-cold-before-word") != 0;
    settings.hitsPerShard = values["hits-per-shard"].as<std::uint32_t>();
    recorded_history events;
    for (const auto &name : values["file"].as<std::vector<std::string>>()) {
        std::ifstream input(name, std::ios::binary);
        if (!input) {
            return reportUnreadable("cannot open " + name);
        }
        if (const auto readResult = readHistory(input, name, events); !readResult) {
            return reportUnreadable(readResult.error());
        }
    }
    if (const auto completed = completeHistory(events); !completed) {
        return reportUnreadable(completed.error());
    }
    const auto results = checkHistory(events, settings);
    const auto maxShown = values["show"].as<std::size_t>();
    std::cout << (values.count("json") != 0 ? renderJson(results, maxShown) : renderText(results, maxShown));
    if (values.count("replay") != 0) {
        const bool hasExpectedVerdicts = std::any_of(
            events.operatorEvents.begin(), events.operatorEvents.end(), [](const operator_event &event) { return event.kind == "expect"; });
        if (!hasExpectedVerdicts) {
            return reportUnreadable("the files contain no expected verdict (event expect)");
        }
        const auto differences = compareWithExpected(events, results);
        for (const auto &difference : differences) {
            std::cerr << "orioledrum-history: " << difference << '\n';
        }
        return differences.empty() ? exitOk : exitViolated;
    }
    const bool violated =
        std::any_of(results.begin(), results.end(), [](const promise_result &result) { return result.decision() == verdict::violated; });
    return violated ? exitViolated : exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description(
        "Usage: orioledrum-history [options] FILE...\n"
        "Decides from the recorded events of a run whether each promise held. A file may mix all kinds of recorded events.\n"
        "Exit codes: 0 no promise is violated, 1 a promise is violated, 2 invalid usage, 3 unreadable input.\nOptions");
    // clang-format off
    description.add_options()
        ("help", "show this text")
        ("json", "print the verdicts as JSON")
        ("show", options::value<std::size_t>()->default_value(10), "maximum number of violations to list for each promise")
        ("replay", "compare the verdicts with the expected ones in the files (event expect); exit code 0 if all agree, 1 otherwise")
        ("no-new-work-s", options::value<double>()->default_value(6), "seconds for which a leaving backend server or zone may get new work")
        ("in-force-s", options::value<double>()->default_value(6), "seconds within which every host must apply or reject a publication")
        ("deadline-grace-ms", options::value<double>()->default_value(0), "time added to each deadline for delays in the load generator")
        ("transit-ms", options::value<double>()->default_value(20), "longest time between sending and arrival of a call")
        ("allow-cold-before-word", "count, but don't report, excess calls whose sender could not know of the cold start")
        ("hits-per-shard", options::value<std::uint32_t>()->default_value(3), "hits that each shard of the stand-ins holds for a query")
        ("file", options::value<std::vector<std::string>>()->required(), "input file of JSON lines; repeatable; \"--file\" is optional");
    // clang-format on
    options::positional_options_description positional;
    positional.add("file", -1);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
        if (values.count("help") != 0) {
            std::cout << description << '\n';
            return exitOk;
        }
        options::notify(values);
        return run(values);
    } catch (const options::error &failure) {
        std::cerr << "orioledrum-history: " << failure.what() << '\n';
        return exitUsage;
    } catch (const std::exception &failure) {
        return reportUnreadable(failure.what());
    }
}
