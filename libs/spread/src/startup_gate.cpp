#include "startup_gate.h"

#include <algorithm>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

/// Interval between queries to peers that have not answered.
constexpr std::chrono::milliseconds queryInterval = 500ms;
/// While a newer revision is known, the gate opens only after this many times the timeout.
constexpr int newerRevisionTimeoutFactor = 3;
constexpr std::size_t maxOtherZonePeers = 4;

} // namespace

startup_gate::startup_gate(time_point startedAt, std::chrono::milliseconds timeout)
    : m_startedAt(startedAt)
    , m_timeout(timeout)
    , m_nextQuery(startedAt)
{
}

void startup_gate::setPeers(const std::vector<entry_host_id> &zonePeers, const std::vector<entry_host_id> &otherZonePeers)
{
    m_peers = zonePeers;
    if (m_peers.empty()) {
        m_peers.assign(otherZonePeers.begin(),
                       otherZonePeers.begin() + static_cast<std::ptrdiff_t>(std::min(otherZonePeers.size(), maxOtherZonePeers)));
    }
}

void startup_gate::onPeerAnswer(const entry_host_id &peer)
{
    if (!m_open) {
        m_answered.insert(peer.str());
    }
}

std::vector<entry_host_id> startup_gate::peersToQuery(time_point now)
{
    std::vector<entry_host_id> unanswered;
    if (m_open || now < m_nextQuery || m_peers.empty()) {
        return unanswered;
    }
    m_nextQuery = now + queryInterval;
    std::copy_if(m_peers.begin(), m_peers.end(), std::back_inserter(unanswered), [this](const entry_host_id &peer) {
        return !m_answered.contains(peer.str());
    });
    return unanswered;
}

bool startup_gate::majorityAnswered() const
{
    const auto answered =
        std::count_if(m_peers.begin(), m_peers.end(), [this](const entry_host_id &peer) { return m_answered.contains(peer.str()); });
    return !m_peers.empty() && static_cast<std::size_t>(answered) >= m_peers.size() / 2 + 1;
}

bool startup_gate::tryOpen(bool hasConfiguration, bool newerRevisionKnown, time_point now)
{
    if (m_open) {
        return false;
    }
    if (newerRevisionKnown) {
        m_open = now >= m_startedAt + newerRevisionTimeoutFactor * m_timeout;
    } else if (hasConfiguration && majorityAnswered()) {
        m_open = true;
    } else {
        m_open = now >= m_startedAt + m_timeout;
    }
    return m_open;
}

} // namespace orioledrum
