#include "caller_responses.h"

#include <nlohmann/json.hpp>

namespace orioledrum
{

namespace
{

using nlohmann::json;

http_response jsonResponse(int status, const json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace

http_response searchResponse(const request_id &request, const search_result &result, std::chrono::milliseconds elapsed)
{
    json results = json::array();
    for (const auto &hit : result.hits) {
        results.push_back({{"id", hit.id}, {"score", hit.score}, {"text", hit.text}});
    }
    json missing = json::array();
    for (const auto &shard : result.missing) {
        missing.push_back({{"shard", shard.shard.str()}, {"reason", toString(shard.reason)}, {"code", toString(shard.code)}});
    }
    return jsonResponse(200,
                        {{"requestId", request.str()},
                         {"results", std::move(results)},
                         {"snapshot", result.snapshot.snapshot},
                         {"layout", result.snapshot.layout},
                         {"coverage",
                          {{"shardsTotal", result.shardsTotal},
                           {"shardsAnswered", result.shardsAnswered},
                           {"fraction", result.coverage()},
                           {"missing", std::move(missing)}}},
                         {"complete", result.shardsAnswered == result.shardsTotal && result.shardsTotal > 0},
                         {"elapsedMs", elapsed.count()}});
}

http_response orderResponse(const order_answer &answer)
{
    json body{{"ticket", answer.ticket}, {"outcome", toString(answer.outcome)}};
    if (answer.outcome == order_outcome::ran) {
        body["result"] = json::parse(answer.body, nullptr, false);
    } else {
        body["code"] = toString(answer.code);
        body["message"] = answer.message;
    }
    return jsonResponse(200, body);
}

http_response ticketResponse(const std::string &ticket, std::chrono::milliseconds lifetime)
{
    return jsonResponse(200, {{"ticket", ticket}, {"expiresInMs", lifetime.count()}});
}

int statusFor(error_code code)
{
    switch (code) {
    case error_code::invalidArgument:
    case error_code::malformed:
        return 400;
    case error_code::unauthorized:
        return 401;
    case error_code::unknownService:
    case error_code::unknownTicket:
        return 404;
    case error_code::conflict:
    case error_code::ticketConflict:
        return 409;
    case error_code::tooLarge:
        return 413;
    case error_code::overloaded:
        return 429;
    case error_code::deadlineExceeded:
        return 504;
    case error_code::notReady:
    case error_code::draining:
    case error_code::unreachable:
        return 503;
    default:
        return 500;
    }
}

} // namespace orioledrum
