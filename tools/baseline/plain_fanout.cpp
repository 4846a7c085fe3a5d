#include "plain_fanout.h"

#include <transport/http_client.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace orioledrum::baseline
{

plain_fanout::plain_fanout(http_client &client, const std::vector<target> &targets, bool parallel, std::chrono::milliseconds deadline)
    : m_client(client)
    , m_targets(targets)
    , m_parallel(parallel)
    , m_deadline(deadline)
{
}

void plain_fanout::start(std::string requestIdPrefix, std::function<void(const fanout_result &)> onDone)
{
    m_requestIdPrefix = std::move(requestIdPrefix);
    m_onDone = std::move(onDone);
    m_startTime = monotonic_clock::now();
    const std::size_t initialCalls = m_parallel ? m_targets.size() : 1;
    while (m_nextTarget < initialCalls) {
        send(m_nextTarget++);
    }
}

void plain_fanout::send(std::size_t index)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(monotonic_clock::now() - m_startTime);
    const auto remaining = std::max(m_deadline - elapsed, std::chrono::milliseconds(1));
    http_call call;
    call.method = "POST";
    call.url = "http://" + m_targets[index].address + "/search";
    call.headers = {{"X-Request-Id", m_requestIdPrefix + "." + std::to_string(index)},
                    {"X-Deadline-Ms", std::to_string(remaining.count())}};
    call.body =
        nlohmann::json{
            {"service", "archive"}, {"shard", m_targets[index].shard}, {"snapshot", 1}, {"layout", 1}, {"query", "bridge"}, {"limit", 10}}
            .dump();
    call.timeout = remaining;
    m_client.send(std::move(call), [self = shared_from_this()](const http_client::result &result) {
        const bool usable = result && result->status == 200;
        // Answers are parsed because the query tier parses them too; otherwise the CPU times would not be comparable.
        self->onCallEnded(usable && !nlohmann::json::parse(result->body, nullptr, false).is_discarded());
    });
}

void plain_fanout::onCallEnded(bool shardAnswered)
{
    m_result.answeredShards += shardAnswered ? 1 : 0;
    ++m_endedCalls;
    const bool deadlinePassed = monotonic_clock::now() - m_startTime >= m_deadline;
    if (!m_parallel && m_nextTarget < m_targets.size() && !deadlinePassed) {
        send(m_nextTarget++);
        return;
    }
    if (m_endedCalls == m_nextTarget) {
        m_result.latency = std::chrono::duration_cast<std::chrono::microseconds>(monotonic_clock::now() - m_startTime);
        m_onDone(m_result);
    }
}

} // namespace orioledrum::baseline
