#include <fakes/scripted_backends.h>

#include <algorithm>

namespace orioledrum
{

std::string makeRecord(unsigned number)
{
    std::string record(recordBytes, 'x');
    record[0] = static_cast<char>(number >> 8);
    record[1] = static_cast<char>(number & 0xff);
    return record;
}

scripted_backends::scripted_backends(std::size_t shards, std::size_t replicas, extra_call_limits limits)
    : m_shards(shards)
    , m_board({zone_id("za"), limits, 1.5, 5}, random_source(7))
    , m_now(std::chrono::hours(1))
{
    m_board.setHosts(2);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        for (std::size_t i = 0; i < replicas; ++i) {
            replica_entry entry;
            const auto service = "s" + std::to_string(shard);
            const auto letter = std::string(1, static_cast<char>('a' + i));
            entry.id = backend_id(service + "-" + letter);
            entry.service = service_id(service);
            entry.zone = zone_id("z" + letter);
            entry.address = "127.0.0.1:1";
            entry.slots = 2;
            m_board.put(entry, m_now);
        }
    }
}

gather_input scripted_backends::search(std::chrono::milliseconds target, std::chrono::milliseconds deadline, double minCoverage) const
{
    gather_input input;
    for (std::size_t shard = 0; shard < m_shards; ++shard) {
        input.shards.emplace_back("s" + std::to_string(shard));
    }
    input.topRecords = 5;
    input.minCoverage = minCoverage;
    input.maxAttempts = 2;
    input.target = m_now + target;
    input.deadline = m_now + deadline;
    return input;
}

gather_result scripted_backends::play(gather_input input)
{
    return play(std::move(input), [](gather_run &, time_point) {});
}

gather_result scripted_backends::play(gather_input input, const std::function<void(gather_run &, time_point)> &during)
{
    const auto began = m_now;
    gather_run run(std::move(input), m_board, m_profile);
    std::multimap<time_point, pending_end> pending;
    const auto collect = [&] {
        for (const auto &call : run.takeCalls()) {
            const auto &id = call.server->entry().id.str();
            ++m_calls[id];
            const auto what = m_script[id];
            pending.emplace(m_now + what.time, pending_end{call.attempt, call.server, what, m_now, call.usual});
        }
    };
    run.start(m_now);
    during(run, m_now);
    collect();
    while (!run.finished()) {
        const auto wake = run.nextWakeup();
        if (!pending.empty() && pending.begin()->first <= wake) {
            m_now = std::max(m_now, pending.begin()->first);
            const auto end = pending.begin()->second;
            pending.erase(pending.begin());
            const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(m_now - end.sentAt);
            end.server->ended(end.attempt, end.what.end, latency, end.usual, m_now);
            if (end.what.end == attempt_end::served) {
                m_profile.record(latency);
            }
            run.ended(end.attempt, {end.what.end, "proof-" + end.server->entry().id.str(), end.what.body, latency}, m_now);
        } else {
            m_now = std::max(m_now, wake);
            run.wakeup(m_now);
        }
        during(run, m_now);
        collect();
    }
    m_lasted = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - began);
    for (const auto &[at, end] : pending) { // Calls that go on after the answer still end.
        end.server->ended(end.attempt, attempt_end::abandoned, {}, end.usual, m_now);
    }
    return run.takeResult();
}

int scripted_backends::calls(const std::string &server) const
{
    const auto found = m_calls.find(server);
    return found == m_calls.end() ? 0 : found->second;
}

int scripted_backends::allCalls() const
{
    int sum = 0;
    for (const auto &[server, count] : m_calls) {
        sum += count;
    }
    return sum;
}

} // namespace orioledrum
