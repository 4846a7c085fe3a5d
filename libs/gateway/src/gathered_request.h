#pragma once

#include <relay_client.h>
#include <shard_request.h>

namespace orioledrum
{

/// A search over all shards of a route.
class gathered_request final : public shard_request
{
public:
    gathered_request(gateway_state &state, arrival received);

protected:
    void startRun(time_point now) override;
    void wakeupRun(time_point now) override;
    void answer(time_point now) override;
    void cancelRun() override;

private:
    void sendRelayed(std::size_t part, time_point now);
    void lostRelay(std::size_t part);

    relay_client::plan m_plan;
    std::vector<std::optional<http_call_handle>> m_relayCalls; // By part; empty once ended.
    std::string m_lostRelays; // Addresses of hosts that did not answer in time, for the log.
};

} // namespace orioledrum
