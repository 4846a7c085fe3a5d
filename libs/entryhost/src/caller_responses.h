#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <search/search_action.h>
#include <transport/http_response.h>
#include <wire/order_messages.h>

#include <chrono>
#include <string>

namespace orioledrum
{

/// @return The answer to a search.
http_response searchResponse(const request_id &request, const search_result &result, std::chrono::milliseconds elapsed);

/// @return The answer to an order; status 200 for every outcome, since the outcome is the answer.
http_response orderResponse(const order_answer &answer);

/// @return The answer to a request for a ticket.
http_response ticketResponse(const std::string &ticket, std::chrono::milliseconds life);

/// @return The HTTP status for a refusal with this code.
int statusFor(error_code code);

} // namespace orioledrum
