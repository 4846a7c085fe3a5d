#include "plain_fanout.h"

#include <base/random_source.h>
#include <transport/http_client.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace
{

using namespace orioledrum;
using namespace orioledrum::baseline;
using nlohmann::json;
namespace po = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitFailure = 3;

/// Reads the deployment file and returns the first listed replica of each shard of the stand-ins' search service, "archive".
std::vector<target> readTargets(const std::string &path)
{
    std::ifstream file(path);
    const json description = json::parse(file);
    std::vector<target> targets;
    std::set<std::string> seen;
    for (const auto &backend : description.at("backendServers")) {
        const auto shard = backend.at("shard").get<std::string>();
        if (backend.at("service") == "archive" && seen.insert(shard).second) {
            targets.push_back({shard, "127.0.0.1:" + std::to_string(backend.at("port").get<int>())});
        }
    }
    return targets;
}

/// @return User and system CPU time that this process has used.
double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// @param fraction Between 0 and 1; 0.99 gives the 99th percentile.
/// @return 0 without values.
double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0
                          : values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

struct run_options {
    bool parallel = false;
    int searches = 0;
    std::chrono::milliseconds interval{0};
    std::chrono::milliseconds deadline{0};
};

/// Starts searches at a fixed interval, whether or not earlier ones have ended, and returns their results.
std::vector<fanout_result>
runSearches(asio::io_context &context, http_client &client, const std::vector<target> &targets, const run_options &options)
{
    std::vector<fanout_result> results;
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
    const auto idPrefix = random_source::fromSystem().hexId();
    for (int index = 0; index < options.searches; ++index) {
        timers.push_back(std::make_unique<asio::steady_timer>(context, options.interval * index));
        timers.back()->async_wait([&, index](const std::error_code &) {
            const auto fanout = std::make_shared<plain_fanout>(client, targets, options.parallel, options.deadline);
            fanout->start(idPrefix + "-" + std::to_string(index), [&](const fanout_result &result) {
                results.push_back(result);
                if (results.size() == static_cast<std::size_t>(options.searches)) {
                    context.stop();
                }
            });
        });
    }
    context.run();
    return results;
}

/// Prints latency quantiles, mean coverage and CPU time per search as one line of JSON.
/// @param cpuTimeSeconds CPU time of all searches.
void printReport(const std::vector<fanout_result> &results, std::size_t shardCount, double cpuTimeSeconds)
{
    std::vector<double> latencies;
    double coverage = 0;
    for (const auto &result : results) {
        latencies.push_back(static_cast<double>(result.latency.count()) / 1000);
        coverage += static_cast<double>(result.answeredShards) / static_cast<double>(shardCount);
    }
    const auto count = static_cast<double>(std::max<std::size_t>(results.size(), 1));
    std::cout << json{{"searches", results.size()},
                      {"p50Ms", quantile(latencies, 0.5)},
                      {"p99Ms", quantile(latencies, 0.99)},
                      {"coverage", coverage / count},
                      {"processorMsPerSearch", cpuTimeSeconds * 1000 / count}}
                     .dump()
              << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("orioledrum-baseline: a plain fan-out to one replica of each shard");
    auto add = options.add_options();
    add("help", "show this text");
    add("backends", po::value<std::string>()->required(), "JSON file that lists the stand-ins for backend servers");
    add("mode", po::value<std::string>()->required(), "sequential or parallel");
    add("searches", po::value<int>()->default_value(100), "number of searches");
    add("interval-ms", po::value<int>()->default_value(200), "time between the starts of consecutive searches");
    // 79 ms is the target for the 99th percentile of searches in docs/design.md.
    add("deadline-ms", po::value<int>()->default_value(79), "deadline of each search");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") > 0) {
            std::cout << options;
            return 0;
        }
        po::notify(values);
        const auto mode = values["mode"].as<std::string>();
        run_options runOptions;
        runOptions.parallel = mode == "parallel";
        runOptions.searches = values["searches"].as<int>();
        runOptions.interval = std::chrono::milliseconds(values["interval-ms"].as<int>());
        runOptions.deadline = std::chrono::milliseconds(values["deadline-ms"].as<int>());
        if ((mode != "sequential" && mode != "parallel") || runOptions.searches < 1 || runOptions.interval.count() < 0
            || runOptions.deadline.count() < 1) {
            std::cerr << "orioledrum-baseline: invalid --mode, or --searches, --interval-ms or --deadline-ms out of range\n";
            return exitUsage;
        }
        const auto targets = readTargets(values["backends"].as<std::string>());
        asio::io_context context(1);
        const auto client = http_client::create(context, http_client_settings{});
        if (!client) {
            std::cerr << client.error().describe() << '\n';
            return exitFailure;
        }
        const double cpuSecondsBefore = cpuSeconds();
        const auto results = runSearches(context, **client, targets, runOptions);
        printReport(results, targets.size(), cpuSeconds() - cpuSecondsBefore);
        return 0;
    } catch (const po::error &failure) {
        std::cerr << "orioledrum-baseline: " << failure.what() << '\n';
        return exitUsage;
    } catch (const std::exception &failure) {
        std::cerr << "orioledrum-baseline: " << failure.what() << '\n';
        return exitFailure;
    }
}
