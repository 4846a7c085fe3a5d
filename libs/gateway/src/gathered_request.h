#pragma once

#include <caller_request.h>

#include <relay_client.h>

#include <search/gather_run.h>

namespace orioledrum
{

/// A search over all shards of a route.
class gathered_request final : public caller_request
{
public:
    gathered_request(gateway_state &state, arrival received);

protected:
    void startRun(time_point now) override;
    void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) override;
    void wakeupRun(time_point now) override;
    [[nodiscard]] time_point nextWakeup() const override;
    [[nodiscard]] bool runFinished() const override;
    std::vector<send_call> takeCalls() override;
    void answer(time_point now) override;
    void cancelRun() override;

private:
    void sendRelayed(std::size_t part, time_point now);

    relay_client::plan m_plan;
    gather_run m_run;
    std::vector<std::optional<http_call_handle>> m_relayCalls; // By part; empty once ended.
};

} // namespace orioledrum
