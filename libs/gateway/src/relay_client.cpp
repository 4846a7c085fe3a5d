#include <relay_client.h>

#include <wire/codec.h>

#include <algorithm>
#include <map>
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

} // namespace

relay_client::relay_client(http_client &client, replica_registry &registry)
    : m_client(client)
    , m_registry(registry)
    , m_selector(random_source::fromSystem())
{
}

relay_client::assigned_parts relay_client::assignParts(const std::vector<service_id> &shards, time_point targetTime, time_point now)
{
    assigned_parts parts;
    if (targetTime - now < minTimeLeft) {
        return parts;
    }
    std::vector<std::size_t> localZoneShards;
    std::vector<std::size_t> otherZoneShards;
    for (std::size_t position = 0; position < shards.size(); ++position) {
        (m_registry.reachableIn(shards[position], m_registry.localZone(), now) ? localZoneShards : otherZoneShards).push_back(position);
    }
    assignShards(parts, otherZoneShards, zonesCovering(shards, otherZoneShards, now), now);
    if (localZoneShards.size() > maxShardsPerPart) {
        const auto keptCount = localZoneShards.size() / ((localZoneShards.size() + maxShardsPerPart - 1) / maxShardsPerPart);
        assignShards(parts,
                     {localZoneShards.begin() + static_cast<std::ptrdiff_t>(keptCount), localZoneShards.end()},
                     {m_registry.localZone()},
                     now);
    }
    return parts;
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
                                const std::vector<std::size_t> &positions,
                                const std::vector<zone_id> &zones,
                                time_point now)
{
    if (positions.size() < minShards) {
        return;
    }
    const auto partCount = (positions.size() + maxShardsPerPart - 1) / maxShardsPerPart;
    std::vector<std::string> usedAddresses;
    for (const auto &part : parts) {
        usedAddresses.push_back(part.address);
    }
    for (std::size_t i = 0; i < partCount; ++i) {
        const auto host = m_selector.choose(zones, now, usedAddresses);
        if (!host) {
            return; // This host calls the backend servers of the remaining shards itself.
        }
        usedAddresses.push_back(host->address);
        const auto begin = positions.begin() + static_cast<std::ptrdiff_t>(positions.size() * i / partCount);
        const auto end = positions.begin() + static_cast<std::ptrdiff_t>(positions.size() * (i + 1) / partCount);
        parts.push_back({{{begin, end}, host->zone}, host->address});
    }
}

http_call_handle relay_client::send(const std::string &address, const relay_search &message, callback done)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + address + relayPath;
    call.headers = {{"Content-Type", "application/msgpack"}};
    call.body = encode(message);
    call.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(message.remaining) + answerTransitTime;
    return m_client.send(std::move(call), [this, address, done = std::move(done)](http_client::result result) {
        const auto now = monotonic_clock::now();
        if (!result) {
            if (result.error().failure.code != error_code::cancelled) {
                m_selector.failed(address, now);
                m_client.closeIdleConnections(address);
            }
            done(std::nullopt, !result.error().mayHaveBeenSent);
            return;
        }
        auto answer = result->status == 200 ? decode<relay_answer>(result->body)
                                            : expected<relay_answer>(makeError(error_code::notReady, "relay search", "refused", address));
        if (!answer || !isValid(*answer)) {
            m_selector.failed(address, now);
            done(std::nullopt, false);
            return;
        }
        m_selector.answered(address);
        relay_result gathered;
        gathered.end = static_cast<gather_end>(answer->end);
        for (auto &shard : answer->shards) {
            gathered.shards.push_back({static_cast<attempt_end>(shard.end), std::move(shard.signature), shard.loadPercent / 100.0});
        }
        gathered.records = std::move(answer->records);
        gathered.hedges = answer->hedges;
        gathered.retries = answer->retries;
        done(std::move(gathered), false);
    });
}

} // namespace orioledrum
