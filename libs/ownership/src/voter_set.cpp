#include <ownership/voter_set.h>

#include <ownership/backend_group.h>
#include <ownership/rendezvous.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

/// Quorum of maxVoters voters that stand for a larger roster: two such quorums intersect even after two replacements.
constexpr std::size_t quorumOfMany = 5;

std::size_t
unionSize(const std::vector<entry_host_id> &left, std::size_t leftCount, const std::vector<entry_host_id> &right, std::size_t rightCount)
{
    std::size_t size = leftCount;
    const auto leftEnd = left.begin() + static_cast<std::ptrdiff_t>(leftCount);
    for (std::size_t index = 0; index < rightCount; ++index) {
        size += std::find(left.begin(), leftEnd, right[index]) == leftEnd ? 1U : 0U;
    }
    return size;
}

void appendRanked(std::vector<entry_host_id> &voters, const group_id &group, std::vector<entry_host_id> hosts)
{
    for (entry_host_id &host : rankHosts(group.str(), std::move(hosts))) {
        if (voters.size() == maxVoters) {
            return;
        }
        voters.push_back(std::move(host));
    }
}

} // namespace

std::size_t voter_set::rankOf(const entry_host_id &host) const
{
    return static_cast<std::size_t>(std::find(voters.begin(), voters.end(), host) - voters.begin());
}

std::size_t voter_set::isolatedQuorum() const
{
    return zoneHosts == 0 || zoneVoters >= quorum ? 0 : zoneHosts / 2 + 1;
}

voter_set votersOf(const roster &hosts, const group_id &group)
{
    const zone_id zone = zoneOfGroup(group);
    std::vector<entry_host_id> inZone;
    for (const roster_member &member : hosts.members) {
        if (member.zone == zone) {
            inZone.push_back(member.host);
        }
    }
    voter_set result;
    result.zoneHosts = inZone.size();
    result.rosterSize = hosts.members.size();
    appendRanked(result.voters, group, std::move(inZone));
    result.zoneVoters = result.voters.size();
    if (result.voters.size() < maxVoters) {
        std::vector<entry_host_id> others;
        for (const roster_member &member : hosts.members) {
            if (member.zone != zone) {
                others.push_back(member.host);
            }
        }
        appendRanked(result.voters, group, std::move(others));
    }
    if (!result.voters.empty()) {
        result.quorum = result.allVote() ? result.voters.size() / 2 + 1 : quorumOfMany;
    }
    return result;
}

bool quorumsIntersect(const voter_set &before, const voter_set &after)
{
    if (before.quorum == 0 || after.quorum == 0) {
        return true;
    }
    if (before.quorum + after.quorum <= unionSize(before.voters, before.voters.size(), after.voters, after.voters.size())) {
        return false;
    }
    const std::size_t beforeIsolated = before.isolatedQuorum();
    const std::size_t afterIsolated = after.isolatedQuorum();
    if (beforeIsolated > 0 && afterIsolated > 0) {
        return beforeIsolated + afterIsolated > unionSize(before.voters, before.zoneVoters, after.voters, after.zoneVoters);
    }
    // A zone that needed the isolated mode under one roster and decides alone under the other.
    if (beforeIsolated > 0 && after.zoneHosts > 0) {
        return beforeIsolated + after.quorum > unionSize(before.voters, before.zoneVoters, after.voters, after.zoneVoters);
    }
    if (afterIsolated > 0 && before.zoneHosts > 0) {
        return before.quorum + afterIsolated > unionSize(before.voters, before.zoneVoters, after.voters, after.zoneVoters);
    }
    return true;
}

} // namespace orioledrum
