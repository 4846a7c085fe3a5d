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
/// only under a lease or, while there is no quorum, under fixed shares: several hosts then call a backend server, each with a fixed
/// part of its limits. Used on the worker's thread only.
class backend_pool
{
public:
    /// All arguments must outlive the pool.
    /// @param context I/O context of the worker.
    backend_pool(host_shared &shared, asio::io_context &context, http_client &client);
    ~backend_pool();
    backend_pool(const backend_pool &) = delete;
    backend_pool &operator=(const backend_pool &) = delete;

    /// Queues a call and sends it as soon as the limiter of its backend server allows it.
    /// @return Call number for abandon().
    std::uint64_t submit(backend_call call);

    /// Gives up a call; `done` is no longer called. If the call was sent, cancelAtBackend() is tried, and the call keeps its slot until
    /// it is known or assumed to have ended at the backend server.
    void abandon(std::uint64_t call);

    /// Starts serving a group whose lease was gained: idle limiters are replaced by cold ones, and all its backend servers are probed.
    void startGroup(const group_id &group);
    /// Stops serving a group whose lease was lost or is being handed over: queued calls are refused with notOwner.
    /// @param onIdle Called once no slot of the group is occupied; may be empty.
    void stopGroup(const group_id &group, std::function<void()> onIdle);

    /// Passes the latest report of a backend server to `done`, which may be called from inside this function. Without a report, the
    /// backend server is probed first. `done` gets null when the backend server is unknown, its settings are invalid or
    /// the probe fails.
    void fetchReport(const backend_id &backend, std::function<void(const backend_report *)> done);

    /// State of one backend server for the administration API.
    struct backend_status {
        backend_id backend;
        group_id group;
        backend_state state = backend_state::cold;
        std::uint32_t limit = 0; ///< Number of calls that may currently occupy slots at the same time.
        std::uint32_t occupied = 0; ///< Occupied slots.
        std::size_t queued = 0; ///< Calls that wait for a slot.
        std::uint32_t connections = 0; ///< Number of open connections, including those being opened.
    };
    /// @return The state of the backend servers for which this pool has received a call or sent a probe, ordered by id.
    [[nodiscard]] std::vector<backend_status> status() const;

    /// @return Number of calls passed to the HTTP client that have not ended, including abandoned ones.
    [[nodiscard]] std::size_t callsInFlight() const;

private:
    struct backend_entry;
    struct pending_call;
    struct idle_waiter;
    using entry_ptr = std::shared_ptr<backend_entry>;

    /// @return The entry of a backend server; null when the backend server is unknown or its settings are invalid. An entry whose
    /// settings or address have changed is replaced, but only once no call is queued or occupies a slot.
    entry_ptr findOrCreateEntry(const backend_id &backend, const routing_state &routing, time_point now);
    /// Passes the end of the lease to the limiter; without a lease, the fixed share if fixed shares are in use. With neither, the
    /// limiter is told that the lease has ended. Renews no lease.
    /// @return True when calls may be sent.
    bool applyLeaseToLimiter(backend_entry &target, time_point now);
    /// Executes the pending actions of the limiter, records a change of backend_state in the timeline and arms the timer.
    void executeActions(const entry_ptr &target);
    void sendCall(const entry_ptr &target, std::uint64_t callNumber, const limiter_action &action);
    /// Ends a call that was not sent.
    void refuseCall(std::uint64_t callNumber, error_code code);
    /// Reports the end of a call that was passed to the HTTP client to the limiter, and delivers the result.
    /// @param ok True when there is a reply; otherwise `code` and `mayHaveBeenSent` describe the failure.
    void handleCallEnd(std::uint64_t callNumber, bool ok, http_reply reply, error_code code, bool mayHaveBeenSent);
    /// Removes a call and passes the result to `done` unless the call was abandoned.
    void finishCall(std::uint64_t callNumber, backend_result result);
    /// Sends /cancel for a sent call, except for an order and when less than minTimeToCancel is left.
    void cancelAtBackend(const pending_call &call);
    void armTimer(const entry_ptr &target);
    /// Requests /load, and passes the report to the limiter and to the callbacks of fetchReport().
    void probe(const entry_ptr &target);
    /// Every probeInterval, probes the backend servers that are due and to which this host may send calls by a lease or fixed share.
    void scheduleProbes();
    /// Calls and removes the callbacks of stopGroup() whose groups have no occupied slot.
    void notifyIdleWaiters();
    /// Called immediately before each write of a call. Calls beforeWrite last, because beforeWrite may claim the right to write.
    /// @param callEnd Deadline of the call.
    /// @return True when the configuration is not stale, the lease or fixed share allows calls until `callEnd`, and
    /// backend_call::beforeWrite returns true.
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
    std::shared_ptr<bool> m_alive; ///< Set to false by the destructor; callbacks that hold a copy then do nothing.
};

} // namespace orioledrum
