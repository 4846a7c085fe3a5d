#pragma once

#include <search/gather_run.h>
#include <search/replica_registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace orioledrum
{

/// Simulated backend servers with scripted latencies and outcomes, and the loop that drives a gather_run against them in
/// simulated time.
class scripted_backends
{
public:
    /// How a backend server answers a call.
    struct behaviour {
        std::chrono::milliseconds latency{5};
        attempt_end end = attempt_end::served;
        std::string body;
    };

    /// @param shards Number of shards, which have the services "s0", "s1", ...
    /// @param replicas Number of backend servers of each shard: "s0-a", "s0-b", ... in the zones "za", "zb", ...
    scripted_backends(std::size_t shards, std::size_t replicas, extra_call_limits limits = {0.2, 58});

    /// Sets the behaviour of a backend server for calls from now on.
    void setBehaviour(const std::string &server, behaviour reply) { m_behaviours[server] = std::move(reply); }

    /// @return Input for a search over all shards; the target and the deadline are relative to now().
    [[nodiscard]] gather_input
    makeInput(std::chrono::milliseconds target, std::chrono::milliseconds deadline, double minCoverage = 0.75) const;

    /// Runs a search to its end.
    gather_result runSearch(gather_input input);

    /// Runs a search to its end. Calls `onEvent` with the run and the current time after the start and after each event.
    gather_result runSearch(gather_input input, const std::function<void(gather_run &, time_point)> &onEvent);

    [[nodiscard]] replica_registry &registry() { return m_registry; }
    /// @return A backend server by its id, which must exist.
    [[nodiscard]] replica_registry::replica_ptr server(const std::string &id) const;
    [[nodiscard]] latency_profile &profile() { return m_profile; }
    [[nodiscard]] time_point now() const { return m_now; }
    void advanceTime(std::chrono::milliseconds duration) { m_now += duration; }
    /// @return Number of calls sent to a backend server.
    [[nodiscard]] int calls(const std::string &server) const;
    /// @return Number of calls sent to all backend servers.
    [[nodiscard]] int totalCalls() const;
    /// @return Duration of the last search.
    [[nodiscard]] std::chrono::milliseconds lastDuration() const { return m_lastDuration; }

private:
    struct pending_call {
        std::uint64_t attempt = 0;
        replica_registry::replica_ptr server;
        behaviour reply;
        time_point sentAt;
        std::chrono::microseconds expectedLatency{0};
    };

    std::size_t m_shards;
    replica_registry m_registry;
    latency_profile m_profile{std::chrono::milliseconds(5)};
    std::map<std::string, behaviour> m_behaviours;
    std::map<std::string, int> m_calls;
    time_point m_now;
    std::chrono::milliseconds m_lastDuration{0};
};

/// @param number Less than 65536.
/// @return A record; records sort in the order of their numbers.
std::string makeRecord(unsigned number);

/// @return `count` hosts that share limits, among them this host.
host_ranking makeHosts(std::uint32_t count);

} // namespace orioledrum
