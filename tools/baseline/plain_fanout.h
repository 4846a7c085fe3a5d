#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio
{
class io_context;
}

namespace orioledrum
{
class http_client;
}

namespace orioledrum::baseline
{

/// The only replica that the fan-out calls for a shard.
struct target {
    std::string shard;
    std::string address; ///< "ip:port"
};

/// Latency and shard count of one finished fan-out.
struct fanout_result {
    std::chrono::microseconds latency{0};
    std::size_t answeredShards = 0;
};

/// Sends one call to one replica of each shard, without limits, hedges or retries.
class plain_fanout : public std::enable_shared_from_this<plain_fanout>
{
public:
    /// @param client Sends the calls; must outlive the fan-out.
    /// @param targets One target for each shard; must outlive the fan-out.
    /// @param parallel Sends all calls at once if true, otherwise each call after the previous one has ended.
    /// @param deadline Time for the whole fan-out; shards that have not answered by then count as missing.
    plain_fanout(http_client &client, const std::vector<target> &targets, bool parallel, std::chrono::milliseconds deadline);

    /// Sends the first call, or all calls of a parallel fan-out.
    /// @param requestIdPrefix Unique to this fan-out; each call appends its target index to form its request id.
    /// @param onDone Called once, when all calls that were sent have ended.
    void start(std::string requestIdPrefix, std::function<void(const fanout_result &)> onDone);

private:
    /// Calls m_targets[index] with the time that remains of the deadline, at least 1 ms.
    void send(std::size_t index);
    /// Sends the next sequential call, or reports the result once no call is in flight.
    void onCallEnded(bool shardAnswered);

    http_client &m_client;
    const std::vector<target> &m_targets;
    bool m_parallel;
    std::chrono::milliseconds m_deadline;
    std::string m_requestIdPrefix;
    std::function<void(const fanout_result &)> m_onDone;
    time_point m_startTime;
    std::size_t m_nextTarget = 0;
    std::size_t m_endedCalls = 0;
    fanout_result m_result;
};

} // namespace orioledrum::baseline
