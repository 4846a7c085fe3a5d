#include <relay_client.h>

#include <host_call.h>
#include <wire/codec.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace orioledrum
{

namespace
{

/// Added to the remaining time of a relayed search to get its timeout: an answer that the other host sends at the target time may
/// still be on its way.
constexpr std::chrono::milliseconds answerTransitTime{40};

/// @return True when this host knows all enumerators and each served shard has a signature; a host with another software
/// version may send unknown enumerators.
bool isValid(const relay_answer &answer)
{
    return answer.end <= static_cast<std::uint8_t>(gather_end::late)
        && std::all_of(answer.shards.begin(), answer.shards.end(), [](const relay_shard &shard) {
               const bool served = shard.end == static_cast<std::uint8_t>(attempt_end::served);
               return shard.end <= static_cast<std::uint8_t>(attempt_end::abandoned) && (!served || !shard.signature.empty());
           });
}

/// @return True when the status is a refusal, see relay_search. A host with another software version refuses messages that it cannot read.
bool isRefusal(int status)
{
    return (status >= 400 && status < 500) || status == 503;
}

} // namespace

relay_client::relay_client(http_client &client, replica_registry &registry, std::string self)
    : m_client(client)
    , m_registry(registry)
    , m_self(self)
    , m_selector(std::move(self), random_source::fromSystem())
{
}

relay_client::assigned_parts relay_client::assignParts(const std::vector<service_id> &shards, time_point targetTime, time_point now)
{
    assigned_parts parts;
    if (targetTime <= now) {
        return parts;
    }
    std::vector<std::size_t> localZoneShards;
    std::vector<std::size_t> otherZoneShards;
    for (std::size_t position = 0; position < shards.size(); ++position) {
        (m_registry.reachableIn(shards[position], m_registry.localZone(), now) ? localZoneShards : otherZoneShards).push_back(position);
    }
    assignOtherZones(parts, shards, std::move(otherZoneShards), targetTime, now);
    if (localZoneShards.size() > part_sizing::usualShardsPerPart) {
        assignShards(parts, shards, localZoneShards, {m_registry.localZone()}, targetTime, now);
    }
    return parts;
}

relay_client::assigned_parts relay_client::previewParts(const std::vector<service_id> &shards, time_point targetTime, time_point now)
{
    const auto random = m_selector.random();
    auto parts = assignParts(shards, targetTime, now);
    m_selector.restore(random);
    return parts;
}

void relay_client::assignOtherZones(assigned_parts &parts,
                                    const std::vector<service_id> &shards,
                                    std::vector<std::size_t> positions,
                                    time_point targetTime,
                                    time_point now)
{
    while (positions.size() >= minShards) {
        const auto covering = zonesCovering(shards, positions, now);
        if (!covering.empty()) {
            assignShards(parts, shards, positions, covering, targetTime, now);
            return;
        }
        const auto zone = zoneCoveringMost(shards, positions, now);
        if (positions.size() <= part_sizing::usualShardsPerPart || !zone) {
            return;
        }
        const auto covered = std::stable_partition(positions.begin(), positions.end(), [&](std::size_t position) {
            return !m_registry.reachableIn(shards[position], *zone, now);
        });
        assignShards(parts, shards, {covered, positions.end()}, {*zone}, targetTime, now);
        positions.erase(covered, positions.end());
    }
}

std::optional<zone_id>
relay_client::zoneCoveringMost(const std::vector<service_id> &shards, const std::vector<std::size_t> &positions, time_point now) const
{
    std::map<zone_id, std::size_t> shardsInZone;
    for (const auto position : positions) {
        const auto zones = m_registry.zones(shards[position]);
        for (const auto &zone : std::set<zone_id>(zones.begin(), zones.end())) {
            shardsInZone[zone] += m_registry.reachableIn(shards[position], zone, now) ? 1 : 0;
        }
    }
    const auto most = std::max_element(
        shardsInZone.begin(), shardsInZone.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    if (most == shardsInZone.end() || most->second == 0) {
        return std::nullopt;
    }
    return most->first;
}

std::vector<zone_id>
relay_client::zonesCovering(const std::vector<service_id> &shards, const std::vector<std::size_t> &positions, time_point now) const
{
    std::map<zone_id, std::size_t> shardsInZone;
    for (const auto position : positions) {
        for (const auto &zone : m_registry.zones(shards[position])) {
            shardsInZone[zone] += m_registry.reachableIn(shards[position], zone, now) ? 1 : 0;
        }
    }
    std::vector<zone_id> zones;
    for (const auto &[zone, count] : shardsInZone) {
        if (static_cast<double>(count) >= minZoneShare * static_cast<double>(positions.size())) {
            zones.push_back(zone);
        }
    }
    return zones;
}

void relay_client::assignShards(assigned_parts &parts,
                                const std::vector<service_id> &shards,
                                const std::vector<std::size_t> &positions,
                                const std::vector<zone_id> &zones,
                                time_point targetTime,
                                time_point now)
{
    if (positions.size() < minShards) {
        return;
    }
    const auto timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(targetTime - now);
    const auto sizing = part_sizing::of(positions.size(), timeLeft, minTimeLeft, m_selector.freeCapacity(zones));
    if (!sizing.delegates) {
        return;
    }
    const auto partCount = (positions.size() + sizing.shardsPerPart - 1) / sizing.shardsPerPart;
    // All hosts divide the shards of a route into the same groups. A part is named after the group of its middle shard, so that it
    // keeps its name when some shards of a group are not in the part.
    const auto groupCount = (shards.size() + part_sizing::usualShardsPerPart - 1) / part_sizing::usualShardsPerPart;
    std::vector<std::string> groupNames;
    for (std::size_t group = 0; group < groupCount; ++group) {
        groupNames.push_back(shards[group * shards.size() / groupCount].str());
    }
    std::vector<std::string> usedAddresses;
    for (const auto &part : parts) {
        usedAddresses.push_back(part.address);
    }
    for (std::size_t i = 0; i < partCount; ++i) {
        const auto first = positions.size() * i / partCount;
        const auto last = positions.size() * (i + 1) / partCount;
        const auto group = positions[(first + last) / 2] * groupCount / shards.size();
        const auto host = m_selector.choose(zones, groupNames, group, now, usedAddresses, sizing.strongHostsOnly);
        if (!host) {
            continue; // This host calls the backend servers of these shards itself.
        }
        usedAddresses.push_back(host->address);
        if (host->address == m_self) {
            continue;
        }
        const auto begin = positions.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = positions.begin() + static_cast<std::ptrdiff_t>(last);
        parts.push_back({{{begin, end}, host->zone}, host->address});
    }
}

expected<relay_result> relay_client::decodeResult(const http_reply &reply, std::uint64_t token, const std::string &address)
{
    if (reply.status != 200) {
        return makeError(error_code::notReady, "relay search", "refused with status " + std::to_string(reply.status), address);
    }
    auto answer = decode<relay_answer>(reply.body);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->token != token) {
        return makeError(error_code::protocolError, "relay search", "the answer belongs to another search", address);
    }
    if (!isValid(*answer)) {
        return makeError(error_code::protocolError, "relay search", "the answer has an unknown end or lacks a signature", address);
    }
    relay_result gathered;
    gathered.end = static_cast<gather_end>(answer->end);
    for (auto &shard : answer->shards) {
        gathered.shards.push_back({static_cast<attempt_end>(shard.end), std::move(shard.signature), shard.loadPercent / 100.0});
    }
    gathered.records = std::move(answer->records);
    gathered.hedges = answer->hedges;
    gathered.retries = answer->retries;
    return gathered;
}

http_call_handle
relay_client::sendResume(const std::string &address, const relay_resume &message, std::chrono::milliseconds timeLeft, callback done)
{
    auto call =
        makeHostCall(address, relayResumePath, encode(message), std::max(std::chrono::milliseconds(0), timeLeft) + answerTransitTime);
    return m_client.send(std::move(call), [address, token = message.token, done = std::move(done)](http_client::result result) {
        auto gathered = result ? decodeResult(*result, token, address) : expected<relay_result>(tl::unexpected(result.error().failure));
        done(gathered ? std::optional<relay_result>(std::move(*gathered)) : std::nullopt, false);
    });
}

http_call_handle relay_client::send(const std::string &address, const relay_search &message, callback done)
{
    auto call = makeHostCall(
        address, relayPath, encode(message), std::chrono::duration_cast<std::chrono::milliseconds>(message.remaining) + answerTransitTime);
    m_selector.sent(address);
    return m_client.send(std::move(call), [this, address, token = message.token, done = std::move(done)](http_client::result result) {
        const auto now = monotonic_clock::now();
        m_selector.ended(address);
        if (!result) {
            const auto code = result.error().failure.code;
            if (code == error_code::deadlineExceeded) {
                m_selector.silent(address, now);
            } else if (code != error_code::cancelled) {
                m_selector.failed(address, now);
            }
            if (code != error_code::cancelled) {
                m_client.closeIdleConnections(address);
            }
            done(std::nullopt, !result.error().mayHaveBeenSent);
            return;
        }
        auto gathered = decodeResult(*result, token, address);
        if (!gathered) {
            m_selector.failed(address, now);
            done(std::nullopt, isRefusal(result->status));
            return;
        }
        m_selector.answered(address);
        done(std::move(*gathered), false);
    });
}

} // namespace orioledrum
