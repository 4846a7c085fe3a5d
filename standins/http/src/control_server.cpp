#include <standin/control_server.h>

#include <nlohmann/json.hpp>

namespace orioledrum::standin
{

control_server::control_server(asio::io_context &context, route answer)
    : m_answer(std::move(answer))
    , m_server(context, *this)
{
}

std::chrono::microseconds control_server::onConnect(const std::shared_ptr<http_connection> & /*connection*/)
{
    return std::chrono::microseconds{0};
}

void control_server::onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    http_response response;
    try {
        response = m_answer(request);
    } catch (const nlohmann::json::exception &error) {
        response = errorResponse(400, "invalidArgument", error.what());
    }
    connection->respond(response);
}

void control_server::onClose(const std::shared_ptr<http_connection> &connection)
{
    m_server.forget(connection);
}

} // namespace orioledrum::standin
