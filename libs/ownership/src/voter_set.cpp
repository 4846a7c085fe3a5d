#include <ownership/voter_set.h>

#include <base/rendezvous.h>
#include <ownership/backend_group.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace orioledrum
{

namespace
{

/// Quorum among maxVoters voters when the host list has more than maxVoters hosts. Two such quorums intersect even when two of
/// the voters were replaced between them.
constexpr std::size_t largeFleetQuorum = 5;

/// @return The number of different hosts among the first leftCount hosts of left and the first rightCount hosts of right.
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

/// Appends the hosts for which isCandidate is true, in rendezvous order, until there are maxVoters voters in total.
/// @return The number of hosts for which isCandidate is true, including those that were not appended.
template<typename Predicate>
std::size_t appendRanked(std::vector<entry_host_id> &voters, const group_id &group, const host_list_view &hosts, Predicate isCandidate)
{
    std::vector<std::pair<std::uint64_t, const entry_host_id *>> weighted;
    for (const host_list_member &member : hosts.members) {
        if (isCandidate(member)) {
            weighted.emplace_back(rendezvousWeight(group.str(), member.host.str()), &member.host);
        }
    }
    const std::size_t count = std::min(weighted.size(), maxVoters - voters.size());
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(weighted.begin(), end, weighted.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::transform(weighted.begin(), end, std::back_inserter(voters), [](const auto &entry) { return *entry.second; });
    return weighted.size();
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

voter_set votersOf(const host_list_view &hosts, const group_id &group)
{
    const zone_id zone = zoneOfGroup(group);
    voter_set result;
    result.hostListSize = hosts.members.size();
    result.zoneHosts = appendRanked(result.voters, group, hosts, [&](const host_list_member &member) { return member.zone == zone; });
    result.zoneVoters = result.voters.size();
    if (result.voters.size() < maxVoters) {
        appendRanked(result.voters, group, hosts, [&](const host_list_member &member) { return member.zone != zone; });
    }
    if (!result.voters.empty()) {
        result.quorum = result.allHostsVote() ? result.voters.size() / 2 + 1 : largeFleetQuorum;
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
    // Under one host list the zone can use the isolated mode; under the other its voters are a quorum by themselves.
    if (beforeIsolated > 0 && after.zoneHosts > 0) {
        return beforeIsolated + after.quorum > unionSize(before.voters, before.zoneVoters, after.voters, after.zoneVoters);
    }
    if (afterIsolated > 0 && before.zoneHosts > 0) {
        return before.quorum + afterIsolated > unionSize(before.voters, before.zoneVoters, after.voters, after.zoneVoters);
    }
    return true;
}

} // namespace orioledrum
