#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>

#include <chrono>
#include <set>
#include <vector>

namespace orioledrum
{

/// Keeps a host that has just started from serving until it has learnt which revision is in force. Without it a
/// restarted host could serve an older revision than the one it served before.
class start_fence
{
public:
    /// @param startedAt When the host started.
    /// @param timeout Longest wait for answers.
    start_fence(time_point startedAt, std::chrono::milliseconds timeout);

    /// @param zonePeers The other live hosts of the zone.
    /// @param elsewhere Live hosts of other zones; asked when there is no other host in the zone.
    void setPeers(const std::vector<entry_host_id> &zonePeers, const std::vector<entry_host_id> &elsewhere);

    /// A peer said which revision it has.
    void onAnswer(const entry_host_id &peer);

    /// @return The peers to ask now.
    std::vector<entry_host_id> peersToAsk(time_point now);

    /// Opens the fence when its conditions hold.
    /// @param hasConfiguration This host has a configuration.
    /// @param behind A greater usable revision has been heard of.
    /// @return True when this call opened it.
    bool tryOpen(bool hasConfiguration, bool behind, time_point now);

    [[nodiscard]] bool open() const { return m_open; }
    [[nodiscard]] bool majorityAnswered() const;

private:
    time_point m_startedAt;
    std::chrono::milliseconds m_timeout;
    std::vector<entry_host_id> m_peers;
    std::set<std::string> m_answered;
    time_point m_nextAsk;
    bool m_open = false;
};

} // namespace orioledrum
