#pragma once

#include <base/error_code.h>
#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// State that a backend server reports or that evidence gives it.
enum class backend_state : std::uint8_t { warm, cold, draining };

/// @return "warm", "cold" or "draining".
std::string_view toString(backend_state state);

/// What a backend server said about itself in its latest answer.
struct backend_report {
    backend_state state = backend_state::cold;
    std::uint32_t slotsInUse = 0;
    std::uint32_t slots = 0;
    std::string instance; ///< Changes whenever the backend server process restarts.
    std::vector<snapshot_ref> held; ///< Snapshots that it can answer from.
};

/// One result of a search.
struct hit {
    std::string id;
    double score = 0;
    std::string text;
};

/// One call that the root asks an owner to make.
struct shard_call {
    std::uint64_t attempt = 0; ///< Unique within the request.
    backend_id backend;
    shard_id shard;
};

/// The calls of one query to the backend servers of one owner.
struct search_request {
    request_id request;
    service_id service;
    customer_id customer;
    snapshot_ref snapshot;
    std::chrono::microseconds remaining{0}; ///< Time left until the answer is useless.
    std::string query;
    std::uint32_t limit = 0;
    std::vector<shard_call> calls;
};

/// Result of one shard_call.
enum class shard_status : std::uint8_t {
    answered, ///< The whole shard was searched.
    partial, ///< The backend server searched only a part of the shard.
    refused, ///< Nothing was run; `code` says why.
    failed, ///< It may have run; there is no usable answer.
};

/// Streamed by the owner for each shard_call.
struct shard_answer {
    std::uint64_t attempt = 0;
    backend_id backend;
    shard_id shard;
    shard_status status = shard_status::failed;
    error_code code = error_code::internal; ///< Meaningful unless status is answered.
    snapshot_ref snapshot; ///< The snapshot that was searched.
    std::vector<hit> hits;
    backend_report report;
    bool hasReport = false; ///< False when the backend server said nothing about itself.
    entry_host_id holder; ///< With notOwner: who holds the lease, if known.
    std::chrono::microseconds queueTime{0}; ///< Wait at the owner.
    std::chrono::microseconds serviceTime{0}; ///< From the write to the answer.
};

/// A frame of the answer stream.
struct shard_answers {
    std::vector<shard_answer> answers;
};

/// Tells an owner that the answers of some attempts are no longer wanted.
struct cancel_request {
    request_id request;
    std::vector<std::uint64_t> attempts;
};

} // namespace orioledrum
