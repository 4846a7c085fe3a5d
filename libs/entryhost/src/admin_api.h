#pragma once

#include <transport/http_handler.h>

#include <memory>
#include <string>

namespace orioledrum
{

class control_plane;
struct host_shared;

/// The HTTP API for operators and the platform's health checks.
class admin_api : public http_handler
{
public:
    admin_api(host_shared &shared, control_plane &control);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    [[nodiscard]] bool authorized(const http_request &request) const;
    void status(const std::shared_ptr<http_exchange> &exchange);
    void timeline(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void backends(const std::shared_ptr<http_exchange> &exchange);

    host_shared &m_shared;
    control_plane &m_control;
};

} // namespace orioledrum
