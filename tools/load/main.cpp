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

enum exit_code : int { exitOk = 0, exitNothingGood = 1, exitUsage = 2, exitUnreachable = 3 };

std::vector<weighted_name> readNames(const options::variables_map &values, const char *option)
{
    std::vector<weighted_name> names;
    if (values.count(option) == 0) {
        return names;
    }
    for (const auto &text : values[option].as<std::vector<std::string>>()) {
        const auto equals = text.find('=');
        weighted_name entry{text.substr(0, equals), 1};
        if (equals != std::string::npos) {
            std::size_t used = 0;
            try {
                entry.weight = std::stod(text.substr(equals + 1), &used);
            } catch (const std::exception &) {
                used = 0;
            }
            if (used == 0 || used != text.size() - equals - 1 || !(entry.weight > 0)) {
                throw options::error("the weight in --" + std::string(option) + " " + text + " must be a positive number");
            }
        }
        names.push_back(std::move(entry));
    }
    return names;
}

double positive(const options::variables_map &values, const char *option, bool zeroAllowed)
{
    const double value = values[option].as<double>();
    if (!(value > 0) && !(zeroAllowed && value == 0)) {
        throw options::error(std::string("--") + option + " must be " + (zeroAllowed ? "at least 0" : "positive"));
    }
    return value;
}

std::chrono::microseconds seconds(double value)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(value * 1e6));
}

int run(const options::variables_map &values)
{
    arrival_settings arriving;
    arriving.seed = values["seed"].as<std::uint64_t>();
    arriving.searchesPerSecond = positive(values, "rate", true);
    arriving.ordersPerSecond = positive(values, "order-rate", true);
    arriving.duration = seconds(positive(values, "duration-s", false));
    arriving.searchServices = readNames(values, "service");
    arriving.orderServices = readNames(values, "order-service");
    arriving.customers = readNames(values, "customer");
    arriving.queryCount = values["queries"].as<std::uint32_t>();
    if (arriving.customers.empty()) {
        arriving.customers.push_back({"default", 1});
    }
    if (arriving.searchesPerSecond > 0 && arriving.searchServices.empty()) {
        throw options::error("--rate needs at least one --service");
    }
    if (arriving.ordersPerSecond > 0 && arriving.orderServices.empty()) {
        throw options::error("--order-rate needs at least one --order-service");
    }
    if (arriving.searchesPerSecond + arriving.ordersPerSecond == 0) {
        throw options::error("--rate or --order-rate must be positive");
    }
    load_settings sending;
    sending.hosts = values["host"].as<std::vector<std::string>>();
    arriving.hostCount = sending.hosts.size();
    sending.threads = values["threads"].as<std::uint32_t>();
    sending.deadline = std::chrono::milliseconds(values["deadline-ms"].as<std::uint32_t>());
    sending.minCoverage = values["min-coverage"].as<double>();
    sending.limit = values["limit"].as<std::uint32_t>();
    sending.priority = values["priority"].as<int>();
    sending.keepResults = values.count("sample-results") != 0;
    sending.timeout = sending.deadline + std::chrono::milliseconds(values["timeout-after-deadline-ms"].as<std::uint32_t>());
    report_context context;
    context.searchesPerSecond = arriving.searchesPerSecond;
    context.ordersPerSecond = arriving.ordersPerSecond;
    context.duration = arriving.duration;
    context.warmup = seconds(positive(values, "warmup-s", true));
    context.deadline = sending.deadline;
    context.seed = arriving.seed;
    if (context.warmup >= context.duration) {
        throw options::error("--warmup-s must be less than --duration-s");
    }
    std::ofstream lines;
    if (values.count("samples") != 0) {
        lines.open(values["samples"].as<std::string>(), std::ios::binary | std::ios::trunc);
        if (!lines) {
            std::cerr << "Cannot write file " << values["samples"].as<std::string>() << ".\n";
            return exitUsage;
        }
    }

    const auto samples = runLoad(sending, makeArrivals(arriving));
    for (const auto &entry : samples) {
        lines << toJsonLine(entry) << '\n';
    }
    std::cout << (values.count("json") != 0 ? reportAsJson(samples, context) + "\n" : reportAsText(samples, context));
    if (std::any_of(samples.begin(), samples.end(), [](const sample &entry) { return entry.good(); })) {
        return exitOk;
    }
    const bool silent = std::all_of(samples.begin(), samples.end(), [](const sample &entry) { return entry.code == "noAnswer"; });
    return silent ? exitUnreachable : exitNothingGood;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("orioledrum-load: sends searches and orders at a given rate and reports what callers saw.\n"
                                             "Latency counts from the scheduled time of each request.\n"
                                             "Exit codes: 0 ok, 1 no good answer, 2 usage, 3 no entry host answered.\nOptions");
    // clang-format off
    description.add_options()
        ("help", "show this text")
        ("host", options::value<std::vector<std::string>>()->required(), "IP:PORT of an entry host's caller address; repeatable")
        ("service", options::value<std::vector<std::string>>(), "NAME or NAME=WEIGHT of a service to search; repeatable")
        ("order-service", options::value<std::vector<std::string>>(), "NAME or NAME=WEIGHT of a service to send orders to; repeatable")
        ("customer", options::value<std::vector<std::string>>(), "NAME or NAME=WEIGHT of a customer; repeatable; \"default\" when absent")
        ("rate", options::value<double>()->default_value(0), "searches a second")
        ("order-rate", options::value<double>()->default_value(0), "orders a second")
        ("duration-s", options::value<double>()->default_value(10), "length of the run")
        ("warmup-s", options::value<double>()->default_value(0), "first part of the run that the report leaves out")
        ("deadline-ms", options::value<std::uint32_t>()->default_value(79), "deadline of each request")
        ("timeout-after-deadline-ms", options::value<std::uint32_t>()->default_value(2000), "how long after the deadline to wait for an answer")
        ("min-coverage", options::value<double>()->default_value(0.99), "minimum coverage of searches")
        ("limit", options::value<std::uint32_t>()->default_value(10), "results for each search")
        ("priority", options::value<int>()->default_value(-1), "priority of searches, greater is more urgent; -1 to send none")
        ("queries", options::value<std::uint32_t>()->default_value(1000), "number of different queries")
        ("threads", options::value<std::uint32_t>()->default_value(1), "threads that send")
        ("seed", options::value<std::uint64_t>()->default_value(1), "seed of the arrivals")
        ("json", "print the report as JSON")
        ("samples", options::value<std::string>(), "file for one JSON line for each request")
        ("sample-results", "write the identifiers of the results to the samples, too");
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
        return exitNothingGood;
    }
}
