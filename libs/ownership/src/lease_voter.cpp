#include <ownership/lease_voter.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

/// Records of ended grants are kept for this time, so that this host does not wait for hosts that stopped requesting the lease.
constexpr std::chrono::seconds endedGrantRetention{60};

} // namespace

lease_voter::lease_voter(entry_host_id self, const lease_timing &timing, time_point start)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_start(start)
{
}

void lease_voter::recordEndedGrant(grant_record &grant, time_point now)
{
    if (!grant.endRecorded && now >= grant.grantEnd && !grant.holder.empty()) {
        grant.endRecorded = true;
        grant.stoppedHosts.insert(grant.holder);
    }
}

lease_answer lease_voter::answer(const lease_request &request, const voter_conditions &conditions, time_point now)
{
    lease_answer result;
    result.group = request.group;
    result.voter = m_self;
    result.sequence = request.sequence;
    result.hostListRevision = conditions.hostListRevision;
    result.isolated = conditions.isolated;

    const auto found = m_grants.find(request.group);
    grant_record *record = found == m_grants.end() ? nullptr : &found->second;
    if (record != nullptr) {
        recordEndedGrant(*record, now);
    }
    const bool active = record != nullptr && now < record->grantEnd;
    const bool sameHolder = record != nullptr && record->holder == request.holder && record->incarnation == request.incarnation;
    if (active) {
        result.holder = record->holder;
    }
    const bool alreadyReleased = record != nullptr && record->releasedBy == request.holder
        && record->releasedIncarnation == request.incarnation && request.sequence <= record->releasedSequence;
    const bool allowed = conditions.grantsAllowed && now - m_start >= m_timing.initialGrantDelay && conditions.earliestGrant <= now
        && request.hostListRevision >= conditions.hostListRevision && (!request.isolated || conditions.isolated) && !alreadyReleased
        && (!active || sameHolder);
    if (record != nullptr && !alreadyReleased) {
        record->stoppedHosts.erase(request.holder);
    }
    if (!allowed) {
        return result;
    }
    grant_record &grant = m_grants[request.group];
    const time_point until = now + (request.isolated ? m_timing.isolatedLease : m_timing.lease);
    grant.grantEnd = active ? std::max(grant.grantEnd, until) : until;
    grant.sequence = sameHolder ? std::max(grant.sequence, request.sequence) : request.sequence;
    grant.holder = request.holder;
    grant.incarnation = request.incarnation;
    grant.endRecorded = false;
    result.granted = true;
    result.holder = request.holder;
    return result;
}

bool lease_voter::release(const lease_release &release, time_point now)
{
    const auto [found, created] = m_grants.try_emplace(release.group);
    grant_record &grant = found->second;
    if (created) {
        grant.grantEnd = now;
    }
    // Stored even without a matching grant, because a request sent before the release may arrive after it.
    const bool sameReleaser = grant.releasedBy == release.holder && grant.releasedIncarnation == release.incarnation;
    grant.releasedSequence = sameReleaser ? std::max(grant.releasedSequence, release.sequence) : release.sequence;
    grant.releasedBy = release.holder;
    grant.releasedIncarnation = release.incarnation;
    grant.stoppedHosts.insert(release.holder);
    const bool matches = grant.holder == release.holder && grant.incarnation == release.incarnation && grant.sequence <= release.sequence;
    if (!matches || now >= grant.grantEnd) {
        return false;
    }
    grant.grantEnd = now;
    return true;
}

std::optional<entry_host_id> lease_voter::holderOf(const group_id &group, time_point now) const
{
    const auto found = m_grants.find(group);
    return found != m_grants.end() && now < found->second.grantEnd ? std::optional(found->second.holder) : std::nullopt;
}

std::optional<time_point> lease_voter::freeSince(const group_id &group, time_point now) const
{
    const auto found = m_grants.find(group);
    if (found == m_grants.end()) {
        return m_start + m_timing.initialGrantDelay;
    }
    return now < found->second.grantEnd ? std::nullopt : std::optional(found->second.grantEnd);
}

const entry_host_id *lease_voter::lastHolder(const group_id &group) const
{
    const auto found = m_grants.find(group);
    return found == m_grants.end() ? nullptr : &found->second.holder;
}

bool lease_voter::stoppedRequesting(const group_id &group, const entry_host_id &host, time_point now) const
{
    const auto found = m_grants.find(group);
    if (found == m_grants.end()) {
        return false;
    }
    const grant_record &grant = found->second;
    return grant.stoppedHosts.contains(host) || (!grant.endRecorded && grant.holder == host && now >= grant.grantEnd);
}

bool lease_voter::grantedToOthers(time_point now) const
{
    return std::any_of(
        m_grants.begin(), m_grants.end(), [&](const auto &entry) { return now < entry.second.grantEnd && entry.second.holder != m_self; });
}

void lease_voter::deleteOldRecords(time_point now)
{
    std::erase_if(m_grants, [&](const auto &entry) { return now - entry.second.grantEnd >= endedGrantRetention; });
}

} // namespace orioledrum
