#include "start_fence.h"

#include <algorithm>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds askInterval = 500ms;
/// A greater revision that was heard of is waited for this many times as long as answers are.
constexpr int behindFactor = 3;
constexpr std::size_t maxPeersElsewhere = 4;

} // namespace

start_fence::start_fence(time_point startedAt, std::chrono::milliseconds timeout)
    : m_startedAt(startedAt)
    , m_timeout(timeout)
    , m_nextAsk(startedAt)
{
}

void start_fence::setPeers(const std::vector<entry_host_id> &zonePeers, const std::vector<entry_host_id> &elsewhere)
{
    m_peers = zonePeers;
    if (m_peers.empty()) {
        m_peers.assign(elsewhere.begin(), elsewhere.begin() + static_cast<std::ptrdiff_t>(std::min(elsewhere.size(), maxPeersElsewhere)));
    }
}

void start_fence::onAnswer(const entry_host_id &peer)
{
    if (!m_open) {
        m_answered.insert(peer.str());
    }
}

std::vector<entry_host_id> start_fence::peersToAsk(time_point now)
{
    std::vector<entry_host_id> asked;
    if (m_open || now < m_nextAsk || m_peers.empty()) {
        return asked;
    }
    m_nextAsk = now + askInterval;
    std::copy_if(m_peers.begin(), m_peers.end(), std::back_inserter(asked), [this](const entry_host_id &peer) {
        return !m_answered.contains(peer.str());
    });
    return asked;
}

bool start_fence::majorityAnswered() const
{
    const auto answered =
        std::count_if(m_peers.begin(), m_peers.end(), [this](const entry_host_id &peer) { return m_answered.contains(peer.str()); });
    return !m_peers.empty() && static_cast<std::size_t>(answered) >= m_peers.size() / 2 + 1;
}

bool start_fence::tryOpen(bool hasConfiguration, bool behind, time_point now)
{
    if (m_open) {
        return false;
    }
    if (behind) {
        m_open = now >= m_startedAt + behindFactor * m_timeout;
    } else if (hasConfiguration && majorityAnswered()) {
        m_open = true;
    } else {
        m_open = now >= m_startedAt + m_timeout;
    }
    return m_open;
}

} // namespace orioledrum
