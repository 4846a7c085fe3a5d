#pragma once

#include <transport/http_handler.h>

#include <memory>
#include <string>

namespace orioledrum
{

class control_plane;
struct host_shared;

/// HTTP API for administration, metrics and health checks. /livez, /readyz and /metrics need no token; every other path needs the
/// bearer token of entry_host_settings::adminToken.
class admin_api : public http_handler
{
public:
    admin_api(host_shared &shared, control_plane &control);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    [[nodiscard]] bool authorized(const http_request &request) const;
    /// Responds from the control thread.
    void respondWithStatus(const std::shared_ptr<http_exchange> &exchange);
    void respondWithTimeline(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    /// Collects the state from all workers and responds on the thread of the last worker to report.
    void respondWithBackends(const std::shared_ptr<http_exchange> &exchange);

    host_shared &m_shared;
    control_plane &m_control;
};

} // namespace orioledrum
