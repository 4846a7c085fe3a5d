#pragma once

#include <base/error_code.h>
#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace orioledrum
{

/// What is known about a non-idempotent request.
enum class order_outcome : std::uint8_t {
    notRun, ///< It has not run and never will under this ticket.
    ran, ///< The backend server answered that it ran.
    unknown, ///< It may or may not have run.
};

/// @return "notRun", "ran" or "unknown".
std::string_view toString(order_outcome outcome);

/// An order on its way to the host that minted its ticket, or from there to the owner of a backend server.
struct order_request {
    std::string ticket;
    std::uint64_t attempt = 0; ///< Numbered by the minting host; an owner hands an attempt on at most once.
    service_id service;
    customer_id customer;
    backend_id backend; ///< Empty on the way to the minting host.
    std::chrono::microseconds remaining{0};
    std::string body;
};

/// The answer to an order_request.
struct order_answer {
    std::string ticket;
    std::uint64_t attempt = 0;
    order_outcome outcome = order_outcome::unknown;
    error_code code = error_code::internal; ///< Meaningful unless outcome is ran.
    std::string message;
    std::string body; ///< The backend server's answer when it ran.
    entry_host_id holder; ///< With notOwner: who holds the lease, if known.
};

} // namespace orioledrum
