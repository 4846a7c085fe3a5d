#pragma once

#include <transport/http_handler.h>

namespace orioledrum
{

struct gateway_state;

/// Serves the metrics on /metrics; answers any other path as a readiness check of the load balancer.
class status_handler final : public http_handler
{
public:
    explicit status_handler(gateway_state &state);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

    /// @return True when the load balancer should send new connections: routes and backend servers are known, gateway_state::canServeNow
    /// is set, and no stop has begun.
    [[nodiscard]] bool ready() const;

private:
    gateway_state &m_state;
    bool m_wasReady = false;
};

} // namespace orioledrum
