#include <shard_request.h>

#include <gateway_state.h>

#include <functional>
#include <utility>

namespace orioledrum
{

shard_request::shard_request(gateway_state &state, arrival received)
    : caller_request(state, std::move(received))
{
}

gather_input shard_request::makeInput() const
{
    const auto &route = *input().matched;
    gather_input made;
    made.shards = route.shards;
    made.topRecords = route.topRecords;
    made.minCoverage = route.minCoverage;
    made.maxAttempts = route.maxAttempts;
    made.target = input().target;
    made.deadline = input().deadline;
    made.preferenceSeed = std::hash<std::string>{}(input().requestId);
    return made;
}

void shard_request::prepare(gather_input input)
{
    m_run.emplace(std::move(input), state().board, *callTemplate().profile);
}

void shard_request::callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now)
{
    outcome.body = std::move(reply.body);
    m_run->ended(attempt, std::move(outcome), now);
}

} // namespace orioledrum
