#pragma once

#include <shard_request.h>

#include <wire/relay_messages.h>

namespace orioledrum
{

/// A part of a search that this host gathers for another entry host.
class relayed_request final : public shard_request
{
public:
    /// Creates the request and the route that contains only the shards of this part.
    /// @return The request, or invalidArgument when the message lacks something that the calls need; `exchange` is then unused.
    static expected<std::shared_ptr<relayed_request>>
    create(gateway_state &state, const relay_search &message, const std::shared_ptr<http_exchange> &exchange);

    /// Public only for std::make_shared; use create().
    relayed_request(gateway_state &state, incoming_request received, std::shared_ptr<const route> partRoute, const relay_search &message);

    /// Answers a relay_resume: goes on with the calls that were outstanding at the first answer.
    /// @return False when there is nothing to resume; the exchange is then unused.
    bool resume(const relay_resume &message, const std::shared_ptr<http_exchange> &exchange);

    /// @return Time after which the request can no longer be resumed.
    [[nodiscard]] time_point resumeDeadline() const { return incoming().deadline; }

protected:
    void answer(time_point now) override;
    void callEndedAfterAnswer(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) override;

private:
    std::uint64_t m_token; // relay_search::token
    std::shared_ptr<const route> m_partRoute; // Keeps incoming().matchedRoute valid.
};

} // namespace orioledrum
