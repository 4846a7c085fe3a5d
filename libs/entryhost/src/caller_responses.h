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

/// @return The response to a search, with results, snapshot, coverage and missing shards.
http_response searchResponse(const request_id &request, const search_result &result, std::chrono::milliseconds elapsed);

/// @return The response to an order. The status is 200 for every outcome, because the body states the outcome.
http_response orderResponse(const order_answer &answer);

/// @return The response to a request for a ticket.
/// @param lifetime Time within which the order must be submitted for the first time.
http_response ticketResponse(const std::string &ticket, std::chrono::milliseconds lifetime);

/// @return HTTP status of a refusal with this code; 500 for a code without a more specific status.
int statusFor(error_code code);

} // namespace orioledrum
