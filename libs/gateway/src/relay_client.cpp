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

} // namespace

relay_client::relay_client(http_client &client, replica_board &board)
    : m_client(client)
    , m_board(board)
    , m_selector(random_source::fromSystem())
{
}

std::optional<relay_client::plan> relay_client::choose(const std::vector<service_id> &shards, time_point target, time_point now)
{
    if (target - now < leastTime) {
        return std::nullopt;
    }
    plan chosen;
    std::map<zone_id, std::size_t> shardsInZone;
    for (std::size_t position = 0; position < shards.size(); ++position) {
        const auto &shard = shards[position];
        if (m_board.reachableIn(shard, m_board.ownZone(), now)) {
            continue;
        }
        chosen.part.shards.push_back(position);
        for (const auto &zone : m_board.zones(shard)) {
            shardsInZone[zone] += m_board.reachableIn(shard, zone, now) ? 1 : 0;
        }
    }
    if (chosen.part.shards.size() < leastShards) {
        return std::nullopt;
    }
    std::vector<zone_id> zones;
    for (const auto &[zone, count] : shardsInZone) {
        if (static_cast<double>(count) >= leastShare * static_cast<double>(chosen.part.shards.size())) {
            zones.push_back(zone);
        }
    }
    const auto host = m_selector.choose(zones, now);
    if (!host) {
        return std::nullopt;
    }
    chosen.part.zone = host->zone;
    chosen.address = host->address;
    return chosen;
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
        if (!answer) {
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
