#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>

#include <chrono>
#include <set>
#include <vector>

namespace orioledrum
{

/// Start-up gate: a host that has just started serves no requests until it has learnt from its peers which revision is
/// active, or until the timeout. Otherwise a restarted host could serve an older revision than before its restart.
class startup_gate
{
public:
    /// @param startedAt When the host started.
    /// @param timeout Longest wait for answers from peers.
    startup_gate(time_point startedAt, std::chrono::milliseconds timeout);

    /// @param zonePeers The other live hosts of the zone.
    /// @param otherZonePeers Live hosts of other zones; up to 4 of them are queried when the zone has no other host.
    void setPeers(const std::vector<entry_host_id> &zonePeers, const std::vector<entry_host_id> &otherZonePeers);

    /// Records that a peer has reported its revision. Has no effect once the gate is open.
    void onPeerAnswer(const entry_host_id &peer);

    /// @return The peers to query now: every 500 ms, those that have not answered yet. Empty once the gate is open.
    std::vector<entry_host_id> peersToQuery(time_point now);

    /// Opens the gate when this host has a configuration and a majority of the peers has answered, or when the timeout
    /// has passed. While a newer revision is known, the gate opens only after 3 times the timeout.
    /// @param newerRevisionKnown Whether a peer has reported a revision greater than the active one of this host that this host has
    /// not rejected.
    /// @return True when this call opened the gate.
    bool tryOpen(bool hasConfiguration, bool newerRevisionKnown, time_point now);

    [[nodiscard]] bool isOpen() const { return m_open; }
    /// @return True when more than half of the peers have answered; false when there are no peers.
    [[nodiscard]] bool majorityAnswered() const;

private:
    time_point m_startedAt;
    std::chrono::milliseconds m_timeout;
    std::vector<entry_host_id> m_peers;
    std::set<std::string> m_answered;
    time_point m_nextQuery;
    bool m_open = false;
};

} // namespace orioledrum
