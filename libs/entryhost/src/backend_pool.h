#pragma once

#include "backend_call.h"

#include <base/monotonic_clock.h>
#include <limits/limiter_action.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class http_client;
struct backend_server_config;
struct host_shared;
struct routing_state;

/// The backend servers of the groups that one worker owns: their limits, queues, connections and probes.
/// Belongs to the worker's thread.
class backend_pool
{
public:
    /// @param shared State of the process; must outlive the pool.
    /// @param context The worker's context.
    /// @param client Sends the calls.
    backend_pool(host_shared &shared, asio::io_context &context, http_client &client);
    ~backend_pool();
    backend_pool(const backend_pool &) = delete;
    backend_pool &operator=(const backend_pool &) = delete;

    /// Sends a call as soon as the backend server's limit allows it.
    /// @return A number for abandon().
    std::uint64_t submit(backend_call call);

    /// The answer is no longer wanted; `done` is not called any more. A call that was sent keeps its slot until the
    /// backend server is known to be done, and is cancelled there.
    void abandon(std::uint64_t call);

    /// The lease of a group was gained: its backend servers start cold and are probed.
    void groupGained(const group_id &group);
    /// The lease of a group was lost or is being handed over: waiting calls are refused.
    /// @param idle Called once no call to the group is in flight; may be empty.
    void groupLost(const group_id &group, std::function<void()> idle);

    /// Calls `done` with the latest report of a backend server, after a probe when there is none yet.
    void report(const backend_id &backend, std::function<void(const backend_report *)> done);

    /// What the status page shows for one backend server.
    struct entry_status {
        backend_id backend;
        group_id group;
        backend_state state = backend_state::cold;
        std::uint32_t limit = 0;
        std::uint32_t occupied = 0;
        std::size_t queued = 0;
        std::uint32_t connections = 0;
    };
    [[nodiscard]] std::vector<entry_status> status() const;

    /// @return Calls in flight, abandoned ones included.
    [[nodiscard]] std::size_t inFlight() const;

private:
    struct entry;
    struct pending_call;
    struct idle_waiter;
    using entry_ptr = std::shared_ptr<entry>;

    entry_ptr prepare(const backend_id &backend, const routing_state &routing, time_point now);
    bool refreshLease(entry &target, time_point now);
    void executeActions(const entry_ptr &target);
    void send(const entry_ptr &target, std::uint64_t number, const limiter_action &action);
    void dropped(std::uint64_t number, error_code code);
    void completed(std::uint64_t number, bool ok, http_reply reply, error_code code, bool mayHaveBeenSent);
    void finish(std::uint64_t number, backend_result result);
    void cancelAtBackend(const pending_call &call);
    void armTimer(const entry_ptr &target);
    void probe(const entry_ptr &target);
    void probeAll();
    void checkIdle();
    bool checkBeforeWrite(entry &target, const backend_call &call, time_point callEnd);

    host_shared &m_shared;
    asio::io_context &m_context;
    http_client &m_client;
    std::unordered_map<backend_id, entry_ptr> m_entries;
    std::unordered_map<std::uint64_t, std::unique_ptr<pending_call>> m_calls;
    std::vector<idle_waiter> m_idleWaiters;
    std::uint64_t m_nextCall = 1;
    struct timers;
    std::unique_ptr<timers> m_timers;
    std::shared_ptr<bool> m_alive;
};

} // namespace orioledrum
