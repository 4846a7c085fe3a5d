#include <transport/http_response.h>

#include <nlohmann/json.hpp>

namespace orioledrum
{

http_response errorResponse(int status, const error &failure)
{
    const nlohmann::json body = {
        {"error",
         {{"code", std::string(toString(failure.code))}, {"message", failure.message}, {"step", failure.step}, {"peer", failure.peer}}}};
    http_response response;
    response.status = status;
    // Replaces invalid UTF-8, because dump() would throw otherwise and the error would not be reported.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace orioledrum
