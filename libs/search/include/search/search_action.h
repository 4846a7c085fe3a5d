#pragma once

#include <base/error_code.h>
#include <base/ids.h>
#include <search/search_topology.h>
#include <wire/search_messages.h>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace orioledrum
{

/// Reason for sending an attempt.
enum class attempt_kind : std::uint8_t {
    first, ///< First attempt for the shard.
    hedge, ///< An earlier attempt is slow. Goes to an untried replica, or to any replica when all have been tried.
    retry, ///< An earlier attempt was refused, has failed or searched only a part of the shard.
    discovery, ///< Asks which snapshots the backend server holds; see send_attempt::snapshot.
};

/// Sends one call to the owner: the entry host that holds the lease of the replica's group and calls its backend servers.
struct send_attempt {
    std::uint64_t attempt = 0; ///< Attempt id, unique within the request.
    attempt_kind kind = attempt_kind::first;
    const search_replica *replica = nullptr; ///< Points into the topology; valid as long as the topology.
    const shard_id *shard = nullptr; ///< Points into the topology; valid as long as the topology.
    /// Snapshot to search. No backend server holds snapshot 0: the answer is a refusal with snapshotNotHeld whose
    /// report lists the held snapshots. The owner may answer such a call from the latest report without calling the backend
    /// server.
    snapshot_ref snapshot;
};

/// Cancels an outstanding attempt whose answer is no longer needed.
struct cancel_attempt {
    std::uint64_t attempt = 0; ///< Attempt id of the send_attempt.
    const search_replica *replica = nullptr; ///< Points into the topology; valid as long as the topology.
};

/// Reason why a shard is missing from a result.
enum class missing_reason : std::uint8_t {
    noReplica, ///< No replica is in service.
    partial, ///< Only a part of the shard was searched. The hits of that part are included.
    snapshotNotHeld, ///< No replica holds the pinned snapshot.
    overloaded, ///< Refused because of load, or because the deadline left too little time.
    refused, ///< Refused for another reason.
    failed, ///< Failed or unreachable.
    late, ///< No answer before the result was returned.
};

/// @return The camelCase name of the reason.
std::string_view toString(missing_reason reason);

/// A shard that was not searched in full.
struct missing_shard {
    shard_id shard;
    missing_reason reason = missing_reason::late;
    /// Code of the latest unsuccessful attempt. Without one: snapshotNotHeld or unreachable when no replica could be called,
    /// deadlineExceeded when no answer arrived.
    error_code code = error_code::deadlineExceeded;
};

/// Merged result of a query.
struct search_result {
    snapshot_ref snapshot; ///< Snapshot that all hits come from; number 0 when none could be pinned.
    std::uint32_t shardsTotal = 0; ///< Number of shards in the layout.
    std::uint32_t shardsAnswered = 0; ///< Number of shards that were searched in full.
    std::vector<missing_shard> missing; ///< shardsTotal - shardsAnswered entries.
    std::vector<hit> hits; ///< The best hits, by descending score, then by ascending id.
    std::uint32_t firstAttempts = 0; ///< One per shard, even if no replica could be called; a restart counts each shard again.
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0; ///< Scheduled retries, including those that could not be sent in the end.
    std::uint32_t reroutes = 0; ///< Attempts that replace one that never reached a backend server; not counted in `retries`.
    bool restarted = false; ///< The query was restarted with a newer snapshot.
    bool returnedEarly = false; ///< Returned by policy, deadline or cancellation while some shards were neither answered nor given up.
    bool overloaded = false; ///< Refusals because of load reached 5% of the number of shards; input for admission control.

    /// @return shardsAnswered / shardsTotal.
    [[nodiscard]] double coverage() const;
};

/// Delivers the result; no action follows. All outstanding attempts have been cancelled by earlier actions.
struct finish_search {
    search_result result;
};

/// Action that the root, the entry host that received the query, has to carry out.
using search_action = std::variant<send_attempt, cancel_attempt, finish_search>;

} // namespace orioledrum
