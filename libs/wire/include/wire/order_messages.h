#pragma once

#include <base/error_code.h>
#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace orioledrum
{

/// Outcome of an order, a non-idempotent request that is run at most once.
enum class order_outcome : std::uint8_t {
    /// The order has not run and never will: by this attempt in an answer of an owner, under this ticket in an answer of the issuing
    /// host.
    notRun,
    ran, ///< The backend server answered that it ran the order.
    unknown, ///< The order may or may not have run.
};

/// @return "notRun", "ran" or "unknown".
std::string_view toString(order_outcome outcome);

/// An order, sent to the host that issued its ticket and from there to the owner of a backend server.
struct order_request {
    std::string ticket;
    std::uint64_t attempt = 0; ///< Number of the attempt, set by the issuing host. An owner sends an attempt at most once.
    service_id service;
    customer_id customer;
    backend_id backend; ///< Empty in a message to the issuing host.
    std::chrono::microseconds remaining{0}; ///< Time left until the deadline.
    std::string body;
};

/// The answer to an order_request.
struct order_answer {
    std::string ticket;
    std::uint64_t attempt = 0;
    order_outcome outcome = order_outcome::unknown;
    error_code code = error_code::internal; ///< Reason of an outcome other than ran.
    std::string message;
    std::string body; ///< The backend server's answer when outcome is ran.
    entry_host_id holder; ///< With notOwner: the current lease holder, if known.
};

} // namespace orioledrum
