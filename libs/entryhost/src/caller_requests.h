#pragma once

#include <base/error.h>
#include <base/ids.h>

#include <chrono>
#include <optional>
#include <string>

namespace orioledrum
{

/// Limits of the caller API.
namespace caller_limits
{
constexpr std::chrono::milliseconds longestDeadline{10000};
constexpr std::size_t longestQuery = 4096;
constexpr unsigned greatestResultCount = 1000;
constexpr int greatestPriority = 9;
} // namespace caller_limits

/// A checked search request of a caller.
struct caller_search {
    service_id service;
    std::string query;
    customer_id customer;
    std::optional<std::chrono::milliseconds> deadline; ///< Unset: the service's default.
    std::optional<double> minCoverage; ///< Unset: the service's policy.
    unsigned limit = 10;
    int priority = 0; ///< 0 is ordinary, greater is more urgent.
};

/// A checked request for a ticket.
struct caller_ticket {
    service_id service;
    customer_id customer;
};

/// A checked order of a caller.
struct caller_order {
    service_id service;
    customer_id customer;
    std::optional<std::chrono::milliseconds> deadline;
    std::string order; ///< The JSON value of "order" in canonical form.
};

/// Each function checks the body in full and reports the first key that is missing, unknown or out of range.
/// @param body The JSON body of the request.
expected<caller_search> parseSearch(const std::string &body);
expected<caller_ticket> parseTicketRequest(const std::string &body);
expected<caller_order> parseOrder(const std::string &body);

} // namespace orioledrum
