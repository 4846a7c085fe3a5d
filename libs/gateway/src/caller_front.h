#pragma once

#include <transport/http_handler.h>

namespace orioledrum
{

struct gateway_state;

/// Receives the requests of callers: refuses invalid ones, finds the route, and sets target time and deadline.
class caller_front final : public http_handler
{
public:
    explicit caller_front(gateway_state &state);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    gateway_state &m_state;
};

} // namespace orioledrum
