#pragma once

#include <caller_request.h>

#include <search/forward_run.h>

#include <map>

namespace orioledrum
{

/// A request that one backend server answers.
class forwarded_request final : public caller_request
{
public:
    forwarded_request(gateway_state &state, arrival received);

protected:
    void startRun(time_point now) override;
    void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) override;
    void wakeupRun(time_point now) override;
    [[nodiscard]] time_point nextWakeup() const override;
    [[nodiscard]] bool runFinished() const override;
    std::vector<send_call> takeCalls() override;
    void answer(time_point now) override;

private:
    service_id m_service;
    forward_run m_run;
    std::map<std::uint64_t, http_reply> m_replies; // Answers that may be passed on, by attempt.
    std::string m_lastServer;
};

} // namespace orioledrum
