#pragma once

#include <caller_request.h>
#include <transport/http_handler.h>

namespace orioledrum
{

struct gateway_state;
struct usage_decision;
class usage_caps;

/// Receives the requests of callers: refuses invalid ones, finds the route, identifies the organisation, gets a token if it has a usage
/// cap, and sets target time and deadline.
class caller_front final : public http_handler
{
public:
    /// Both must outlive this object.
    caller_front(gateway_state &state, usage_caps &usage);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

private:
    struct waiting_request;

    /// Starts a request once it has a token.
    void acquireToken(caller_request::incoming_request incoming, time_point now);
    void tokenDecided(waiting_request &waiting, const usage_decision &decision);

    gateway_state &m_state;
    usage_caps &m_usage;
};

} // namespace orioledrum
