#include <relay_client.h>

#include <wire/codec.h>

#include <algorithm>
#include <map>
#include <utility>

namespace orioledrum
{

namespace
{

/// Time after which the connection of an unanswered relayed search is closed: the other host answers by the target.
constexpr std::chrono::milliseconds answerWay{40};

/// @return True when the values are ones that this host knows; another version may send others.
bool isValid(const relay_answer &answer)
{
    return answer.end <= static_cast<std::uint8_t>(gather_end::late)
        && std::all_of(answer.shards.begin(), answer.shards.end(), [](const relay_shard &shard) {
               const bool served = shard.end == static_cast<std::uint8_t>(attempt_end::served);
               return shard.end <= static_cast<std::uint8_t>(attempt_end::abandoned) && (!served || !shard.proof.empty());
           });
}

} // namespace

relay_client::relay_client(http_client &client, replica_board &board)
    : m_client(client)
    , m_board(board)
    , m_selector(random_source::fromSystem())
{
}

relay_client::plan relay_client::choose(const std::vector<service_id> &shards, time_point target, time_point now)
{
    plan chosen;
    if (target - now < leastTime) {
        return chosen;
    }
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t position = 0; position < shards.size(); ++position) {
        (m_board.reachableIn(shards[position], m_board.ownZone(), now) ? near : far).push_back(position);
    }
    addParts(chosen, far, zonesOf(shards, far, now), now);
    if (near.size() > mostShards) {
        const auto own = near.size() / ((near.size() + mostShards - 1) / mostShards);
        addParts(chosen, {near.begin() + static_cast<std::ptrdiff_t>(own), near.end()}, {m_board.ownZone()}, now);
    }
    return chosen;
}

std::vector<zone_id>
relay_client::zonesOf(const std::vector<service_id> &shards, const std::vector<std::size_t> &positions, time_point now) const
{
    std::map<zone_id, std::size_t> shardsInZone;
    for (const auto position : positions) {
        for (const auto &zone : m_board.zones(shards[position])) {
            shardsInZone[zone] += m_board.reachableIn(shards[position], zone, now) ? 1 : 0;
        }
    }
    std::vector<zone_id> zones;
    for (const auto &[zone, count] : shardsInZone) {
        if (static_cast<double>(count) >= leastShare * static_cast<double>(positions.size())) {
            zones.push_back(zone);
        }
    }
    return zones;
}

void relay_client::addParts(plan &chosen, const std::vector<std::size_t> &positions, const std::vector<zone_id> &zones, time_point now)
{
    if (positions.size() < leastShards) {
        return;
    }
    const auto parts = (positions.size() + mostShards - 1) / mostShards;
    std::vector<std::string> taken;
    for (const auto &part : chosen) {
        taken.push_back(part.address);
    }
    for (std::size_t i = 0; i < parts; ++i) {
        const auto host = m_selector.choose(zones, now, taken);
        if (!host) {
            return; // The rest is asked directly.
        }
        taken.push_back(host->address);
        const auto begin = positions.begin() + static_cast<std::ptrdiff_t>(positions.size() * i / parts);
        const auto end = positions.begin() + static_cast<std::ptrdiff_t>(positions.size() * (i + 1) / parts);
        chosen.push_back({{{begin, end}, host->zone}, host->address});
    }
}

http_call_handle relay_client::send(const std::string &address, const relay_search &message, callback done)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + address + relayPath;
    call.headers = {{"Content-Type", "application/msgpack"}};
    call.body = encode(message);
    call.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(message.remaining) + answerWay;
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
            gathered.shards.push_back({static_cast<attempt_end>(shard.end), std::move(shard.proof), shard.loadPercent / 100.0});
        }
        gathered.records = std::move(answer->records);
        gathered.hedges = answer->hedges;
        gathered.retries = answer->retries;
        done(std::move(gathered), false);
    });
}

} // namespace orioledrum
