#pragma once

#include <base/random_source.h>
#include <search/latency_profile.h>
#include <search/replica_registry.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace orioledrum
{

/// A time in which a fake backend server is slower, or stands still.
struct fake_spell {
    time_point from;
    time_point to;
    double workFactor = 1; ///< Work that begins in it takes this much longer. 0: the backend server stands still until its end.
};

/// How a fake backend server works.
struct fake_server {
    std::uint32_t slots = 2;
    double workFactor = 1; ///< Work time as a multiple of the usual one, always.
    std::uint32_t fullFrom = 0; ///< Number of running calls from which work takes fullFactor times as long; 0: never.
    double fullFactor = 1;
    std::vector<fake_spell> spells;
    bool reportsLoad = true;
    bool reportsWorkTime = true;
    std::chrono::milliseconds cold{0}; ///< Cold from the start of the fleet for this long, as its entry says; its work is 3 times as long.
};

/// What the callers of the fleet do.
struct fake_demand {
    double callsPerSecond = 0;
    std::size_t hosts = 1;
    std::chrono::milliseconds target{40};
    std::chrono::milliseconds deadline{250};
    std::chrono::milliseconds duration{30'000};
};

/// Fake backend servers of one service, and hosts that call them in simulated time through the modules of this library: each call is
/// admitted by replica_registry::expectedTime() as in a search, sent to the backend server that replica_registry::choose() returns, waits
/// there for a slot and is answered with the load figures. Without retries and hedges, which would hide a wrong choice.
class fake_fleet
{
public:
    /// Mean work time of a call; single calls take 0.5 to 1.5 times this.
    static constexpr std::chrono::microseconds workTime{12'000};

    fake_fleet(std::uint64_t seed, bool learns, std::vector<fake_server> servers, fake_demand demand);

    void run();

    /// @return Share of the calls decided within [from, to) that were answered by the target; refused ones count as not answered.
    [[nodiscard]] double shareWithinTarget(std::chrono::milliseconds from = {}, std::chrono::milliseconds to = std::chrono::hours(1)) const;
    /// @return Number of calls to a backend server that were sent within [from, to).
    [[nodiscard]] std::size_t
    calls(std::size_t server, std::chrono::milliseconds from = {}, std::chrono::milliseconds to = std::chrono::hours(1)) const;
    [[nodiscard]] std::size_t decided() const { return m_calls.size(); }
    [[nodiscard]] replica_registry::replica_ptr replicaOf(std::size_t host, std::size_t server) const;
    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] static time_point start() { return time_point(std::chrono::hours(1)); }

private:
    struct host_state {
        std::unique_ptr<replica_registry> registry;
        latency_profile profile{std::chrono::milliseconds(5)};
        std::uint64_t attempts = 0;
    };
    struct call_state {
        std::size_t host = 0;
        std::optional<std::size_t> server; // Empty: refused.
        std::uint64_t attempt = 0;
        time_point decidedAt;
        std::chrono::microseconds expected{0};
        std::optional<std::chrono::microseconds> latency; // Empty: not answered.
        bool ended = false;
    };
    struct server_state {
        fake_server behaviour;
        std::deque<std::size_t> queue;
        std::uint32_t running = 0;
    };

    void schedule(time_point at, std::function<void()> event) { m_events.emplace(at, std::move(event)); }
    void decide();
    void arrive(std::size_t call);
    void begin(std::size_t server);
    void answer(std::size_t call, std::optional<replica_load> load);
    void end(std::size_t call, attempt_end end);
    [[nodiscard]] double workFactor(const server_state &server) const; // At present, without the constant factor.
    [[nodiscard]] static time_point skipPauses(const fake_server &server, time_point from, std::chrono::microseconds work);

    random_source m_random;
    fake_demand m_demand;
    std::vector<server_state> m_servers;
    std::vector<host_state> m_hosts;
    std::vector<call_state> m_calls;
    std::multimap<time_point, std::function<void()>> m_events;
    time_point m_now = start();
};

/// @return Spells of 0.6 s in which work takes 2.5 times as long, for 15% of the time at random moments.
std::vector<fake_spell> noiseSpells(std::uint64_t seed, std::chrono::milliseconds duration);
/// @return Pauses of 100 to 150 ms every 2.4 to 3.6 s.
std::vector<fake_spell> pauses(std::uint64_t seed, std::chrono::milliseconds duration);

} // namespace orioledrum
