#pragma once

#include <standin/http_server.h>

#include <functional>

namespace orioledrum::standin
{

/// Serves control requests that are answered at once.
class control_server : public http_handler
{
public:
    /// Answers one request. An exception of the JSON library becomes a 400 with the code invalidArgument.
    using route = std::function<http_response(const http_request &)>;

    /// @param context Runs the server; must be run by one thread only.
    control_server(asio::io_context &context, route answer);

    /// @param port 0 to let the system choose.
    /// @return The port in use, or a message.
    tl::expected<std::uint16_t, std::string> listen(std::uint16_t port) { return m_server.listen(port); }

    std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) override;
    void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) override;
    void onClose(const std::shared_ptr<http_connection> &connection) override;

private:
    route m_answer;
    http_server m_server;
};

} // namespace orioledrum::standin
