#pragma once

#include <membership/membership.h>

#include <base/random_source.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace orioledrum
{

/// Simulates the membership objects of several hosts on a network that delays, loses and duplicates messages. Uses simulated time.
class fake_gossip
{
public:
    /// @param hosts Number of hosts; all are started. @param zones Number of zones. @param lossPercent Probability that a copy of a
    /// message is lost, in percent.
    fake_gossip(std::size_t hosts, std::size_t zones, std::uint64_t seed, unsigned lossPercent, std::chrono::milliseconds maxDelay);

    /// Starts the process of a host. Its seed peer is host 0, or host 1 for host 0.
    void start(std::size_t host);
    /// Kills the process of a host.
    void kill(std::size_t host);
    /// Divides the network: messages between hosts with odd and even numbers are lost.
    void setPartitioned(bool partitioned) { m_partitioned = partitioned; }
    /// Sets which hosts messages reach, in addition to setPartitioned().
    void setReachable(std::function<bool(std::size_t from, std::size_t to)> reachable) { m_reachable = std::move(reachable); }
    /// Pauses the process of a running host: it does nothing, and messages to it wait until thaw().
    void freeze(std::size_t host) { m_hosts[host].frozen = true; }
    void thaw(std::size_t host);
    /// Publishes a host list to every running host immediately.
    void publish(const host_list &list);
    /// Runs the simulation for the given simulated time.
    void run(std::chrono::milliseconds duration);
    /// Makes a running host announce that it is leaving; its process continues to run.
    void leave(std::size_t host);

    /// @return The entry for the host in the view of the host `viewer`, which must run; null when there is no entry.
    [[nodiscard]] const member *entryOf(std::size_t viewer, std::size_t host) const;
    /// @return Incarnation of the current run, or of the last one if the host does not run.
    [[nodiscard]] incarnation_id incarnationOf(std::size_t host) const;
    /// @return The membership; null when the host does not run.
    [[nodiscard]] membership *membershipOf(std::size_t host) { return m_hosts[host].membership.get(); }
    [[nodiscard]] std::size_t digestsSent() const { return m_digestsSent; } ///< @return Number of digests sent; answers are not counted.
    [[nodiscard]] time_point now() const { return m_now; } ///< @return The simulated time.

    bool omitRecipientEntry = false; ///< Disables one mechanism: digests do not contain the entry of their recipient.

    static entry_host_id hostName(std::size_t host) { return entry_host_id("h" + std::to_string(host)); }

private:
    struct process {
        std::unique_ptr<orioledrum::membership> membership;
        std::uint64_t runNumber = 0; ///< 1 for the first run.
        bool frozen = false;
        std::vector<std::function<void()>> backlog; ///< Messages that arrived while the process was frozen.
    };
    struct scheduled {
        time_point at;
        std::uint64_t order; ///< Events of the same time run in this order.
        std::function<void()> handler;
        /// Reversed, so that the priority queue returns the earliest event first.
        bool operator<(const scheduled &other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void performActions(std::size_t host, const membership_actions &actions);
    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        return !(m_partitioned && from % 2 != to % 2) && (!m_reachable || m_reachable(from, to));
    }
    void receiveAnswer(std::size_t host, std::size_t from, std::uint64_t runNumber, const digest &answer);
    /// Runs the handler, at the end of the freeze when the host is frozen.
    void receive(std::size_t host, std::function<void()> handler);
    /// Schedules the handler after a random delay, or twice for a duplicated message. Each copy is lost with the loss probability.
    void deliver(const std::function<void()> &handler);
    /// @return The digest, without the recipient's entry if omitRecipientEntry is set.
    [[nodiscard]] digest filterDigest(digest message, std::size_t recipient) const;

    std::size_t m_zones;
    random_source m_random;
    unsigned m_lossPercent;
    std::chrono::milliseconds m_maxDelay;
    time_point m_now{std::chrono::seconds(1000)};
    std::uint64_t m_order = 0;
    std::size_t m_digestsSent = 0;
    bool m_partitioned = false;
    std::function<bool(std::size_t, std::size_t)> m_reachable;
    std::vector<process> m_hosts;
    std::priority_queue<scheduled> m_events;
};

} // namespace orioledrum
