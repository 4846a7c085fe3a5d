#pragma once

#include <limits/token_bucket.h>

#include <cstdint>

namespace orioledrum
{

/// Bounds on calls beyond the first of each request, over all hosts together.
struct extra_call_limits {
    double share = 0.2; ///< Extra calls for each request for the service in a window.
    double slack = 10; ///< Further extra calls in a window.
};

/// This host's part of the extra calls (retries and hedges) to one service.
///
/// Over any span of time, hosts that each spend at most `capacity + share * requests` stay together within
/// `slack + share * all requests` when the capacities add up to the slack. Not thread-safe.
class extra_call_budget
{
public:
    /// Part of the allowed share that is used; the rest covers requests that are counted in another window than here.
    static constexpr double usedShare = 0.85;
    /// Tokens that hedges leave for retries of calls that failed, as a part of the capacity.
    static constexpr double retryReserve = 0.3;

    /// @param limits Bounds over all hosts.
    /// @param hosts Hosts that share the slack, at least 1.
    extra_call_budget(extra_call_limits limits, std::uint32_t hosts);

    /// Changes the number of hosts that share the slack.
    void setHosts(std::uint32_t hosts);

    /// A request for the service was sent for the first time.
    void firstCall();

    /// @return True when a failed call may be repeated; the token is taken.
    bool takeRetry();

    /// @return True when a slow call may be hedged; the token is taken.
    bool takeHedge();

    /// @return True when takeHedge() would succeed.
    [[nodiscard]] bool canHedge() const;

    [[nodiscard]] double tokens() const { return m_tokens.tokens(); }

private:
    double m_slack;
    token_bucket m_tokens;
};

} // namespace orioledrum
