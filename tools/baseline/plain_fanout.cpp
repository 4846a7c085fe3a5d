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

void plain_fanout::start(std::string request, std::function<void(const fanout_result &)> done)
{
    m_request = std::move(request);
    m_done = std::move(done);
    m_started = monotonic_clock::now();
    const std::size_t first = m_parallel ? m_targets.size() : 1;
    while (m_next < first) {
        send(m_next++);
    }
}

void plain_fanout::send(std::size_t index)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(monotonic_clock::now() - m_started);
    const auto remaining = std::max(m_deadline - elapsed, std::chrono::milliseconds(1));
    http_call call;
    call.method = "POST";
    call.url = "http://" + m_targets[index].address + "/search";
    call.headers = {{"X-Request-Id", m_request + "." + std::to_string(index)}, {"X-Deadline-Ms", std::to_string(remaining.count())}};
    call.body =
        nlohmann::json{
            {"service", "archive"}, {"shard", m_targets[index].shard}, {"snapshot", 1}, {"layout", 1}, {"query", "bridge"}, {"limit", 10}}
            .dump();
    call.timeout = remaining;
    m_client.send(std::move(call), [self = shared_from_this()](const http_client::result &result) {
        const bool usable = result && result->status == 200;
        // The answers are parsed as the query tier parses them, so that the processor times compare.
        self->ended(usable && !nlohmann::json::parse(result->body, nullptr, false).is_discarded());
    });
}

void plain_fanout::ended(bool answered)
{
    m_result.answered += answered ? 1 : 0;
    ++m_ended;
    const bool late = monotonic_clock::now() - m_started >= m_deadline;
    if (!m_parallel && m_next < m_targets.size() && !late) {
        send(m_next++);
        return;
    }
    if (m_ended == m_next) {
        m_result.latency = std::chrono::duration_cast<std::chrono::microseconds>(monotonic_clock::now() - m_started);
        m_done(m_result);
    }
}

} // namespace orioledrum::baseline
