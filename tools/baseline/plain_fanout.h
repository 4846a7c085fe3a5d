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

/// The replica that is asked for a shard.
struct target {
    std::string shard;
    std::string address; ///< "ip:port"
};

/// Result of one fan-out.
struct fanout_result {
    std::chrono::microseconds latency{0};
    std::size_t answered = 0;
};

/// Asks one replica of each shard, without limits, hedges or retries.
class plain_fanout : public std::enable_shared_from_this<plain_fanout>
{
public:
    /// @param client Sends the calls; must outlive the fan-out.
    /// @param targets One for each shard; must outlive the fan-out.
    /// @param parallel All calls at once, otherwise one after the other.
    /// @param deadline Time for the whole fan-out; what has not been answered by then is missing.
    plain_fanout(http_client &client, const std::vector<target> &targets, bool parallel, std::chrono::milliseconds deadline);

    /// Starts the fan-out.
    /// @param request Prefix of the request ids; unique.
    /// @param done Called once, when every call has ended.
    void start(std::string request, std::function<void(const fanout_result &)> done);

private:
    void send(std::size_t index);
    void ended(bool answered);

    http_client &m_client;
    const std::vector<target> &m_targets;
    bool m_parallel;
    std::chrono::milliseconds m_deadline;
    std::string m_request;
    std::function<void(const fanout_result &)> m_done;
    time_point m_started;
    std::size_t m_next = 0;
    std::size_t m_ended = 0;
    fanout_result m_result;
};

} // namespace orioledrum::baseline
