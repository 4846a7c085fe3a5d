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
    static std::shared_ptr<relayed_request>
    create(gateway_state &state, const relay_search &message, std::shared_ptr<http_exchange> exchange);

    /// Public only for std::make_shared; use create().
    relayed_request(gateway_state &state,
                    incoming_request received,
                    std::shared_ptr<const route> partRoute,
                    std::vector<server_hashes> allowedServers);

protected:
    void answer(time_point now) override;

private:
    std::shared_ptr<const route> m_partRoute; // Keeps incoming().matchedRoute valid.
};

} // namespace orioledrum
