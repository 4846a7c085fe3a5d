#include <ownership/lease_manager.h>

#include <algorithm>
#include <map>
#include <utility>

namespace orioledrum
{

namespace
{

/// A gap between two events of the control thread that is longer than this counts as a pause. Messages missing during a pause
/// do not indicate a partition.
constexpr std::chrono::seconds pauseThreshold{1};
/// Requests are repeated every lease_timing::retry for this time after another host's grant has ended.
constexpr std::chrono::milliseconds fastRetryPeriod{1500};
/// A preferred host, one ranked before the holder, must repeat its request within this time to get the lease by failback.
constexpr std::chrono::milliseconds preferredRequestTimeout{2500};
/// Minimum interval between two failbacks, so that not all connections are rebuilt at once.
constexpr std::chrono::seconds failbackInterval{1};
/// The permission for fixed shares expires when the control thread has not renewed it for this time.
constexpr std::chrono::seconds sharesValidity{1};
/// Hosts whose state was never reported count as live for this time after the start of the process.
constexpr std::chrono::seconds unknownPeerLivePeriod{5};

/// Lists the zones that have the same hosts in both host lists and more hosts than a group has voters, so that the voters of
/// the zone's groups do not change. In a large fleet most host list changes affect few groups, and ranking the hosts for all 4,000
/// groups would block the control thread.
std::set<zone_id> unchangedZones(const host_list_view &before, const host_list_view &after)
{
    std::map<zone_id, std::pair<std::vector<entry_host_id>, std::vector<entry_host_id>>> zones;
    for (const host_list_member &member : before.members) {
        zones[member.zone].first.push_back(member.host);
    }
    for (const host_list_member &member : after.members) {
        zones[member.zone].second.push_back(member.host);
    }
    std::set<zone_id> result;
    for (const auto &[zone, hosts] : zones) {
        if (hosts.first.size() > maxVoters && hosts.first == hosts.second) {
            result.insert(zone);
        }
    }
    return result;
}

} // namespace

lease_manager::lease_manager(lease_identity identity, const lease_timing &timing, time_point start)
    : m_identity(std::move(identity))
    , m_timing(timing)
    , m_start(start)
    , m_lastEventTime(start)
    , m_hostList(timing)
    , m_voter(m_identity.self, timing, start)
    , m_connectivity(m_identity.self, m_identity.zone, timing, start)
    , m_shareState(std::make_shared<share_state>())
    , m_table(std::make_shared<const lease_table>(lease_table::lease_state_map{}, m_shareState, timing))
{
}

void lease_manager::detectPause(time_point now, lease_actions &actions)
{
    if (now - m_lastEventTime > pauseThreshold) {
        m_connectivity.resetTimers(now);
        // A partition that began and ended during the pause was not detected, so the wait for the end of isolated leases
        // restarts for the groups of other zones.
        for (const auto &[zone, leaseStates] : m_otherZoneLeases) {
            for (const auto &leaseState : leaseStates) {
                leaseState->setIsolationWaitStart(now);
            }
        }
        updateLocalIsolationWaits();
        updateShares(now, actions);
        for (group_entry *entry : m_holderEntries) {
            entry->holder->expire(now, actions);
        }
    }
    m_lastEventTime = std::max(m_lastEventTime, now);
}

void lease_manager::updateLocalIsolationWaits()
{
    for (const auto &leaseState : m_localZoneLeases) {
        leaseState->setIsolationWaitStart(m_connectivity.externalContactSince());
    }
}

void lease_manager::recordContact(const entry_host_id &host, time_point now)
{
    const time_point externalContactSince = m_connectivity.externalContactSince();
    m_connectivity.recordPeerMessage(host, now);
    if (m_connectivity.externalContactSince() != externalContactSince) {
        updateLocalIsolationWaits();
    }
    const auto &members = m_hostList.current().members;
    const auto found = std::lower_bound(
        members.begin(), members.end(), host, [](const host_list_member &member, const entry_host_id &id) { return member.host < id; });
    if (found == members.end() || found->host != host) {
        return;
    }
    const auto leaseStates = m_otherZoneLeases.find(found->zone);
    if (leaseStates != m_otherZoneLeases.end()) {
        for (const auto &leaseState : leaseStates->second) {
            leaseState->setIsolationWaitStart(now);
        }
    }
}

lease_actions lease_manager::setHostList(const host_list_view &hosts, time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    const host_list_view before = m_hostList.current();
    if (m_hostList.adopt(hosts, now)) {
        m_connectivity.setHostList(m_hostList.current(), now);
        refreshGroups(unchangedZones(before, m_hostList.current()), now, actions);
        updateShares(now, actions);
    }
    return actions;
}

lease_actions lease_manager::setGroups(const std::vector<backend_group> &groups, time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    std::unordered_map<group_id, group_entry> next;
    for (const backend_group &group : groups) {
        const auto found = m_groups.find(group.id);
        group_entry entry;
        if (found != m_groups.end()) {
            entry = std::move(found->second);
            m_groups.erase(found);
        }
        entry.group = group;
        next[group.id] = std::move(entry);
    }
    std::erase_if(m_removedGroups, [&](const auto &removed) { return removed.second <= now; });
    for (auto &[id, entry] : m_groups) {
        if (entry.holder) {
            entry.holder->revoke(lease_loss::groupRemoved, now, actions);
            m_removedGroups[id] = entry.holder->callsEndBy();
        }
    }
    m_groups = std::move(next);
    refreshGroups({}, now, actions);
    return actions;
}

void lease_manager::refreshGroups(const std::set<zone_id> &unchanged, time_point now, lease_actions &actions)
{
    m_otherZoneLeases.clear();
    m_localZoneLeases.clear();
    m_holderEntries.clear();
    for (auto &[id, entry] : m_groups) {
        if (entry.voters.quorum > 0 && unchanged.contains(entry.group.zone)) {
            entry.voters.hostListSize = m_hostList.current().members.size();
        } else {
            entry.voters = votersOf(m_hostList.current(), id);
            entry.earliestGrant = m_hostList.earliestGrant(id, entry.voters, now);
            entry.rank = entry.voters.rankOf(m_identity.self);
        }
        if (!entry.holder && entry.rank < entry.voters.voters.size()) {
            const auto removed = m_removedGroups.find(id);
            entry.leaseState = std::make_shared<lease_state>(entry.group.zone != m_identity.zone);
            entry.leaseState->setIsolationWaitStart(now);
            entry.holder = std::make_unique<lease_holder>(m_identity.self,
                                                          m_identity.incarnation,
                                                          id,
                                                          entry.leaseState,
                                                          m_timing,
                                                          removed == m_removedGroups.end() ? time_point{} : removed->second);
        }
        if (entry.holder) {
            m_holderEntries.push_back(&entry);
        }
        if (entry.holder && entry.rank >= entry.voters.voters.size()) {
            entry.holder->beginHandover(now, actions);
        }
        if (entry.leaseState && entry.leaseState->inOtherZone()) {
            m_otherZoneLeases[entry.group.zone].push_back(entry.leaseState);
        } else if (entry.leaseState && entry.voters.isolatedQuorum() > 0) {
            m_localZoneLeases.push_back(entry.leaseState);
        } else if (entry.leaseState) {
            entry.leaseState->setIsolationWaitStart({});
        }
    }
    updateLocalIsolationWaits();
    publishTable();
}

void lease_manager::publishTable()
{
    lease_table::lease_state_map leaseStates;
    for (const auto &[id, entry] : m_groups) {
        if (entry.leaseState) {
            leaseStates.emplace(id, entry.leaseState);
        }
    }
    m_table.publish(std::make_shared<const lease_table>(std::move(leaseStates), m_shareState, m_timing));
}

lease_actions lease_manager::setPeerState(const entry_host_id &host, host_state state, time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    m_peers[host] = state;
    outbox out;
    for (group_entry *entry : m_holderEntries) {
        requestIfDue(*entry, now, out);
    }
    flush(std::move(out), now, actions);
    return actions;
}

void lease_manager::recordPeerMessage(const entry_host_id &host, time_point now)
{
    recordContact(host, now);
}

void lease_manager::recordPlatformAnswer(time_point now)
{
    m_connectivity.recordPlatformAnswer(now);
    updateLocalIsolationWaits();
}

voter_conditions lease_manager::conditionsFor(const group_id &group, time_point now) const
{
    voter_conditions conditions;
    conditions.grantsAllowed = m_sharesPhase == shares_phase::off;
    conditions.isolated = m_connectivity.isolated(now) && zoneOfGroup(group) == m_identity.zone;
    conditions.hostListRevision = m_hostList.current().revision;
    const auto found = m_groups.find(group);
    if (found != m_groups.end()) {
        conditions.earliestGrant = found->second.earliestGrant;
    } else if (m_hostList.inTransition(now)) {
        conditions.earliestGrant = m_hostList.earliestGrant(group, votersOf(m_hostList.current(), group), now);
    }
    return conditions;
}

lease_batch_answer lease_manager::answerBatch(const lease_batch &batch, time_point now, lease_actions &actions)
{
    lease_batch_answer result;
    revision_number newest = m_hostList.current().revision;
    for (const lease_release &release : batch.releases) {
        m_voter.release(release, now);
    }
    for (const lease_request &request : batch.requests) {
        result.answers.push_back(m_voter.answer(request, conditionsFor(request.group, now), now));
        if (request.hostListRevision > newest) {
            newest = request.hostListRevision;
            actions.emplace_back(fetch_host_list_from_host{request.holder, newest});
        }
        const auto found = m_groups.find(request.group);
        if (found != m_groups.end() && found->second.holder && found->second.holder->held()
            && found->second.voters.rankOf(request.holder) < found->second.rank) {
            group_entry &entry = found->second;
            if (now - entry.preferredRequestAt > preferredRequestTimeout) {
                entry.preferredRequestSince = now;
            }
            entry.preferredRequestAt = now;
        }
    }
    return result;
}

lease_batch_answer lease_manager::receiveBatch(const entry_host_id &from, const lease_batch &batch, time_point now, lease_actions &actions)
{
    detectPause(now, actions);
    recordContact(from, now);
    lease_batch_answer result = answerBatch(batch, now, actions);
    outbox out;
    for (const lease_release &release : batch.releases) {
        const auto found = m_groups.find(release.group);
        if (found != m_groups.end()) {
            requestIfDue(found->second, now, out);
        }
    }
    flush(std::move(out), now, actions);
    return result;
}

lease_actions lease_manager::receiveAnswers(const entry_host_id &from, const lease_batch_answer &answers, time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    recordContact(from, now);
    outbox out;
    processAnswers(answers, now, out, actions);
    flush(std::move(out), now, actions);
    return actions;
}

void lease_manager::processAnswers(const lease_batch_answer &answers, time_point now, outbox &out, lease_actions &actions)
{
    revision_number newest = m_hostList.current().revision;
    for (const lease_answer &answer : answers.answers) {
        if (answer.hostListRevision > newest) {
            newest = answer.hostListRevision;
            actions.emplace_back(fetch_host_list_from_host{answer.voter, newest});
        }
        const auto found = m_groups.find(answer.group);
        if (found == m_groups.end() || !found->second.holder) {
            continue;
        }
        group_entry &entry = found->second;
        // Answers to requests sent before the use of fixed shares started, or before this host began to leave, must not
        // complete a lease.
        if (m_sharesPhase != shares_phase::off || m_leaving) {
            continue;
        }
        entry.holder->receiveAnswer(answer, entry.voters, now, actions);
        if (!answer.granted && !answer.holder.empty()) {
            entry.reportedHolder = answer.holder;
            entry.reportedHolderUntil = now + m_timing.lease;
        }
        if (entry.holder->shouldReleaseGrants(entry.voters) && now >= entry.holder->callsEndBy()) {
            releaseGrants(entry, now, out);
        }
    }
}

bool lease_manager::isUnavailable(const entry_host_id &host, time_point now) const
{
    if (host == m_identity.self) {
        return m_leaving;
    }
    const auto found = m_peers.find(host);
    if (found != m_peers.end() && (found->second == host_state::live || found->second == host_state::leaving)) {
        return found->second == host_state::leaving;
    }
    // In a large zone, lease messages show that a host is live earlier than the membership does. Hosts that considered each
    // other unavailable would request the lease at the same time and split the votes.
    if (m_connectivity.isReachable(host, now)) {
        return false;
    }
    return found != m_peers.end() || now - m_start >= unknownPeerLivePeriod;
}

bool lease_manager::usesIsolatedMode(const group_entry &entry, time_point now) const
{
    return entry.group.zone == m_identity.zone && entry.voters.isolatedQuorum() > 0 && m_connectivity.isolated(now);
}

bool lease_manager::shouldRequest(const group_entry &entry, time_point now) const
{
    if (!entry.holder || entry.rank >= entry.voters.voters.size() || m_leaving || !m_requestsEnabled || m_sharesPhase != shares_phase::off
        || now < entry.earliestGrant || entry.holder->handingOver()) {
        return false;
    }
    const lease_holder &holder = *entry.holder;
    const auto sinceLastRequest = now - holder.lastRequestTime();
    const bool isolated = usesIsolatedMode(entry, now);
    const auto period = isolated ? m_timing.isolatedRenewal : m_timing.renewal;
    if (holder.held()) {
        // A lease that was completed without the votes of the group's zone cannot be used yet. Those votes may only have been
        // late, so the request is repeated soon.
        const bool unusable = now < entry.fastRetryUntil && entry.leaseState->zoneVotesUntil() <= now;
        return sinceLastRequest >= (unusable ? m_timing.retry : period);
    }
    const group_id &id = entry.group.id;
    const std::optional<entry_host_id> currentHolder = m_voter.holderOf(id, now);
    if (currentHolder && *currentHolder != m_identity.self) {
        // When this host ranks before the holder, its request is refused but tells the holder that this host is available again.
        return entry.voters.rankOf(*currentHolder) > entry.rank && sinceLastRequest >= m_timing.renewal;
    }
    const auto preferredCount =
        std::count_if(entry.voters.voters.begin(),
                      entry.voters.voters.begin() + static_cast<std::ptrdiff_t>(entry.rank),
                      [&](const entry_host_id &host) { return !isUnavailable(host, now) && !m_voter.stoppedRequesting(id, host, now); });
    if (!currentHolder && preferredCount > 0 && now < *m_voter.freeSince(id, now) + m_timing.takeoverDelayPerHost * preferredCount) {
        return false;
    }
    return sinceLastRequest >= (now < entry.fastRetryUntil ? std::min(m_timing.retry, period) : period);
}

void lease_manager::requestIfDue(group_entry &entry, time_point now, outbox &out)
{
    if (!entry.holder) {
        return;
    }
    const group_id &id = entry.group.id;
    const std::optional<time_point> freeSince = m_voter.freeSince(id, now);
    const entry_host_id *previousHolder = m_voter.lastHolder(id);
    if (freeSince && previousHolder != nullptr && *previousHolder != m_identity.self) {
        entry.fastRetryUntil = *freeSince + fastRetryPeriod;
    }
    if (!shouldRequest(entry, now)) {
        return;
    }
    const bool isolated = usesIsolatedMode(entry, now);
    const lease_request request = entry.holder->makeRequest(++m_sequence, m_hostList.current().revision, isolated, entry.voters, now);
    const std::size_t count = isolated ? entry.voters.zoneVoters : entry.voters.voters.size();
    for (std::size_t index = 0; index < count; ++index) {
        out[entry.voters.voters[index]].requests.push_back(request);
    }
}

void lease_manager::releaseGrants(group_entry &entry, time_point now, outbox &out)
{
    const lease_release release = entry.holder->makeRelease(now);
    // This host's voter handles the release immediately. Otherwise shouldRequest() in the same event would still find this host's
    // grant and not wait for preferred hosts.
    m_voter.release(release, now);
    for (const entry_host_id &voter : entry.voters.voters) {
        if (voter != m_identity.self) {
            out[voter].releases.push_back(release);
        }
    }
}

void lease_manager::flush(outbox out, time_point now, lease_actions &actions)
{
    // The answer of this host's voter can complete a lease, or make a round fail, which in turn adds releases to the outbox.
    auto localBatch = out.extract(m_identity.self);
    while (!localBatch.empty()) {
        const lease_batch_answer answers = answerBatch(localBatch.mapped(), now, actions);
        processAnswers(answers, now, out, actions);
        localBatch = out.extract(m_identity.self);
    }
    for (auto &[host, batch] : out) {
        actions.emplace_back(send_lease_batch{host, std::move(batch)});
    }
}

lease_actions lease_manager::tick(time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    m_connectivity.tick(now);
    m_voter.deleteOldRecords(now);
    updateShares(now, actions);
    outbox out;
    for (group_entry *entry : m_holderEntries) {
        entry->holder->expire(now, actions);
        if (entry->holder->heldIsolated() && !m_connectivity.isolated(now)) {
            entry->holder->revoke(lease_loss::notIsolated, now, actions);
        }
        if (entry->holder->handingOver() && now >= entry->holder->callsEndBy()) {
            releaseGrants(*entry, now, out);
        }
        requestIfDue(*entry, now, out);
    }
    startDueFailback(now, actions);
    flush(std::move(out), now, actions);
    return actions;
}

void lease_manager::updateShares(time_point now, lease_actions &actions)
{
    const bool leasesEnded = std::all_of(m_holderEntries.begin(), m_holderEntries.end(), [&](const group_entry *entry) {
        return !entry->holder->held() && now >= entry->holder->callsEndBy();
    });
    const bool allowed = m_connectivity.sharesAllowed(now) && !m_connectivity.isolated(now) && !m_leaving && m_requestsEnabled
        && leasesEnded && !m_voter.grantedToOthers(now) && !m_hostList.inTransition(now);
    if (allowed && m_sharesPhase != shares_phase::draining) {
        if (m_sharesPhase == shares_phase::off) {
            m_sharesPhase = shares_phase::inUse;
            actions.emplace_back(shares_changed{true});
        }
        m_shareState->allow(static_cast<std::uint32_t>(m_hostList.current().members.size()), now + sharesValidity);
        return;
    }
    if (m_sharesPhase == shares_phase::inUse) {
        m_shareState->revoke();
        m_sharesPhase = shares_phase::draining;
        m_sharesEnd = now + m_timing.maxCallDuration + m_timing.deadlineGrace;
        actions.emplace_back(shares_changed{false});
    }
    if (m_sharesPhase == shares_phase::draining && now >= m_sharesEnd) {
        m_sharesPhase = shares_phase::off;
    }
}

void lease_manager::startDueFailback(time_point now, lease_actions &actions)
{
    if (m_leaving || now - m_lastFailback < failbackInterval) {
        return;
    }
    for (group_entry *entry : m_holderEntries) {
        if (entry->holder->held() && !entry->holder->heldIsolated() && now - entry->preferredRequestAt <= preferredRequestTimeout
            && now - entry->preferredRequestSince >= m_timing.failbackAfter) {
            m_lastFailback = now;
            entry->preferredRequestSince = now;
            entry->holder->beginHandover(now, actions);
            return;
        }
    }
}

lease_actions lease_manager::leave(time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    m_leaving = true;
    outbox out;
    for (auto &[id, entry] : m_groups) {
        handOverOrReleaseGrants(entry, now, out, actions);
    }
    updateShares(now, actions);
    flush(std::move(out), now, actions);
    return actions;
}

void lease_manager::handOverOrReleaseGrants(group_entry &entry, time_point now, outbox &out, lease_actions &actions)
{
    if (!entry.holder) {
        return;
    }
    if (entry.holder->held()) {
        entry.holder->beginHandover(now, actions);
    } else if (!entry.holder->handingOver() && now >= entry.holder->callsEndBy()) {
        releaseGrants(entry, now, out);
    }
}

lease_actions lease_manager::beginHandover(const group_id &group, time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    const auto found = m_groups.find(group);
    if (found != m_groups.end() && found->second.holder) {
        found->second.holder->beginHandover(now, actions);
    }
    return actions;
}

lease_actions lease_manager::callsFinished(const group_id &group, time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    const auto found = m_groups.find(group);
    if (found != m_groups.end() && found->second.holder && found->second.holder->handingOver()) {
        outbox out;
        releaseGrants(found->second, now, out);
        flush(std::move(out), now, actions);
    }
    return actions;
}

lease_actions lease_manager::shareCallsFinished(time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    if (m_sharesPhase == shares_phase::draining) {
        m_sharesPhase = shares_phase::off;
    }
    return actions;
}

lease_actions lease_manager::revokeAll(time_point now)
{
    lease_actions actions;
    detectPause(now, actions);
    for (auto &[id, entry] : m_groups) {
        if (entry.holder) {
            entry.holder->revoke(lease_loss::revoked, now, actions);
        }
    }
    if (m_sharesPhase == shares_phase::inUse) {
        m_shareState->revoke();
        m_sharesPhase = shares_phase::draining;
        m_sharesEnd = now + m_timing.maxCallDuration + m_timing.deadlineGrace;
        actions.emplace_back(shares_changed{false});
    }
    return actions;
}

entry_host_id lease_manager::ownerOf(const group_id &group, time_point now) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return {};
    }
    const group_entry &entry = found->second;
    if (entry.holder && entry.holder->held()) {
        return m_identity.self;
    }
    const std::optional<entry_host_id> currentHolder = m_voter.holderOf(group, now);
    if (currentHolder && *currentHolder != m_identity.self) {
        return *currentHolder;
    }
    if (now < entry.reportedHolderUntil && entry.reportedHolder != m_identity.self) {
        return entry.reportedHolder;
    }
    const auto first = std::find_if(entry.voters.voters.begin(), entry.voters.voters.end(), [&](const entry_host_id &host) {
        return !isUnavailable(host, now) && !m_voter.stoppedRequesting(group, host, now);
    });
    return first == entry.voters.voters.end() ? entry_host_id() : *first;
}

std::vector<group_id> lease_manager::heldGroups(time_point now) const
{
    std::vector<group_id> result;
    for (const auto &[id, entry] : m_groups) {
        if (entry.holder && entry.holder->held() && now < entry.leaseState->expiry()) {
            result.push_back(id);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool lease_manager::allLeasesReturned() const
{
    return std::none_of(m_groups.begin(), m_groups.end(), [](const auto &entry) {
        return entry.second.holder && (entry.second.holder->held() || entry.second.holder->handingOver());
    });
}

const voter_set *lease_manager::voters(const group_id &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : &found->second.voters;
}

} // namespace orioledrum
