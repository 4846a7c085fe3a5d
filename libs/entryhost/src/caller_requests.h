#pragma once

#include <base/error.h>
#include <base/ids.h>

#include <chrono>
#include <optional>
#include <string>

namespace orioledrum
{

/// Maximum values that the caller API accepts.
namespace caller_api_limits
{
constexpr std::chrono::milliseconds maxDeadline{10000};
constexpr std::size_t maxQueryBytes = 4096;
constexpr unsigned maxResultCount = 1000;
constexpr int maxPriority = 9;
} // namespace caller_api_limits

/// A validated search request.
struct caller_search {
    service_id service;
    std::string query;
    customer_id customer;
    std::optional<std::chrono::milliseconds> deadline; ///< Relative to the receipt; unset: the default of the service.
    std::optional<double> minCoverage; ///< Required coverage, 0 to 1; unset: the policy of the service.
    unsigned limit = 10; ///< Maximum number of results.
    int priority = 0; ///< 0 (normal) to maxPriority; a greater number is more urgent.
};

/// A validated request for a ticket, which identifies one order so that repeated submissions run the order at most once.
struct caller_ticket_request {
    service_id service;
    customer_id customer;
};

/// A validated order.
struct caller_order {
    service_id service;
    customer_id customer;
    std::optional<std::chrono::milliseconds> deadline; ///< Relative to the receipt; unset: the default of the service.
    std::string order; ///< The JSON value of "order", serialised without white space and with sorted keys.
};

/// Parses and validates the JSON body of a search request.
/// @return The request; malformed when the body is not a JSON object; invalidArgument for the first invalid, missing or unknown key;
/// or deadlineExceeded when "deadlineMs" is 0 or less.
expected<caller_search> parseSearch(const std::string &body);
/// Parses and validates the JSON body of a request for a ticket; errors as with parseSearch(), except deadlineExceeded.
expected<caller_ticket_request> parseTicketRequest(const std::string &body);
/// Parses and validates the JSON body of an order; errors as with parseSearch().
expected<caller_order> parseOrder(const std::string &body);

} // namespace orioledrum
