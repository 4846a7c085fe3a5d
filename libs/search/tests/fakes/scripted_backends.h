#pragma once

#include <search/gather_run.h>
#include <search/replica_board.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace orioledrum
{

/// Backend servers whose answers come after scripted times, and the loop that drives a run against them.
class scripted_backends
{
public:
    /// What a backend server does with a call.
    struct behaviour {
        std::chrono::milliseconds time{5};
        attempt_end end = attempt_end::served;
        std::string body;
    };

    /// @param shards Services "s0", "s1", ...
    /// @param replicas Backend servers of each, "s0-a", "s0-b", ... in zones "za", "zb", ...
    scripted_backends(std::size_t shards, std::size_t replicas, extra_call_limits limits = {0.2, 58});

    /// Sets what a backend server does from now on.
    void script(const std::string &server, behaviour next) { m_script[server] = std::move(next); }

    /// @return Input for a search over all shards.
    [[nodiscard]] gather_input
    search(std::chrono::milliseconds target, std::chrono::milliseconds deadline, double minCoverage = 0.75) const;

    /// Plays a search to its end.
    gather_result play(gather_input input);

    /// Plays a search; `during` is called after each event with the run and the time.
    gather_result play(gather_input input, const std::function<void(gather_run &, time_point)> &during);

    [[nodiscard]] replica_board &board() { return m_board; }
    [[nodiscard]] latency_profile &profile() { return m_profile; }
    [[nodiscard]] time_point now() const { return m_now; }
    void pass(std::chrono::milliseconds time) { m_now += time; }
    /// @return Calls sent to a backend server.
    [[nodiscard]] int calls(const std::string &server) const;
    [[nodiscard]] int allCalls() const;
    /// @return Duration of the last search.
    [[nodiscard]] std::chrono::milliseconds lasted() const { return m_lasted; }

private:
    struct pending_end {
        std::uint64_t attempt = 0;
        replica_board::replica_ptr server;
        behaviour what;
        time_point sentAt;
        std::chrono::microseconds usual{0};
    };

    std::size_t m_shards;
    replica_board m_board;
    latency_profile m_profile{std::chrono::milliseconds(5)};
    std::map<std::string, behaviour> m_script;
    std::map<std::string, int> m_calls;
    time_point m_now;
    std::chrono::milliseconds m_lasted{0};
};

/// @return A record whose order is that of the number.
std::string makeRecord(unsigned number);

} // namespace orioledrum
