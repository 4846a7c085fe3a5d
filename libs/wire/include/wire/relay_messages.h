#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// Asks an entry host near the backend servers to run a part of a search and to merge its answers.
struct relay_search {
    std::string request; ///< The caller's id of its request.
    std::string routeName;
    std::string routeHost; ///< With routePrefix, the key of the call times.
    std::string routePrefix;
    std::string method;
    std::string target;
    std::vector<std::string> headerNames;
    std::vector<std::string> headerValues; ///< As many as names.
    std::vector<std::string> shards; ///< Services to ask.
    std::uint32_t topRecords = 0;
    std::uint32_t maxAttempts = 1;
    std::vector<std::vector<std::uint32_t>> allowedServers; ///< By shard: hashes of the backend servers that may be asked.
    std::chrono::microseconds targetLatency{0}; ///< Of the route.
    std::chrono::microseconds remaining{0}; ///< Time until the answer must be sent, complete or not.
};

/// The outcome for one shard.
struct relay_shard {
    std::uint8_t end = 0; ///< An attempt_end.
    std::string proof; ///< Empty unless the shard's records are included.
    std::uint32_t loadPercent = 0; ///< Expected time of a further call, as a share of one without waiting; 0: unknown.
};

/// The answer to a relay_search.
struct relay_answer {
    std::uint8_t end = 0; ///< A gather_end.
    std::vector<relay_shard> shards; ///< In the order of the request.
    std::string records; ///< The greatest records of the included shards.
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
};

} // namespace orioledrum
