#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <base/random_source.h>
#include <search/search_action.h>
#include <search/search_policy.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class peer_client;
class service_stats;
struct host_shared;

/// A validated search request of a caller, to be run by a worker.
struct root_query {
    request_id request;
    service_id service;
    customer_id customer;
    std::string query;
    std::uint32_t limit = 10; ///< Maximum number of results.
    search_policy policy;
    time_point deadline;
    std::function<void(const search_result &)> done; ///< Called exactly once, on the worker's thread.
};

/// Runs the searches that callers sent to this host: fans each search out to the entry hosts that own the groups of the replicas, and
/// gathers their answers. This host is the root of these searches. Used on the worker's thread only.
class root_searches
{
public:
    /// @param index Position of the worker in host_shared::workers.
    root_searches(host_shared &shared, std::size_t index, asio::io_context &context, peer_client &peers);
    ~root_searches();
    root_searches(const root_searches &) = delete;
    root_searches &operator=(const root_searches &) = delete;

    /// Starts a search. Its service must be in the published topologies.
    void start(root_query query);

    /// @return Number of searches that have not been answered.
    [[nodiscard]] std::size_t openSearches() const { return m_runs.size(); }

private:
    struct run_state;
    struct outgoing_batch;
    struct attempt_info;
    struct streamed_attempt;
    class local_sink;
    using run_ptr = std::shared_ptr<run_state>;
    /// Owner of a group as named by a host that refused a call with notOwner.
    struct owner_hint {
        entry_host_id host;
        time_point validUntil;
    };

    /// @return Statistics of a service, created on first use and updated to the published topology and hedge budget.
    service_stats &statsFor(const service_id &service, time_point now);
    /// Executes the pending actions of the search_run. The calls to the same owner at the same snapshot go in one message.
    void executeActions(const run_ptr &run);
    /// Registers an attempt and, if the owner of its group is known, adds the call to the batch of the owner.
    void addAttempt(const run_ptr &run, const send_attempt &action, std::unordered_map<std::string, outgoing_batch> &batches);
    void addToBatch(const run_ptr &run,
                    std::uint64_t attempt,
                    const entry_host_id &owner,
                    std::unordered_map<std::string, outgoing_batch> &batches);
    void sendBatch(const run_ptr &run, outgoing_batch batch);
    void sendToPeer(const run_ptr &run, const outgoing_batch &batch, const std::string &address);
    void runLocally(const run_ptr &run, const outgoing_batch &batch);
    /// Tells the owners to abandon attempts; the result is not awaited.
    void cancelAttempts(const run_ptr &run, const std::unordered_map<std::string, std::vector<std::uint64_t>> &byOwner);
    void handleAnswer(const run_ptr &run, shard_answer answer);
    /// Reports the attempts of an ended stream as failed, except those that are no longer open or were sent again through another stream.
    void handleStreamEnd(const run_ptr &run, const std::vector<streamed_attempt> &attempts, error_code code);
    /// Sends an attempt again, to the owner that the refusing host named, and keeps the hint for later calls.
    /// @return False when the deadline has passed; nothing is sent or kept then.
    bool resendToNamedOwner(const run_ptr &run, attempt_info &attempt, std::uint64_t number, const entry_host_id &owner);
    /// @return Owner of the group according to a valid hint, otherwise according to the published routes; empty when unknown.
    [[nodiscard]] entry_host_id ownerOf(const group_id &group, time_point now);
    void armTimer(const run_ptr &run);
    void finish(const run_ptr &run, const search_result &result);

    host_shared &m_shared;
    std::size_t m_index;
    asio::io_context &m_context;
    peer_client &m_peers;
    random_source m_random;
    std::unordered_map<service_id, std::unique_ptr<service_stats>> m_stats;
    std::unordered_map<std::string, run_ptr> m_runs;
    std::unordered_map<group_id, owner_hint> m_ownerHints;
    std::shared_ptr<bool> m_alive; ///< Set to false by the destructor; callbacks that hold a copy then do nothing.
};

} // namespace orioledrum
