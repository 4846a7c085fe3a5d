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
    /// In an answer of an owner: this attempt has not run the order and never will. In an answer of the issuing host: no attempt under
    /// this ticket has run it or will.
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
    std::string body; ///< Member "result" of the backend server's reply, as JSON, when outcome is ran; {} if missing.
    entry_host_id holder; ///< With notOwner: the host assumed to own the backend server's group; empty if unknown or the answering host.
};

} // namespace orioledrum
