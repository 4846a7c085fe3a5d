#pragma once

#include <relay_client.h>
#include <shard_request.h>

namespace orioledrum
{

/// A search over all shards of a route; parts of it may be gathered by other entry hosts.
class gathered_request final : public shard_request
{
public:
    gathered_request(gateway_state &state, incoming_request received);

protected:
    void startRun(time_point now) override;
    void wakeupRun(time_point now) override;
    void answer(time_point now) override;
    void startOtherWork(time_point now) override;
    void cancelOtherWork() override;

private:
    /// Sends a part of the search to the host that gathers it.
    /// @param partIndex Position in m_relayParts.
    void sendRelaySearch(std::size_t partIndex, time_point now);
    void sendRelayResume(const part_resume &resume, time_point now);
    /// @return relay_search::resumeTime of the parts of this search.
    [[nodiscard]] std::chrono::microseconds resumeTime() const;
    void recordLostRelay(std::size_t partIndex);

    relay_client::assigned_parts m_relayParts;
    std::vector<std::optional<http_call_handle>> m_relayCalls; // By position in m_relayParts; nullopt when no call is open.
    std::uint64_t m_firstToken = 0; // relay_search::token of the first part; the other parts have the tokens that follow.
    std::int64_t m_resumedParts = 0; // For the log.
    std::string m_lostRelays; // Comma-separated addresses of hosts that failed or did not answer in time, for the log.
};

} // namespace orioledrum
