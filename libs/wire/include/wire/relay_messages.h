#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Limits of a service as the sender knows them; see service_limits.
struct relay_limits {
    std::optional<std::uint32_t> maxConnections; ///< At least 1; nullopt: not limited.
    std::optional<double> maxColdRequestsPerSecond; ///< At least 0; nullopt: not limited.
};

/// Asks an entry host near the backend servers to search some of the shards and to merge their results. It holds all of the request and of
/// its route that the calls depend on: the receiver fills nothing in, and refuses a message that it cannot read or use. A refusal has a
/// status of 4xx or 503 and says that no backend server was called; the sender then calls the backend servers itself.
struct relay_search {
    std::string request; ///< Request id of the caller.
    std::string routeName;
    std::string routeHost; ///< Host header value of the route. With routePrefix, the key of the route's latency statistics.
    std::string routePrefix;
    std::string method; ///< HTTP method.
    std::string target; ///< HTTP request target: path and query.
    std::vector<std::string> headerNames;
    std::vector<std::string> headerValues; ///< Same size and order as headerNames.
    std::string body; ///< Body of the request, unchanged.
    std::vector<std::string> shards; ///< Ids of the services to search; each service is one shard.
    /// For each shard, its limits. The receiver may not know the shard, or may have an older configuration.
    std::vector<relay_limits> shardLimits;
    std::uint64_t configVersion = 0; ///< Version of the route table that shards and limits are from.
    std::uint32_t maxRecords = 0; ///< Maximum number of records in the merged result.
    std::uint32_t maxServers = 1; ///< Maximum number of backend servers to call for each shard.
    /// For each shard, hashes of the ids of the backend servers that the sender knows. It may call the first max(1, maxServers - 1) of them
    /// itself. The receiver may call these too, and as many others as maxServers leaves.
    std::vector<std::vector<std::uint32_t>> knownServers;
    /// For each of knownServers, in the same order, the time in milliseconds for which it is still cold by what the sender has seen itself.
    /// The receiver may not have read the entry that says so.
    std::vector<std::vector<std::uint32_t>> knownColdTimes;
    std::chrono::microseconds targetLatency{0}; ///< Target latency of the route; positive.
    std::chrono::microseconds remaining{0}; ///< Time until the answer must be sent, even if it is partial; at most targetLatency.
    /// Time after `remaining` during which outstanding calls go on, so that a relay_resume can fetch their answers; at most
    /// targetLatency.
    std::chrono::microseconds resumeTime{0};
    std::uint64_t token = 0; ///< Random number that a relay_resume refers to.
};

/// Asks the host that has answered a relay_search for the shards that were still outstanding at that time. The answer is a relay_answer
/// with the records and signatures of further shards only.
struct relay_resume {
    std::uint64_t token = 0; ///< relay_search::token.
    std::uint32_t neededShards = 0; ///< The answer is sent as soon as this many further shards have answered.
};

/// Outcome of a relay_search for one shard.
struct relay_shard {
    std::uint8_t end = 0; ///< Value of attempt_end.
    std::string signature; ///< Opaque signature of the backend server's answer; empty unless the shard's records are included.
    std::uint32_t loadPercent = 0; ///< Expected latency of a new call as a percentage of its latency without queueing; 0 if unknown.
};

/// The answer to a relay_search.
struct relay_answer {
    std::uint64_t token = 0; ///< relay_search::token; an answer with another token belongs to another search.
    std::uint8_t end = 0; ///< Value of gather_end.
    std::vector<relay_shard> shards; ///< In the order of relay_search::shards.
    std::string records; ///< The greatest records of the included shards, in descending order.
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
};

} // namespace orioledrum
