#pragma once

#include <membership/membership.h>

#include <base/random_source.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace orioledrum
{

/// Simulates several memberships on a fake network with delays, losses and duplicates. Runs in simulation time.
class fake_gossip
{
public:
    /// @param hosts Number of hosts. @param zones Number of zones. @param seed Seed of all random choices.
    /// @param lossPercent Percentage of messages lost. @param maxDelay Longest delay of a message.
    fake_gossip(std::size_t hosts, std::size_t zones, std::uint64_t seed, unsigned lossPercent, std::chrono::milliseconds maxDelay);

    /// Starts the process of a host. Its seed peer is host 0, or host 1 for host 0. @param host Index.
    void start(std::size_t host);
    /// Kills the process of a host. @param host Index.
    void kill(std::size_t host) { m_hosts[host].membership.reset(); }
    /// Publishes a host list to every running host immediately. @param list The list.
    void publish(const host_list &list);
    /// Runs the simulation. @param length Duration in simulation time.
    void run(std::chrono::milliseconds length);
    /// Makes a host leave. @param host Index.
    void leave(std::size_t host);

    /// @param viewer Index. @param host Index. @return The viewer's entry for the host; null when it has none.
    [[nodiscard]] const member *viewOf(std::size_t viewer, std::size_t host) const;
    /// @param host Index. @return Incarnation of the current run.
    [[nodiscard]] incarnation_id incarnationOf(std::size_t host) const;
    /// @param host Index. @return The membership; null when the host does not run.
    [[nodiscard]] membership *membershipOf(std::size_t host) { return m_hosts[host].membership.get(); }
    [[nodiscard]] std::size_t messages() const { return m_messages; } ///< @return Number of digests sent, without answers.
    [[nodiscard]] time_point now() const { return m_now; } ///< @return The simulation time.

    bool omitRecipients = false; ///< Broken variant: digests do not contain the entry of their recipient.

    static entry_host_id hostName(std::size_t host) { return entry_host_id("h" + std::to_string(host)); }

private:
    struct process {
        std::unique_ptr<orioledrum::membership> membership;
        std::uint64_t run = 0;
    };
    struct scheduled {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const scheduled &other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void performActions(std::size_t host, const membership_actions &actions);
    void deliver(const std::function<void()> &handler);
    /// @return The digest, without the recipient's entry if omitRecipients is set.
    [[nodiscard]] digest filterDigest(digest message, std::size_t recipient) const;

    std::size_t m_zones;
    random_source m_random;
    unsigned m_lossPercent;
    std::chrono::milliseconds m_maxDelay;
    time_point m_now{std::chrono::seconds(1000)};
    std::uint64_t m_order = 0;
    std::size_t m_messages = 0;
    std::vector<process> m_hosts;
    std::priority_queue<scheduled> m_events;
};

} // namespace orioledrum
