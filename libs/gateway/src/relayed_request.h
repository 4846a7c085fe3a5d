#pragma once

#include <caller_request.h>

#include <search/gather_run.h>
#include <wire/relay_messages.h>

namespace orioledrum
{

/// A part of a search that this host gathers for another entry host.
class relayed_request final : public caller_request
{
public:
    /// @param message What the other host wants.
    /// @param exchange Takes the answer.
    static std::shared_ptr<relayed_request>
    create(gateway_state &state, const relay_search &message, std::shared_ptr<http_exchange> exchange);

    /// Use create().
    relayed_request(gateway_state &state, arrival received, std::shared_ptr<const route> part);

protected:
    void startRun(time_point now) override;
    void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) override;
    void wakeupRun(time_point now) override;
    [[nodiscard]] time_point nextWakeup() const override;
    [[nodiscard]] bool runFinished() const override;
    std::vector<send_call> takeCalls() override;
    void answer(time_point now) override;

private:
    std::shared_ptr<const route> m_part; // Keeps the matched route valid.
    gather_run m_run;
};

} // namespace orioledrum
