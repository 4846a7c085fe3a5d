#pragma once

#include <standin/http_server.h>

#include <functional>

namespace orioledrum::standin
{

/// HTTP server for control requests; its handler returns each response synchronously.
class control_server : public http_handler
{
public:
    /// Returns the response to one request. A JSON library exception becomes a 400 response with code invalidArgument.
    using request_handler = std::function<http_response(const http_request &)>;

    /// @param context Runs the server; must be run by only one thread.
    control_server(asio::io_context &context, request_handler handler);

    /// @param port 0 lets the system choose a free port.
    /// @return The port listened on, or an error message.
    tl::expected<std::uint16_t, std::string> listen(std::uint16_t port) { return m_server.listen(port); }

    std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) override;
    void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) override;
    void onClose(const std::shared_ptr<http_connection> &connection) override;

private:
    request_handler m_handler;
    http_server m_server;
};

} // namespace orioledrum::standin
