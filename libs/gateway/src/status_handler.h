#pragma once

#include <transport/http_handler.h>

namespace orioledrum
{

struct gateway_state;

/// Answers the load balancer's readiness checks and serves the metrics.
class status_handler final : public http_handler
{
public:
    explicit status_handler(gateway_state &state);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

    /// @return True when the load balancer should send new connections: routes and backend servers are known, this host can serve,
    /// and no stop has begun.
    [[nodiscard]] bool ready() const;

private:
    gateway_state &m_state;
    bool m_wasReady = false;
};

} // namespace orioledrum
