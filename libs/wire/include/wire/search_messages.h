#pragma once

#include <base/error_code.h>
#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// State of a backend server, either reported by the backend server or derived by a host from reports, failures and probes.
enum class backend_state : std::uint8_t { warm, cold, draining };

/// @return "warm", "cold" or "draining".
std::string_view toString(backend_state state);

/// State report of a backend server, sent with its answers.
struct backend_report {
    backend_state state = backend_state::cold;
    std::uint32_t slotsInUse = 0; ///< Calls in progress, of all senders.
    std::uint32_t slots = 0; ///< Maximum number of concurrent calls.
    std::string instance; ///< Changes whenever the backend server process restarts.
    std::vector<snapshot_ref> heldSnapshots; ///< Snapshots that the backend server can search.
};

/// One search result.
struct hit {
    std::string id;
    double score = 0;
    std::string text;
};

/// One call that the host running a search asks the owner of a backend server to make.
struct shard_call {
    std::uint64_t attempt = 0; ///< Unique within the request.
    backend_id backend;
    shard_id shard;
};

/// The calls of one search to the backend servers of one owner.
struct search_request {
    request_id request;
    service_id service;
    customer_id customer;
    snapshot_ref snapshot;
    std::chrono::microseconds remaining{0}; ///< Time left until the deadline.
    std::string query;
    std::uint32_t limit = 0; ///< Maximum number of hits for each call.
    std::vector<shard_call> calls;
};

/// How a shard_call ended.
enum class shard_status : std::uint8_t {
    answered, ///< The whole shard was searched.
    partial, ///< Only a part of the shard was searched.
    refused, ///< Nothing was run; `code` has the reason.
    failed, ///< The call may have run, but there is no usable answer.
};

/// Result of one shard_call, streamed by the owner.
struct shard_answer {
    std::uint64_t attempt = 0;
    backend_id backend;
    shard_id shard;
    shard_status status = shard_status::failed;
    error_code code = error_code::internal; ///< Reason of a status other than answered.
    snapshot_ref snapshot; ///< The snapshot that was searched.
    std::vector<hit> hits;
    backend_report report;
    bool hasReport = false; ///< False when the backend server sent no report.
    entry_host_id holder; ///< With notOwner: the current lease holder, if known.
    std::chrono::microseconds queueTime{0}; ///< From the arrival at the owner until the call was sent or refused.
    /// From the end of queueTime to the answer or failure, including the time to open a connection; 0 if refused in the queue.
    std::chrono::microseconds serviceTime{0};
};

/// One message of the answer stream of a search_request.
struct shard_answers {
    std::vector<shard_answer> answers;
};

/// Cancels some attempts of a search_request at an owner.
struct cancel_request {
    request_id request;
    std::vector<std::uint64_t> attempts;
};

} // namespace orioledrum
