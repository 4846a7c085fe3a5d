#pragma once

#include <caller_request.h>

#include <search/forward_run.h>

#include <map>

namespace orioledrum
{

/// A request that is forwarded to a single backend server, without a fan-out.
class forwarded_request final : public caller_request
{
public:
    forwarded_request(gateway_state &state, incoming_request received);

protected:
    [[nodiscard]] forward_run &run() override { return m_run; }
    void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) override;
    void answer(time_point now) override;

private:
    service_id m_service;
    forward_run m_run;
    std::map<std::uint64_t, http_reply> m_replies; // Answers that may be passed on to the caller, by attempt number.
};

} // namespace orioledrum
