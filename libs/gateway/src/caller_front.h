#pragma once

#include <caller_request.h>
#include <transport/http_handler.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

namespace orioledrum
{

struct gateway_settings;
struct gateway_state;
struct route;
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

    /// @return Time from the receipt of a request of the route until its answer should leave this host to reach the caller within the
    /// target latency. Not positive when the target cannot be reached.
    static std::chrono::milliseconds timeUntilTarget(const route &route, const gateway_settings &settings);

private:
    class waiting_request;

    /// Starts a request, or refuses it when its organisation has had its share of an overloaded service.
    void startRequest(caller_request::incoming_request incoming, time_point now);
    /// Starts a request once it has a token.
    void acquireToken(caller_request::incoming_request incoming, time_point now);
    void tokenDecided(waiting_request &waiting, const usage_decision &decision);
    /// Answers a request that waits for a token. Must be called only while it waits.
    void endWaiting(waiting_request &waiting, http_response response, std::string_view outcome, std::chrono::milliseconds retryAfter);

    /// @return False when enough lines about requests without a valid key were written in this second.
    bool mayLogRefusedKey(time_point now);

    gateway_state &m_state;
    usage_caps &m_usage;
    time_point m_refusedKeysSince; ///< Start of the second in which m_refusedKeyLines were written.
    std::uint32_t m_refusedKeyLines = 0;
};

} // namespace orioledrum
