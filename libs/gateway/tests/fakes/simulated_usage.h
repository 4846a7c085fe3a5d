#pragma once

#include <host_counter.h>

#include <base/random_source.h>
#include <limits/usage_cap_client.h>
#include <limits/usage_cap_owner.h>
#include <limits/usage_fleet.h>
#include <tests/fakes/fake_gossip.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// A mechanism that a test disables, to show that it fails without it.
enum class usage_fault : std::uint8_t {
    none,
    equalShares, ///< Each host serves a fixed part of the cap and asks nobody.
    ownerDoesNotWait, ///< An owner hands out tokens at once.
    ownerDoesNotScale, ///< An owner behind a partition hands out the whole cap.
    bucketsStartFull, ///< After a start, the bucket is full and the reserves are unused.
    tokensDoNotExpire,
};

/// An organisation in the simulation, and the requests that were served for it over all hosts.
struct simulated_organisation {
    usage_cap cap;
    double usualRate = 0; ///< Requests a second.
    double demandFactor = 1;
    std::vector<std::size_t> callers; ///< Hosts that receive its requests; empty for all.
    std::deque<time_point> served; ///< Requests of the latest window.
    usage_cap earlierCap; ///< Before the latest change.
    time_point capChangedAt;
    double level = 0; ///< Of the bucket of one ideal owner that receives all requests itself.
    time_point levelAt;
    time_point slotEnd; ///< Requests within the cap are compared with the served ones in slots of a window.
    std::uint64_t idealInSlot = 0; ///< Requests that the ideal owner served.
    std::uint64_t servedInSlot = 0;
    /// Requests that were served beyond the ideal owner's, because the real bucket is deeper. They are missing in that bucket later.
    double surplus = 0;
    double within = 0; ///< Requests that the ideal owner served.
    double lost = 0; ///< How many fewer were served, slot by slot.
    double worst = 0; ///< Greatest number of served requests in a window, as a share of the bound.
    std::uint64_t generation = 0; ///< Changes whenever the demand does, so that arrivals of earlier demand are dropped.
};

/// The membership and the state machines of usage caps of a fleet, under simulated demand and time, on a network that delays and loses
/// messages.
class simulated_usage
{
public:
    static constexpr std::chrono::milliseconds window{5000};
    static constexpr double overshoot = 0.25;
    static constexpr double slack = 20;
    /// Time by which each host has adopted a changed cap.
    static constexpr std::chrono::milliseconds adoptionTime{3000};
    /// Cap as a multiple of the usual rate.
    static constexpr double capFactor = 1.6;

    simulated_usage(std::size_t hosts, std::size_t zones, std::uint64_t seed, usage_fault fault);
    ~simulated_usage();

    /// Starts a process; its state machines begin anew.
    void start(std::size_t host);
    void kill(std::size_t host);
    void leave(std::size_t host) { m_gossip.leave(host); }
    void freeze(std::size_t host);
    void thaw(std::size_t host);
    /// Splits the network: only hosts of the same part reach each other.
    void setParts(std::vector<int> parts);
    void heal() { setParts({}); }

    /// @param usualRate Requests a second. @return Its index.
    std::size_t addOrganisation(double usualRate);
    void setDemand(std::size_t organisation, double factor, std::vector<std::size_t> callers = {});
    void setCap(std::size_t organisation, double requestsPerSecond, double burst);

    void run(std::chrono::milliseconds duration);
    /// Forgets the counts of requests within the cap.
    void resetCounts();

    [[nodiscard]] std::size_t hostCount() const { return m_hosts.size(); }
    [[nodiscard]] std::size_t zoneOf(std::size_t host) const { return host % m_zones; }
    [[nodiscard]] bool runs(std::size_t host) const { return m_hosts[host] != nullptr; }
    /// @return The owner of an organisation as the host sees it.
    [[nodiscard]] std::optional<std::size_t> ownerOf(std::size_t organisation, std::size_t viewer) const;
    [[nodiscard]] std::vector<simulated_organisation> &organisations() { return m_organisations; }
    [[nodiscard]] random_source &random() { return m_random; }
    [[nodiscard]] time_point now() const { return m_now; }
    /// @return Greatest number of served requests of an organisation in a window, as a share of its bound.
    [[nodiscard]] double worst() const;
    [[nodiscard]] const std::string &firstViolation() const { return m_firstViolation; }
    /// @return Share of the requests within the cap that were refused, over all organisations from a usual rate to another one.
    [[nodiscard]] double lostShare(double fromRate, double toRate);
    [[nodiscard]] std::uint64_t messages() const { return m_messages; }

private:
    struct process;
    struct scheduled {
        time_point at;
        std::uint64_t order;
        std::function<void()> handler;
        bool operator<(const scheduled &other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void schedule(time_point at, std::function<void()> handler);
    void scheduleArrival(std::size_t organisation);
    void arrive(std::size_t host, std::size_t organisation);
    /// Delivers a message after a delay, unless it is lost or the hosts do not reach each other.
    void deliver(std::size_t from, std::size_t to, std::function<void(process &)> handler);
    /// Runs a handler in the process that runs now, at the end of a freeze if it is frozen, unless another one runs by then.
    void execute(std::size_t host, std::uint64_t runNumber, std::function<void(process &)> handler);
    void checkForPause(process &host);
    void updateFleet(std::size_t host);
    void carryOut(std::size_t host);
    void send(std::size_t host, const usage_question &question);
    void send(std::size_t host, const usage_claim &claim);
    std::vector<usage_grant> answer(std::size_t host, const usage_question &question);
    /// Counts a request of an organisation at its arrival, and its result.
    void offered(std::size_t organisation);
    void served(std::size_t organisation);
    void endSlot(simulated_organisation &organisation);
    /// @return The cap as the configuration of the host has it.
    [[nodiscard]] const usage_cap &capAt(std::size_t host, std::size_t organisation) const;
    [[nodiscard]] std::size_t indexOf(const std::string &organisation) const { return std::stoul(organisation.substr(1)); }
    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const { return m_parts.empty() || m_parts[from] == m_parts[to]; }
    double random01() { return static_cast<double>(m_random.below(1U << 30U)) / static_cast<double>(1U << 30U); }

    std::size_t m_zones;
    usage_fault m_fault;
    random_source m_random;
    fake_gossip m_gossip;
    std::vector<std::unique_ptr<process>> m_hosts; // Null while the process of a host does not run.
    std::vector<simulated_organisation> m_organisations;
    std::vector<int> m_parts;
    std::priority_queue<scheduled> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_messages = 0;
    time_point m_now;
    std::string m_firstViolation;
};

} // namespace orioledrum
