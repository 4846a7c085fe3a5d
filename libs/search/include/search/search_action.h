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

/// Why an attempt is sent.
enum class attempt_kind : std::uint8_t {
    first, ///< First attempt for the shard.
    hedge, ///< A further replica is asked because the first is slow, or one again when all were asked.
    retry, ///< An earlier attempt was refused or failed.
    discovery, ///< Asks what the backend server holds; see send_attempt::snapshot.
};

/// Send one call to the owner of the replica's group.
struct send_attempt {
    std::uint64_t attempt = 0; ///< Unique within the request.
    attempt_kind kind = attempt_kind::first;
    const search_replica *replica = nullptr; ///< Valid while the topology lives.
    const shard_id *shard = nullptr; ///< Valid while the topology lives.
    /// Snapshot to search. Number 0 is held by no backend server: the answer is a refusal with snapshotNotHeld whose
    /// report lists what is held. An owner may answer such a call from the latest report without calling on.
    snapshot_ref snapshot;
};

/// The answer to an attempt is no longer wanted.
struct cancel_attempt {
    std::uint64_t attempt = 0;
    const search_replica *replica = nullptr; ///< Valid while the topology lives.
};

/// Why a shard is missing from an answer.
enum class missing_reason : std::uint8_t {
    noReplica, ///< No replica is in service.
    partial, ///< Only a part of the shard was searched; its hits are included.
    snapshotNotHeld, ///< No replica holds the pinned snapshot.
    overloaded, ///< Refused because of load.
    refused, ///< Refused for another reason.
    failed, ///< Failed or unreachable.
    late, ///< No answer before the answer had to be given.
};

/// @return The camelCase name of the reason.
std::string_view toString(missing_reason reason);

/// A shard that is missing from an answer.
struct missing_shard {
    shard_id shard;
    missing_reason reason = missing_reason::late;
    error_code code = error_code::deadlineExceeded; ///< The latest error seen for the shard.
};

/// Result of a query.
struct search_result {
    snapshot_ref snapshot; ///< The single snapshot that all hits come from.
    std::uint32_t shardsTotal = 0; ///< Shards of the layout.
    std::uint32_t shardsAnswered = 0; ///< Shards that were searched in full.
    std::vector<missing_shard> missing; ///< shardsTotal - shardsAnswered entries.
    std::vector<hit> hits; ///< The best hits by descending score, then by id.
    std::uint32_t firstAttempts = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    std::uint32_t reroutes = 0; ///< Repeated calls that had not reached a backend server; they cost it nothing.
    bool restarted = false; ///< The query was restarted at a newer snapshot.
    bool early = false; ///< Answered by policy before all shards had been settled.
    bool overloaded = false; ///< A notable share of the calls was refused because of load; input for admission.

    /// @return shardsAnswered / shardsTotal.
    [[nodiscard]] double coverage() const;
};

/// The query has ended; nothing follows. Preceded by cancel_attempt for all outstanding attempts.
struct finish_search {
    search_result result;
};

/// What the root has to do for a query.
using search_action = std::variant<send_attempt, cancel_attempt, finish_search>;

} // namespace orioledrum
