#pragma once

#include <base/ids.h>
#include <config/service_limits.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// Whether a request may run more than once.
enum class retry_safety : std::uint8_t {
    idempotent, ///< May run more than once.
    atMostOnce, ///< Must not be retried once a backend server may have started it.
};

/// A service of a route with its share of the traffic.
struct weighted_service {
    service_id service;
    double weight = 1; ///< Share relative to the other services of the route, at least 0.
};

/// Maps requests with a host name and path prefix to services. Exactly one of `services` and `shards` is not empty.
struct route {
    /// Upper limit of the times of a route, about 11 days. The sum of a longer one and the current time could overflow.
    static constexpr std::chrono::milliseconds maxTime{1'000'000'000};

    std::string name;
    std::string host; ///< Value of the Host header.
    std::string prefix; ///< Begins and ends with a slash.
    retry_safety retrySafety = retry_safety::atMostOnce;
    std::chrono::milliseconds timeout{0}; ///< Maximum time until the final answer.
    std::chrono::milliseconds targetLatency{0}; ///< Answers within this time are fully useful to the caller; later ones less so.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t maxServers = 1; ///< Maximum number of backend servers of each service to which one request is sent.
    std::vector<weighted_service> services; ///< The request is sent to one of these.
    std::vector<service_id> shards; ///< The request fans out to all of these, and their answers are merged.
    std::uint32_t maxRecords = 0; ///< Maximum number of records in a merged answer.
    double minCoverage = 1; ///< Minimum share of the shards, 0 to 1, that a successful merged answer covers.
    bool isPublic = false; ///< Requests need no key of an organisation.

    /// @return `host` followed by `prefix`, which identifies the route in all versions of the route table.
    [[nodiscard]] std::string key() const { return host + prefix; }

    /// @return True when the route fans out to shards.
    [[nodiscard]] bool isSearch() const { return !shards.empty(); }
};

/// Operator settings for the backend servers of a service.
struct route_service {
    service_id id;
    std::string healthPath; ///< Path of the health check.
    std::uint32_t maxConnections = 0; ///< Maximum connections of one backend server with all hosts; 0: calls are not limited.
    std::chrono::milliseconds warmUpTime{0}; ///< Duration of the warm-up of a backend server after a cold start.
    double maxColdRequestsPerSecond = 0; ///< Request rate of a cold backend server, before coldFactor and coldSlack; 0: no limit.

    [[nodiscard]] service_limits limits() const
    {
        service_limits result;
        if (maxConnections > 0) {
            result.maxConnections = maxConnections;
        }
        if (maxColdRequestsPerSecond > 0) {
            result.maxColdRequestsPerSecond = maxColdRequestsPerSecond;
        }
        return result;
    }
};

/// Size limits for the requests of callers.
struct http_request_limits {
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{256} * 1024;
    std::chrono::milliseconds headerTimeout{0}; ///< Maximum time for the header of a request; 0: no limit.
    std::chrono::milliseconds idleTimeout{0}; ///< Maximum time for which a connection stays open without a request; 0: no limit.
};

} // namespace orioledrum
