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

host_ranking makeHosts(std::uint32_t count)
{
    std::vector<host_ranking::ranked_host> hosts;
    for (std::uint32_t host = 0; host < count; ++host) {
        hosts.push_back({entry_host_id("h" + std::to_string(host)), zone_id("za")});
    }
    return host_ranking(hosts.front(), hosts);
}

scripted_backends::scripted_backends(std::size_t shards, std::size_t replicas, extra_call_limits limits)
    : m_shards(shards)
    , m_registry({zone_id("za"), limits, 1.5, 5}, random_source(7))
    , m_now(std::chrono::hours(1))
{
    m_registry.setHosts(makeHosts(2), {2, 2});
    std::vector<route_service> services;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        services.emplace_back().id = service_id("s" + std::to_string(shard)); // Without limits.
        for (std::size_t i = 0; i < replicas; ++i) {
            replica_entry entry;
            const auto service = "s" + std::to_string(shard);
            const auto letter = std::string(1, static_cast<char>('a' + i));
            entry.id = backend_id(service + "-" + letter);
            entry.service = service_id(service);
            entry.zone = zone_id("z" + letter);
            entry.address = "127.0.0.1:1";
            entry.slots = 2;
            m_registry.put(entry, m_now);
        }
    }
    m_registry.setRouteTable(*route_table::create(0, {}, std::move(services), {}));
}

gather_input scripted_backends::makeInput(std::chrono::milliseconds target, std::chrono::milliseconds deadline, double minCoverage) const
{
    gather_input input;
    for (std::size_t shard = 0; shard < m_shards; ++shard) {
        input.shards.emplace_back("s" + std::to_string(shard));
    }
    input.maxRecords = 5;
    input.minCoverage = minCoverage;
    input.maxServers = 2;
    input.target = m_now + target;
    input.deadline = m_now + deadline;
    return input;
}

gather_result scripted_backends::runSearch(gather_input input)
{
    return runSearch(std::move(input), [](gather_run &, time_point) {});
}

gather_result scripted_backends::runSearch(gather_input input, const std::function<void(gather_run &, time_point)> &onEvent)
{
    const auto startedAt = m_now;
    gather_run run(std::move(input), m_registry, m_profile);
    std::multimap<time_point, pending_call> pending;
    const auto queueCalls = [&] {
        for (const auto &call : run.takeCalls()) {
            const auto &id = call.server->entry().id.str();
            ++m_calls[id];
            const auto reply = m_behaviours[id];
            pending.emplace(m_now + reply.latency, pending_call{call.attempt, call.server, reply, m_now, call.expectedLatency});
        }
    };
    run.start(m_now);
    onEvent(run, m_now);
    queueCalls();
    while (!run.finished()) {
        const auto wakeup = run.nextWakeup();
        if (!pending.empty() && pending.begin()->first <= wakeup) {
            m_now = std::max(m_now, pending.begin()->first);
            const auto call = pending.begin()->second;
            pending.erase(pending.begin());
            const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(m_now - call.sentAt);
            call.server->callEnded(call.attempt, call.reply.end, latency, call.expectedLatency, m_now);
            if (call.reply.end == attempt_end::served) {
                m_profile.record(latency, m_now);
            }
            run.callEnded(call.attempt, {call.reply.end, "signature-" + call.server->entry().id.str(), call.reply.body, latency}, m_now);
        } else {
            m_now = std::max(m_now, wakeup);
            run.wakeup(m_now);
        }
        onEvent(run, m_now);
        queueCalls();
    }
    m_lastDuration = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - startedAt);
    for (const auto &[at, call] : pending) { // Calls that are outstanding at the end of the search are cancelled.
        call.server->callEnded(call.attempt, attempt_end::abandoned, {}, call.expectedLatency, m_now);
    }
    return run.takeResult();
}

replica_registry::replica_ptr scripted_backends::server(const std::string &id) const
{
    const auto servers = m_registry.replicas(service_id(id.substr(0, id.find('-'))));
    return *std::find_if(servers.begin(), servers.end(), [&](const auto &server) { return server->entry().id.str() == id; });
}

int scripted_backends::calls(const std::string &server) const
{
    const auto found = m_calls.find(server);
    return found == m_calls.end() ? 0 : found->second;
}

int scripted_backends::totalCalls() const
{
    int sum = 0;
    for (const auto &[server, count] : m_calls) {
        sum += count;
    }
    return sum;
}

} // namespace orioledrum
