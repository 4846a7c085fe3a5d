#pragma once

#include <base/monotonic_clock.h>
#include <limits/usage_cap_client.h>
#include <limits/usage_cap_owner.h>
#include <limits/usage_fleet.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace orioledrum
{

struct gateway_state;
struct http_request;
struct membership_view;
struct organisation;
class http_client;
class http_exchange;

/// Exchanges the messages of usage_cap_client and usage_cap_owner with the other hosts. Sends nothing for organisations without a cap.
class usage_caps
{
public:
    static constexpr const char *requestPath = "/hosts/usage";
    static constexpr const char *takeoverPath = "/hosts/usage-takeover";

    using callback = std::function<void(const usage_decision &)>;

    /// All arguments must outlive this object.
    usage_caps(gateway_state &state, http_client &client);

    /// Sets the hosts that share the caps.
    void setHosts(const membership_view &view, bool settled, time_point now);

    /// Must be called in each period of heartbeats. After a pause of the process, in which other hosts may have taken its organisations
    /// over, this host starts anew.
    void checkForPause(time_point now);

    /// @return True when a request of the organisation needs a token.
    [[nodiscard]] bool limits(const organisation &organisation) const;

    /// @return Where the tokens of an organisation are handed out; null when its requests need none. Valid until the known hosts change.
    [[nodiscard]] const usage_place *findPlace(const organisation &organisation) const;

    /// Asks for a token for one request.
    /// @param patience How long the request may wait for the answer of one host.
    /// @param done Called once, possibly before this function returns, unless cancel() is called.
    /// @return Handle for cancel().
    std::uint64_t acquire(const organisation &organisation, std::chrono::microseconds patience, callback done);

    /// Ends a wait without its callback.
    void cancel(std::uint64_t handle);

    /// Answers a usage_request of another host.
    void handleRequest(const http_request &request, http_exchange &exchange);
    /// Answers a usage_takeover of another host.
    void handleTakeover(const http_request &request, http_exchange &exchange);

private:
    [[nodiscard]] usage_cap capOf(const organisation &organisation) const;
    /// @return The cap of an organisation in the active configuration; nothing when it has none.
    [[nodiscard]] std::optional<usage_cap> findCap(const std::string &organisation) const;
    /// Carries out what the state machines ask for.
    void run();
    void send(const usage_question &question);
    void send(const usage_claim &claim);
    gateway_state &m_state;
    http_client &m_client;
    usage_fleet m_fleet;
    usage_cap_owner m_owner;
    usage_cap_client m_requests;
    std::unordered_map<std::uint64_t, callback> m_waiting;
    std::uint64_t m_lastHandle = 0;
    time_point m_lastActiveAt;
    std::size_t m_knownHosts = 1;
};

} // namespace orioledrum
