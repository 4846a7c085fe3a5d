#include <load/load_runner.h>
#include <load/report.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace
{

using namespace orioledrum::load;
namespace options = boost::program_options;

enum exit_code : int { exitOk = 0, exitNoSuccess = 1, exitUsage = 2, exitUnreachable = 3 };

/// Reads the values of a repeatable option: NAME, with weight 1, or NAME=WEIGHT.
std::vector<weighted_name> readWeightedNames(const options::variables_map &values, const char *option)
{
    std::vector<weighted_name> names;
    if (values.count(option) == 0) {
        return names;
    }
    for (const auto &text : values[option].as<std::vector<std::string>>()) {
        const auto equals = text.find('=');
        weighted_name entry{text.substr(0, equals), 1};
        if (equals != std::string::npos) {
            std::size_t parsedLength = 0;
            try {
                entry.weight = std::stod(text.substr(equals + 1), &parsedLength);
            } catch (const std::exception &) {
                parsedLength = 0;
            }
            if (parsedLength == 0 || parsedLength != text.size() - equals - 1 || !(entry.weight > 0)) {
                throw options::error("the weight in --" + std::string(option) + " " + text + " must be a positive number");
            }
        }
        names.push_back(std::move(entry));
    }
    return names;
}

/// Reads an option that must be positive, or at least 0 when `zeroAllowed` is true.
double readNumber(const options::variables_map &values, const char *option, bool zeroAllowed)
{
    const double value = values[option].as<double>();
    if (!(value > 0) && !(zeroAllowed && value == 0)) {
        throw options::error(std::string("--") + option + " must be " + (zeroAllowed ? "at least 0" : "positive"));
    }
    return value;
}

std::chrono::microseconds toMicroseconds(double seconds)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

int run(const options::variables_map &values)
{
    arrival_settings arrivalSettings;
    arrivalSettings.seed = values["seed"].as<std::uint64_t>();
    arrivalSettings.searchesPerSecond = readNumber(values, "rate", true);
    arrivalSettings.ordersPerSecond = readNumber(values, "order-rate", true);
    arrivalSettings.duration = toMicroseconds(readNumber(values, "duration-s", false));
    arrivalSettings.searchServices = readWeightedNames(values, "service");
    arrivalSettings.orderServices = readWeightedNames(values, "order-service");
    arrivalSettings.customers = readWeightedNames(values, "customer");
    arrivalSettings.queryCount = values["queries"].as<std::uint32_t>();
    if (arrivalSettings.customers.empty()) {
        arrivalSettings.customers.push_back({"default", 1});
    }
    if (arrivalSettings.searchesPerSecond > 0 && arrivalSettings.searchServices.empty()) {
        throw options::error("--rate needs at least one --service");
    }
    if (arrivalSettings.ordersPerSecond > 0 && arrivalSettings.orderServices.empty()) {
        throw options::error("--order-rate needs at least one --order-service");
    }
    if (arrivalSettings.searchesPerSecond + arrivalSettings.ordersPerSecond == 0) {
        throw options::error("--rate or --order-rate must be positive");
    }
    load_settings loadSettings;
    loadSettings.hosts = values["host"].as<std::vector<std::string>>();
    arrivalSettings.hostCount = loadSettings.hosts.size();
    loadSettings.threads = values["threads"].as<std::uint32_t>();
    loadSettings.deadline = std::chrono::milliseconds(values["deadline-ms"].as<std::uint32_t>());
    loadSettings.minCoverage = values["min-coverage"].as<double>();
    loadSettings.limit = values["limit"].as<std::uint32_t>();
    loadSettings.priority = values["priority"].as<int>();
    loadSettings.keepResults = values.count("sample-results") != 0;
    loadSettings.timeout = loadSettings.deadline + std::chrono::milliseconds(values["timeout-after-deadline-ms"].as<std::uint32_t>());
    report_context context;
    context.searchesPerSecond = arrivalSettings.searchesPerSecond;
    context.ordersPerSecond = arrivalSettings.ordersPerSecond;
    context.duration = arrivalSettings.duration;
    context.warmup = toMicroseconds(readNumber(values, "warmup-s", true));
    context.deadline = loadSettings.deadline;
    context.seed = arrivalSettings.seed;
    if (context.warmup >= context.duration) {
        throw options::error("--warmup-s must be less than --duration-s");
    }
    std::ofstream samplesFile;
    if (values.count("samples") != 0) {
        samplesFile.open(values["samples"].as<std::string>(), std::ios::binary | std::ios::trunc);
        if (!samplesFile) {
            std::cerr << "Cannot write file " << values["samples"].as<std::string>() << ".\n";
            return exitUsage;
        }
    }

    // Without --samples the file is not open, and writing to it has no effect.
    const auto samples = runLoad(loadSettings, makeArrivals(arrivalSettings));
    for (const auto &entry : samples) {
        samplesFile << toJsonLine(entry) << '\n';
    }
    std::cout << (values.count("json") != 0 ? reportAsJson(samples, context) + "\n" : reportAsText(samples, context));
    if (std::any_of(samples.begin(), samples.end(), [](const sample &entry) { return entry.succeeded(); })) {
        return exitOk;
    }
    const bool allUnanswered = std::all_of(samples.begin(), samples.end(), [](const sample &entry) { return entry.code == "noAnswer"; });
    return allUnanswered ? exitUnreachable : exitNoSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description(
        "orioledrum-load: sends searches and orders to entry hosts at a given mean rate and reports latency, coverage\n"
        "and outcomes. Latency counts from the scheduled time of each request.\n"
        "Exit codes: 0 ok, 1 no successful request, 2 usage, 3 every request ended without an answer.\nOptions");
    // clang-format off
    description.add_options()
        ("help", "show this text")
        ("host", options::value<std::vector<std::string>>()->required(), "IP:PORT of an entry host's caller address; repeatable")
        ("service", options::value<std::vector<std::string>>(), "NAME or NAME=WEIGHT of a service to search; repeatable")
        ("order-service", options::value<std::vector<std::string>>(), "NAME or NAME=WEIGHT of a service to send orders to; repeatable")
        ("customer", options::value<std::vector<std::string>>(), "NAME or NAME=WEIGHT of a customer; repeatable; \"default\" when absent")
        ("rate", options::value<double>()->default_value(0), "searches per second")
        ("order-rate", options::value<double>()->default_value(0), "orders per second")
        ("duration-s", options::value<double>()->default_value(10), "duration of the run in seconds")
        ("warmup-s", options::value<double>()->default_value(0), "seconds at the start of the run that the report excludes")
        ("deadline-ms", options::value<std::uint32_t>()->default_value(79), "deadline of each request")
        ("timeout-after-deadline-ms", options::value<std::uint32_t>()->default_value(2000), "time to wait for an answer after the deadline")
        ("min-coverage", options::value<double>()->default_value(0.99), "minimum coverage requested per search, between 0 and 1")
        ("limit", options::value<std::uint32_t>()->default_value(10), "results requested per search")
        ("priority", options::value<int>()->default_value(-1), "priority of searches, greater is more urgent; -1 to send none")
        ("queries", options::value<std::uint32_t>()->default_value(1000), "number of distinct queries")
        ("threads", options::value<std::uint32_t>()->default_value(1), "sender threads")
        ("seed", options::value<std::uint64_t>()->default_value(1), "seed of the arrivals")
        ("json", "print the report as JSON")
        ("samples", options::value<std::string>(), "file to write one JSON line per request to")
        ("sample-results", "add the identifiers of the results to the samples");
    // clang-format on
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description << '\n';
            return exitOk;
        }
        options::notify(values);
        return run(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return exitUsage;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return exitNoSuccess;
    }
}
