#include <standin/control_server.h>

#include <nlohmann/json.hpp>

namespace orioledrum::standin
{

control_server::control_server(asio::io_context &context, request_handler handler)
    : m_handler(std::move(handler))
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
        response = m_handler(request);
    } catch (const nlohmann::json::exception &error) {
        response = errorResponse(400, "invalidArgument", error.what());
    }
    connection->respond(response);
}

void control_server::onClose(const std::shared_ptr<http_connection> &connection)
{
    m_server.removeConnection(connection);
}

} // namespace orioledrum::standin
