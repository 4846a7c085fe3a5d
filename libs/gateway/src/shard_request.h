#pragma once

#include <caller_request.h>

#include <search/gather_run.h>

namespace orioledrum
{

/// A request that is answered from many shards: drives a gather_run.
class shard_request : public caller_request
{
protected:
    shard_request(gateway_state &state, arrival received);

    /// Sets up the run. Called once, in the constructor of the derived class.
    void prepare(gather_input input);

    [[nodiscard]] gather_run &run() override { return *m_run; }
    void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) override;

    /// @return What a run over the shards of the matched route needs.
    [[nodiscard]] gather_input makeInput() const;

private:
    std::optional<gather_run> m_run;
};

} // namespace orioledrum
