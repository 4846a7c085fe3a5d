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

/// Several memberships on a fake network with delays, losses and duplicates, in fake time.
class fake_gossip
{
public:
    /// @param hosts Number of hosts. @param zones Number of zones. @param seed Seed of all random choices.
    /// @param lossPercent Messages lost. @param maxDelay Longest delay of a message.
    fake_gossip(std::size_t hosts, std::size_t zones, std::uint64_t seed, unsigned lossPercent, std::chrono::milliseconds maxDelay);

    /// Starts a process; its seed peer is host 0, or host 1 for host 0. @param host Index.
    void start(std::size_t host);
    /// Ends a process. @param host Index.
    void kill(std::size_t host) { m_hosts[host].membership.reset(); }
    /// Gives the list to every running host. @param list The list.
    void publish(const host_list &list);
    /// Runs for a time. @param length Fake time.
    void run(std::chrono::milliseconds length);
    /// Makes a host leave. @param host Index.
    void leave(std::size_t host);

    /// @param viewer Index. @param host Index. @return What the viewer believes about the host; null when it does not know it.
    [[nodiscard]] const member *seen(std::size_t viewer, std::size_t host) const;
    /// @param host Index. @return Incarnation of its present run.
    [[nodiscard]] incarnation_id incarnationOf(std::size_t host) const;
    /// @param host Index. @return The membership; null when it does not run.
    [[nodiscard]] membership *at(std::size_t host) { return m_hosts[host].membership.get(); }
    [[nodiscard]] std::size_t messages() const { return m_messages; } ///< @return Digests sent, answers not counted.
    [[nodiscard]] time_point now() const { return m_now; } ///< @return The time.

    bool hideRecipients = false; ///< Broken variant: digests say nothing about their recipient.

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

    void perform(std::size_t host, const membership_actions &actions);
    void deliver(const std::function<void()> &handle);
    [[nodiscard]] digest shown(digest message, std::size_t recipient) const;

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
