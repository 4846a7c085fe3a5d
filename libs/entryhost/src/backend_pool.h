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

/// Sends calls to the backend servers whose groups belong to one worker, and keeps their limiters, queues and probes. A call is sent
/// only under a lease, or under fixed shares while there is no quorum. Used on the worker's thread only.
class backend_pool
{
public:
    /// @param shared State of the process; must outlive the pool.
    /// @param context I/O context of the worker.
    /// @param client Sends the calls.
    backend_pool(host_shared &shared, asio::io_context &context, http_client &client);
    ~backend_pool();
    backend_pool(const backend_pool &) = delete;
    backend_pool &operator=(const backend_pool &) = delete;

    /// Queues a call and sends it as soon as the limiter of its backend server allows it.
    /// @return Call number for abandon().
    std::uint64_t submit(backend_call call);

    /// Gives up a call; `done` is no longer called. A call that was sent is cancelled at the backend server and keeps its slot until
    /// it is known to have ended there.
    void abandon(std::uint64_t call);

    /// Starts serving a group whose lease was gained: idle limiters are replaced by cold ones, and all its backend servers are probed.
    void startGroup(const group_id &group);
    /// Stops serving a group whose lease was lost or is being handed over: queued calls are refused with notOwner.
    /// @param idle Called once no slot of the group is occupied; may be empty.
    void stopGroup(const group_id &group, std::function<void()> idle);

    /// Passes the latest report of a backend server to `done`, which may be called from inside this function. Without a report, the
    /// backend server is probed first. `done` gets null when the backend server is unknown or the probe fails.
    void fetchReport(const backend_id &backend, std::function<void(const backend_report *)> done);

    /// State of one backend server for the administration API.
    struct entry_status {
        backend_id backend;
        group_id group;
        backend_state state = backend_state::cold;
        std::uint32_t limit = 0; ///< Calls that may occupy slots now.
        std::uint32_t occupied = 0; ///< Occupied slots.
        std::size_t queued = 0; ///< Calls that wait for a slot.
        std::uint32_t connections = 0; ///< Open connections, those being opened included.
    };
    /// @return The state of all backend servers, ordered by id.
    [[nodiscard]] std::vector<entry_status> status() const;

    /// @return Number of calls passed to the HTTP client and not ended, abandoned ones included.
    [[nodiscard]] std::size_t callsInFlight() const;

private:
    struct backend_entry;
    struct pending_call;
    struct idle_waiter;
    using entry_ptr = std::shared_ptr<backend_entry>;

    /// @return The entry of a backend server, with the settings of the configuration unless calls still use the old ones; null when the
    /// backend server is unknown or its settings are invalid.
    entry_ptr findOrCreateEntry(const backend_id &backend, const routing_state &routing, time_point now);
    /// Copies the end of the lease, or the fixed share without a quorum, to the limiter.
    /// @return True when calls may be sent.
    bool refreshLease(backend_entry &target, time_point now);
    /// Executes the pending actions of the limiter, records a change of state and arms the timer.
    void executeActions(const entry_ptr &target);
    void sendCall(const entry_ptr &target, std::uint64_t callNumber, const limiter_action &action);
    /// Ends a call that was not sent.
    void refuseCall(std::uint64_t callNumber, error_code code);
    /// Reports the end of a sent call to the limiter and delivers its result.
    /// @param ok True when there is a reply; otherwise `code` and `mayHaveBeenSent` describe the failure.
    void handleCallEnd(std::uint64_t callNumber, bool ok, http_reply reply, error_code code, bool mayHaveBeenSent);
    /// Removes a call and passes the result to `done` unless the call was abandoned.
    void finishCall(std::uint64_t callNumber, backend_result result);
    /// Requests the cancellation of a sent call, except for orders and when too little time is left.
    void cancelAtBackend(const pending_call &call);
    void armTimer(const entry_ptr &target);
    /// Requests /load, and passes the report to the limiter and to the callbacks of fetchReport().
    void probe(const entry_ptr &target);
    /// Every probeInterval, probes the owned backend servers that are due.
    void scheduleProbes();
    /// Calls the callbacks of stopGroup() whose groups have no occupied slot.
    void notifyIdleWaiters();
    /// @param callEnd Deadline of the call.
    /// @return True when configuration and lease still allow the call, and its own check passes.
    bool checkBeforeWrite(backend_entry &target, const backend_call &call, time_point callEnd);

    host_shared &m_shared;
    asio::io_context &m_context;
    http_client &m_client;
    std::unordered_map<backend_id, entry_ptr> m_entries;
    std::unordered_map<std::uint64_t, std::unique_ptr<pending_call>> m_calls;
    std::vector<idle_waiter> m_idleWaiters;
    std::uint64_t m_nextCallNumber = 1;
    struct timers;
    std::unique_ptr<timers> m_timers;
    std::shared_ptr<bool> m_alive;
};

} // namespace orioledrum
