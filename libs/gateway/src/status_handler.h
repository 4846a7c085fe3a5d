#pragma once

#include <transport/http_handler.h>

namespace orioledrum
{

class route_explainer;
struct gateway_state;

/// Serves the metrics on /metrics and explanations of routes on /route; answers any other path as a readiness check of the load balancer.
class status_handler final : public http_handler
{
public:
    /// All arguments must outlive this object.
    status_handler(gateway_state &state, const route_explainer &explainer);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

    /// @return True when the load balancer should send new connections: routes and backend servers are known, gateway_state::canServeNow
    /// is set, and no stop has begun.
    [[nodiscard]] bool ready() const;

private:
    gateway_state &m_state;
    const route_explainer &m_explainer;
    bool m_wasReady = false;
};

} // namespace orioledrum
