#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// How often a request may run.
enum class repeat_rule : std::uint8_t {
    idempotent, ///< May run more than once.
    atMostOnce, ///< Must not be sent again once a backend server may have started it.
};

/// One of several services that share the requests of a route.
struct weighted_service {
    service_id service;
    double weight = 1; ///< Share relative to the other services of the route, greater than 0.
};

/// Requests with one host name and path prefix, and how they are served. Either `services` or `shards` is not empty.
struct route {
    std::string name;
    std::string host; ///< Value of the Host field.
    std::string prefix; ///< Begins and ends with a slash.
    repeat_rule repeat = repeat_rule::atMostOnce;
    std::chrono::milliseconds timeout{0}; ///< Longest time until the final answer.
    std::chrono::milliseconds targetLatency{0}; ///< An answer within this time has its full value to the caller.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Most backend servers that one request may be sent to, for each service.
    std::vector<weighted_service> services; ///< The request goes to one of these.
    std::vector<service_id> shards; ///< The request goes to all of these, and their answers are merged.
    std::uint32_t topRecords = 0; ///< Records in a merged answer.
    double minCoverage = 1; ///< Least share of the shards in a successful merged answer.

    /// @return What tells the kind of request apart in all versions of the routes: host and prefix.
    [[nodiscard]] std::string key() const { return host + prefix; }

    /// @return True when the route is a search over shards.
    [[nodiscard]] bool isSearch() const { return !shards.empty(); }
};

/// What the operator says about the backend servers of a service.
struct route_service {
    service_id id;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Connections that one backend server accepts from all hosts; 0: not stated.
    std::chrono::milliseconds warmUp{0}; ///< How long a backend server is cold after a start.
    double coldRequestsPerSecond = 0; ///< Bearable rate while cold; 0: not limited.
};

/// Bounds on what callers may send.
struct caller_limits {
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{256} * 1024;
};

} // namespace orioledrum
