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

std::chrono::microseconds timeOption(const options::variables_map &values, const char *name, double unit)
{
    const double value = values[name].as<double>();
    if (!(value >= 0 && value < 1e6)) {
        throw options::error(std::string("--") + name + " must be at least 0 and below 1000000");
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(value * unit));
}

int unreadable(const std::string &problem)
{
    std::cerr << "orioledrum-history: " << problem << '\n';
    return exitUnreadable;
}

int run(const options::variables_map &values)
{
    check_settings settings;
    settings.noNewWorkAfter = timeOption(values, "no-new-work-s", 1e6);
    settings.inForceAfter = timeOption(values, "in-force-s", 1e6);
    settings.deadlineGrace = timeOption(values, "deadline-grace-ms", 1e3);
    settings.maxTransit = timeOption(values, "transit-ms", 1e3);
    settings.allowColdBeforeFirstResponse = values.count("allow-cold-before-word") != 0;
    settings.hitsPerShard = values["hits-per-shard"].as<std::uint32_t>();
    recorded_history events;
    for (const auto &name : values["file"].as<std::vector<std::string>>()) {
        std::ifstream input(name, std::ios::binary);
        if (!input) {
            return unreadable("cannot open " + name);
        }
        if (const auto read = readHistory(input, name, events); !read) {
            return unreadable(read.error());
        }
    }
    if (const auto complete = completeHistory(events); !complete) {
        return unreadable(complete.error());
    }
    const auto results = checkHistory(events, settings);
    const auto maxShown = values["show"].as<std::size_t>();
    std::cout << (values.count("json") != 0 ? renderJson(results, maxShown) : renderText(results, maxShown));
    if (values.count("replay") != 0) {
        const bool stated = std::any_of(
            events.operatorEvents.begin(), events.operatorEvents.end(), [](const operator_event &event) { return event.kind == "expect"; });
        if (!stated) {
            return unreadable("the files state no outcome (event expect)");
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
        "Decides from recorded events whether each promise held. The kind of each line tells what it records.\n"
        "Exit codes: 0 no promise is violated, 1 violated, 2 usage, 3 unreadable input.\nOptions");
    // clang-format off
    description.add_options()
        ("help", "show this text")
        ("json", "print the decisions as JSON")
        ("show", options::value<std::size_t>()->default_value(10), "violations shown of each promise")
        ("replay", "compare the decisions with those that the files state; exit code 0 when all agree, 1 otherwise")
        ("no-new-work-s", options::value<double>()->default_value(6), "time after which a zone out or leaving backend server gets no new work")
        ("in-force-s", options::value<double>()->default_value(6), "time after which a publication is in force")
        ("deadline-grace-ms", options::value<double>()->default_value(0), "time added to each deadline for delays of the load generator")
        ("transit-ms", options::value<double>()->default_value(20), "greatest time of a call or answer on the network")
        ("allow-cold-before-word", "only count excess calls sent before the first word of a cold turn")
        ("hits-per-shard", options::value<std::uint32_t>()->default_value(3), "hits that each shard of the stand-ins holds for a query")
        ("file", options::value<std::vector<std::string>>()->required(), "file of JSON lines; repeatable, also without the option");
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
        return unreadable(failure.what());
    }
}
