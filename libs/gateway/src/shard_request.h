#pragma once

#include <caller_request.h>

#include <search/gather_run.h>

namespace orioledrum
{

/// A request that is answered from many shards, driven by a gather_run.
class shard_request : public caller_request
{
protected:
    shard_request(gateway_state &state, incoming_request received);

    /// Creates the run. Called once, in the constructor of the derived class.
    void createRun(gather_input gatherInput);

    [[nodiscard]] gather_run &run() override { return *m_run; }
    void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) override;

    /// @return The input of a run over all shards of the matched route; derived classes adapt it.
    [[nodiscard]] gather_input makeGatherInput() const;

private:
    std::optional<gather_run> m_run;
};

} // namespace orioledrum
