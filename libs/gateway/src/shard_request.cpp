#include <shard_request.h>

#include <gateway_state.h>

#include <base/rendezvous.h>

#include <utility>

namespace orioledrum
{

shard_request::shard_request(gateway_state &state, incoming_request received)
    : caller_request(state, std::move(received))
{
}

gather_input shard_request::makeGatherInput() const
{
    const auto &route = *incoming().matchedRoute;
    gather_input result;
    result.shards = route.shards;
    result.maxRecords = route.maxRecords;
    result.minCoverage = route.minCoverage;
    result.maxServers = route.maxServers;
    result.target = incoming().targetTime;
    result.deadline = incoming().deadline;
    result.preferenceSeed = rendezvousWeight({}, incoming().requestId);
    return result;
}

void shard_request::createRun(gather_input gatherInput)
{
    m_run.emplace(std::move(gatherInput), state().registry, *callTemplate().profile);
}

void shard_request::callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now)
{
    outcome.body = std::move(reply.body);
    m_run->callEnded(attempt, std::move(outcome), now);
}

} // namespace orioledrum
