#pragma once

#include <transport/http_handler.h>

namespace orioledrum
{

struct gateway_state;

/// Takes the requests of callers: finds the route and the times that bind, or refuses.
class caller_front final : public http_handler
{
public:
    explicit caller_front(gateway_state &state);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    gateway_state &m_state;
};

} // namespace orioledrum
