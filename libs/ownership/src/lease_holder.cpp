#include <ownership/lease_holder.h>

#include <algorithm>
#include <vector>

namespace orioledrum
{

namespace
{

/// Maximum number of rounds whose answers can still be matched to their sending time. At the shortest interval, 50 ms, they
/// span 800 ms.
constexpr std::size_t maxRounds = 16;

} // namespace

lease_holder::lease_holder(entry_host_id self,
                           incarnation_id incarnation,
                           group_id group,
                           std::shared_ptr<lease_state> leaseState,
                           const lease_timing &timing,
                           time_point earlierCallsEndBy)
    : m_self(std::move(self))
    , m_incarnation(std::move(incarnation))
    , m_group(std::move(group))
    , m_leaseState(std::move(leaseState))
    , m_timing(timing)
    , m_callsEndBy(earlierCallsEndBy)
{
}

lease_request
lease_holder::makeRequest(std::uint64_t sequence, revision_number hostListRevision, bool isolated, const voter_set &voters, time_point now)
{
    m_contendedRounds = contended(voters) ? m_contendedRounds + 1 : 0;
    m_rounds.push_back({sequence, now, isolated});
    if (m_rounds.size() > maxRounds) {
        m_rounds.pop_front();
    }
    m_refusals.clear();
    m_lastRequestTime = now;
    lease_request request;
    request.group = m_group;
    request.holder = m_self;
    request.incarnation = m_incarnation;
    request.hostListRevision = hostListRevision;
    request.sequence = sequence;
    request.isolated = isolated;
    return request;
}

void lease_holder::receiveAnswer(const lease_answer &answer, const voter_set &voters, time_point now, lease_actions &actions)
{
    const auto found =
        std::find_if(m_rounds.begin(), m_rounds.end(), [&](const round &entry) { return entry.sequence == answer.sequence; });
    if (found == m_rounds.end() || answer.sequence <= m_releasedSequence || m_handingOver) {
        return;
    }
    if (!answer.granted) {
        m_namedHolder = answer.holder;
        if (found->isolated && !answer.isolated && voters.rankOf(answer.voter) < voters.zoneVoters) {
            // A host of the zone has contact with other zones or the platform, so the zone is not cut off.
            revoke(lease_loss::notIsolated, now, actions);
            return;
        }
        if (answer.sequence == m_rounds.back().sequence) {
            m_refusals[answer.voter] = answer.holder;
        }
        return;
    }
    vote &recorded = m_votes[answer.voter];
    if (recorded.sent <= found->sent) {
        recorded = {found->sent, found->isolated};
    }
    updateLease(voters, now, actions);
}

time_point lease_holder::quorumSentTime(const voter_set &voters, std::size_t voterCount, std::size_t requiredVotes, bool isolated) const
{
    std::vector<time_point> times;
    for (std::size_t index = 0; index < voterCount; ++index) {
        const auto found = m_votes.find(voters.voters[index]);
        if (found != m_votes.end() && found->second.isolated == isolated) {
            times.push_back(found->second.sent);
        }
    }
    if (requiredVotes == 0 || times.size() < requiredVotes) {
        return {};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[requiredVotes - 1];
}

void lease_holder::updateLease(const voter_set &voters, time_point now, lease_actions &actions)
{
    const auto usableUntil = [&](time_point sent, lease_timing::duration length) {
        return sent == time_point{} ? sent : sent + length * m_timing.holderPercent / 100;
    };
    const time_point end = usableUntil(quorumSentTime(voters, voters.voters.size(), voters.quorum, false), m_timing.lease);
    const std::size_t isolatedVotes = voters.isolatedQuorum();
    const time_point isolatedEnd = usableUntil(quorumSentTime(voters, voters.zoneVoters, isolatedVotes, true), m_timing.isolatedLease);
    // When this many hosts of the zone vote for this holder, the remaining hosts are too few to grant an isolated lease.
    const std::size_t excludingVotes = isolatedVotes == 0 ? 0 : voters.zoneHosts - isolatedVotes + 1;
    // A zone without hosts in the list may still have hosts that the platform does not list. Without their votes, this lease
    // does not rule out an isolated holder there. A zone with hosts that never uses the isolated mode needs no such votes.
    const time_point endWithoutZoneHosts = voters.zoneHosts == 0 ? time_point() : end;
    const time_point zoneVotes = excludingVotes == 0
        ? endWithoutZoneHosts
        : usableUntil(quorumSentTime(voters, voters.zoneVoters, excludingVotes, false), m_timing.lease);
    // An isolated lease itself rules out any other isolated lease.
    m_leaseState->setZoneVotesUntil(std::max(zoneVotes, isolatedEnd));

    const time_point latestEnd = std::max(end, isolatedEnd);
    if (latestEnd <= now) {
        return;
    }
    if (latestEnd > m_leaseState->expiry()) {
        m_callsEndBy = std::max(m_callsEndBy, latestEnd);
        m_isolated = isolatedEnd > end;
        m_leaseState->extend(latestEnd);
    }
    if (!m_held) {
        m_held = true;
        m_namedHolder = entry_host_id();
        actions.emplace_back(lease_gained{m_group, m_isolated});
    }
}

void lease_holder::expire(time_point now, lease_actions &actions)
{
    std::erase_if(m_votes, [&](const auto &entry) { return now - entry.second.sent >= m_timing.lease; });
    if (m_held && now >= m_leaseState->expiry()) {
        m_held = false;
        m_leaseState->revoke();
        actions.emplace_back(lease_lost{m_group, lease_loss::expired});
    }
}

void lease_holder::revoke(lease_loss reason, time_point, lease_actions &actions)
{
    m_leaseState->revoke();
    m_leaseState->setZoneVotesUntil({});
    m_votes.clear();
    m_refusals.clear();
    m_handingOver = false;
    if (!m_rounds.empty()) {
        m_releasedSequence = m_rounds.back().sequence;
    }
    if (m_held) {
        m_held = false;
        actions.emplace_back(lease_lost{m_group, reason});
    }
}

void lease_holder::beginHandover(time_point, lease_actions &actions)
{
    if (!m_held) {
        return;
    }
    m_leaseState->revoke();
    m_held = false;
    m_handingOver = true;
    actions.emplace_back(handover_started{m_group});
}

lease_release lease_holder::makeRelease(time_point)
{
    if (!m_rounds.empty()) {
        m_releasedSequence = m_rounds.back().sequence;
    }
    m_votes.clear();
    m_refusals.clear();
    m_contendedRounds = 0;
    m_handingOver = false;
    m_leaseState->setZoneVotesUntil({});
    lease_release release;
    release.group = m_group;
    release.holder = m_self;
    release.incarnation = m_incarnation;
    release.sequence = m_releasedSequence;
    return release;
}

bool lease_holder::shouldReleaseGrants(const voter_set &voters) const
{
    return m_contendedRounds > 0 && contended(voters);
}

bool lease_holder::contended(const voter_set &voters) const
{
    if (m_held || m_handingOver || m_votes.empty() || m_rounds.empty()) {
        return false;
    }
    const bool isolated = m_rounds.back().isolated;
    const std::size_t voterCount = isolated ? voters.zoneVoters : voters.voters.size();
    const std::size_t requiredVotes = isolated ? voters.isolatedQuorum() : voters.quorum;
    const bool quorumImpossible = m_refusals.size() > voterCount - std::min(voterCount, requiredVotes);
    const std::size_t localRank = voters.rankOf(m_self);
    return std::any_of(m_refusals.begin(), m_refusals.end(), [&](const auto &refusal) {
        const entry_host_id &holder = refusal.second;
        if (holder.empty() || holder == m_self) {
            return false;
        }
        const auto refusalsNamingHolder =
            std::count_if(m_refusals.begin(), m_refusals.end(), [&](const auto &other) { return other.second == holder; });
        return static_cast<std::size_t>(refusalsNamingHolder) >= requiredVotes || (quorumImpossible && voters.rankOf(holder) < localRank);
    });
}

} // namespace orioledrum
