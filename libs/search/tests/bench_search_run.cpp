#include <search/search_run.h>

#include <benchmark/benchmark.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t shardCount = 460;

std::shared_ptr<const search_topology> makeTopology()
{
    search_layout layout{1, {}};
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        search_shard definition{shard_id("shard-" + std::to_string(shard)), {}};
        for (int replica = 0; replica < 3; ++replica) {
            const auto zone = "zone-" + std::to_string(replica);
            definition.replicas.push_back({backend_id("backend-server-" + std::to_string(shard) + "-" + std::to_string(replica)),
                                           zone_id(zone),
                                           group_id("parts/" + zone + "/" + std::to_string(shard / 8)),
                                           false});
        }
        layout.shards.push_back(std::move(definition));
    }
    return std::make_shared<const search_topology>(*search_topology::create(service_id("parts"), {layout}));
}

// Runs one query over 460 shards with 10 hits per answer. Reports the time per attempt, which includes sending, handling the
// answer, nextWakeup() and merging the hits. The time to build the answers is excluded.
void queryOf460Shards(benchmark::State &state)
{
    const auto topology = makeTopology();
    time_point now{1h};
    service_stats stats(topology, zone_id("zone-0"), now);
    backend_report report;
    report.state = backend_state::warm;
    report.slots = 2;
    report.heldSnapshots = {{7, 1}, {8, 1}, {9, 1}};
    for (const auto &backend : topology->backends()) {
        stats.recordReport(backend, report, now);
    }
    random_source random(1);
    std::vector<search_action> actions;
    std::vector<shard_answer> answers;
    const request_id request("request-1");
    std::size_t attempts = 0;
    for (auto _ : state) {
        search_input input;
        input.request = request;
        input.deadline = now + 1s;
        search_run run(std::move(input), stats, random);
        run.start(now);
        actions.clear();
        run.takeActions(actions);
        state.PauseTiming();
        answers.clear();
        for (const auto &action : actions) {
            const auto &send = std::get<send_attempt>(action);
            shard_answer answer;
            answer.attempt = send.attempt;
            answer.backend = send.replica->backend;
            answer.shard = *send.shard;
            answer.snapshot = send.snapshot;
            answer.status = shard_status::answered;
            answer.hasReport = true;
            answer.report = report;
            for (int index = 0; index < 10; ++index) {
                answer.hits.push_back(
                    {"document-" + std::to_string(random.below(1000000)), random.nextDouble() * 100 - index, "some text of a hit"});
            }
            answers.push_back(std::move(answer));
        }
        state.ResumeTiming();
        for (auto &answer : answers) {
            now += 10us;
            run.handleAnswer(request, std::move(answer), now);
            benchmark::DoNotOptimize(run.nextWakeup());
        }
        actions.clear();
        run.takeActions(actions);
        attempts += shardCount;
    }
    state.counters["timePerAttempt"] =
        benchmark::Counter(static_cast<double>(attempts), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK(queryOf460Shards)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
