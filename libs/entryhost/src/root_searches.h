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

/// A checked query on its way to a worker.
struct root_query {
    request_id request;
    service_id service;
    customer_id customer;
    std::string query;
    std::uint32_t limit = 10;
    search_policy policy;
    time_point deadline;
    std::function<void(const search_result &)> done; ///< Called exactly once, on the worker's thread.
};

/// The queries that one worker gathers. Belongs to the worker's thread.
class root_searches
{
public:
    /// @param index Position of the worker in host_shared::workers.
    root_searches(host_shared &shared, std::size_t index, asio::io_context &context, peer_client &peers);
    ~root_searches();
    root_searches(const root_searches &) = delete;
    root_searches &operator=(const root_searches &) = delete;

    /// Starts a query.
    void start(root_query query);

    /// @return Queries that have not been answered.
    [[nodiscard]] std::size_t open() const { return m_runs.size(); }

private:
    struct run_state;
    struct outgoing_batch;
    struct attempt_info;
    struct sent_attempt;
    class local_sink;
    using run_ptr = std::shared_ptr<run_state>;
    struct owner_hint {
        entry_host_id host;
        time_point until;
    };

    service_stats &statsOf(const service_id &service, time_point now);
    void executeActions(const run_ptr &run);
    void addAttempt(const run_ptr &run, const send_attempt &action, std::unordered_map<std::string, outgoing_batch> &batches);
    void addCall(const run_ptr &run,
                 std::uint64_t attempt,
                 const entry_host_id &owner,
                 std::unordered_map<std::string, outgoing_batch> &batches);
    void sendBatch(const run_ptr &run, outgoing_batch batch);
    void sendToPeer(const run_ptr &run, const outgoing_batch &batch, const std::string &address);
    void runHere(const run_ptr &run, const outgoing_batch &batch);
    void cancelAttempts(const run_ptr &run, const std::unordered_map<std::string, std::vector<std::uint64_t>> &byOwner);
    void receive(const run_ptr &run, shard_answer answer);
    void streamEnded(const run_ptr &run, const std::vector<sent_attempt> &attempts, error_code code);
    bool followHint(const run_ptr &run, attempt_info &attempt, std::uint64_t number, const entry_host_id &holder);
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
    std::unordered_map<group_id, owner_hint> m_hints;
    std::shared_ptr<bool> m_alive;
};

} // namespace orioledrum
