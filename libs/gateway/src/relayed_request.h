#pragma once

#include <shard_request.h>

#include <wire/relay_messages.h>

namespace orioledrum
{

/// A part of a search that this host gathers for another entry host.
class relayed_request final : public shard_request
{
public:
    /// @param message What the other host wants.
    /// @param exchange Takes the answer.
    static std::shared_ptr<relayed_request>
    create(gateway_state &state, const relay_search &message, std::shared_ptr<http_exchange> exchange);

    /// Use create().
    relayed_request(gateway_state &state, arrival received, std::shared_ptr<const route> part, std::vector<server_marks> allowedServers);

protected:
    void answer(time_point now) override;

private:
    std::shared_ptr<const route> m_part; // Keeps the matched route valid.
};

} // namespace orioledrum
