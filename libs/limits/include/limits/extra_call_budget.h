#pragma once

#include <limits/call_account.h>
#include <limits/slack_division.h>
#include <limits/token_bucket.h>

namespace orioledrum
{

/// Limits for extra calls (retries and hedges) to one service, over all hosts together.
struct extra_call_limits {
    double share = 0.2; ///< Extra calls allowed per request to the service, counted over the same time window.
    double slack = 10; ///< Extra calls allowed in a time window regardless of the number of requests.
};

/// Token bucket for the extra calls (retries and hedges) of this host to one service. Not thread-safe.
///
/// In a time window of any length, each host makes at most `capacity + share * its requests` extra calls. The capacities of all hosts add
/// up to standingSlackShare of the slack, so that all hosts together make at most `slack + share * all requests`, also when some of them
/// restart and get tokens anew.
class extra_call_budget
{
public:
    /// Fraction of the allowed share that is used; the rest is a margin for requests that an observer counts in
    /// another window than this host does, such as those that a paused host handles late.
    static constexpr double shareSafetyFactor = 0.95;
    /// Fraction of the slack that is divided among the hosts; the rest covers the tokens of hosts that restart. An earlier process of
    /// such a host may have used its part in the same window.
    static constexpr double standingSlackShare = 0.8;
    /// Tokens that hedges leave for retries of failed calls, as a fraction of the capacity.
    static constexpr double retryReserve = 0.3;

    /// @param limits Limits over all hosts.
    /// @param division Hosts that split the slack.
    extra_call_budget(extra_call_limits limits, slack_division division);

    /// Changes the hosts that split the slack. The first time that the granted part exceeds all earlier ones, the difference is added as
    /// tokens.
    void setDivision(slack_division division);

    /// Adds a fraction of a token (the share times shareSafetyFactor) for the first call of a request.
    void recordFirstCall();

    /// Takes a token for the retry of a failed call.
    /// @return False when no token is left; the call must not be retried.
    bool tryAcquireRetry();

    /// Takes a token for the hedge of a slow call.
    /// @return False when only the tokens reserved for retries are left; the call must not be hedged.
    bool tryAcquireHedge();

    /// @return True when a token for a hedge is available.
    [[nodiscard]] bool canHedge() const;

    [[nodiscard]] double tokens() const { return m_tokens.tokens(); }

    /// @return The calls that this budget has counted; the sender adds the requests that it writes.
    [[nodiscard]] call_account &account() { return m_account; }

private:
    double m_slack;
    double m_granted; // Tokens given without a request: the highest granted part so far.
    token_bucket m_tokens;
    call_account m_account;
};

} // namespace orioledrum
