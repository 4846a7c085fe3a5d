#pragma once

#include <base/monotonic_clock.h>
#include <limits/usage_cap.h>
#include <limits/usage_cap_owner.h>
#include <limits/usage_grant.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Whom a request for tokens is sent to.
enum class usage_source : std::uint8_t {
    owner,
    zone, ///< The reserve of this host's zone.
};

/// Send a request for tokens; its answer goes to usage_cap_client::answered().
struct usage_question {
    struct item {
        std::string organisation;
        std::uint32_t tokens = 0;
    };

    std::uint64_t id = 0;
    std::string address;
    usage_source source = usage_source::owner;
    std::vector<item> items;
    std::chrono::microseconds timeout{0}; ///< Time after which the answer is not waited for.
};

/// Whether a waiting request may be served.
struct usage_decision {
    std::uint64_t request = 0; ///< As given to usage_cap_client::acquire().
    /// granted; refused when the cap is reached; unavailable when no host that could tell answers and the reserves are used up.
    usage_grant::kind result = usage_grant::kind::unavailable;
    std::chrono::microseconds retryAfter{0};
};

/// Counts since the start of the process.
struct usage_counts {
    std::uint64_t asked = 0; ///< Tokens asked from other hosts.
    std::uint64_t granted = 0; ///< Tokens granted by owners, this host included.
    std::uint64_t refused = 0; ///< Requests refused because the cap is reached.
    std::uint64_t zoneReserve = 0; ///< Tokens taken from the reserve of the zone.
    std::uint64_t hostReserve = 0; ///< Tokens taken from this host's reserve.
    std::uint64_t unavailable = 0; ///< Requests refused because no owner answered and the reserves were used up.
};

/// Gets a token for each request of an organisation with a cap: from the tokens that this host holds, from the owner, and from the reserves
/// when the owner does not answer. A state machine without I/O; used by one thread.
class usage_cap_client
{
public:
    /// Tokens beyond the wanted ones that are asked for, as the number of requests that arrive in this time. It saves a host with much
    /// demand most of its questions; what is not used is lost to the other hosts.
    static constexpr std::chrono::milliseconds prefetchTime{100};
    /// Time over which the demand of an organisation is averaged.
    static constexpr std::chrono::milliseconds demandTime{1000};
    /// Time after a question without an answer in which that host is not asked, so that requests do not wait for it one after the other.
    static constexpr std::chrono::milliseconds silenceBackoff{250};
    /// Longest time in which requests are refused without asking after a refusal.
    static constexpr std::chrono::milliseconds maxLocalRefusal{100};

    /// Both must outlive this object.
    usage_cap_client(const usage_fleet &fleet, usage_cap_owner &owner);
    virtual ~usage_cap_client() = default;
    usage_cap_client(const usage_cap_client &) = delete;
    usage_cap_client &operator=(const usage_cap_client &) = delete;

    /// Asks for a token. The decision is in takeDecisions(), at once or after an answer.
    /// @param request Chosen by the caller; unique among those without a decision.
    /// @param patience How long the request may wait for the answer of one host.
    void acquire(std::uint64_t request, const usage_cap &cap, std::chrono::microseconds patience, time_point now);

    /// Forgets a request that has no decision yet; a token that arrives for it may serve another one.
    void cancel(std::uint64_t request);

    /// @param grants In the order of the items of the question.
    void answered(std::uint64_t question, const std::vector<usage_grant> &grants, time_point now);
    /// Handles a question without a usable answer.
    void failed(std::uint64_t question, time_point now);

    /// @return Questions to send since the last call, one for each host and source.
    std::vector<usage_question> takeQuestions();
    std::vector<usage_decision> takeDecisions();

    [[nodiscard]] const usage_counts &counts() const { return m_counts; }

    /// Forgets all tokens, after a pause of the process.
    void restart();

protected:
    /// @return Time from a question after which its tokens are not used. A test that does not want them to expire overrides it.
    [[nodiscard]] virtual std::chrono::microseconds tokenLife(const usage_cap &cap) const { return cap.tokenLife(); }

private:
    struct waiting_request {
        std::uint64_t request = 0;
        usage_cap cap;
        std::chrono::microseconds patience{0};
    };

    struct held_tokens {
        std::uint32_t count = 0;
        time_point expiresAt;
    };

    struct organisation_state {
        std::deque<held_tokens> tokens; ///< Oldest first.
        time_point refusedUntil;
        time_point expectedTokenAt; ///< Of the latest refusal.
        double demand = 0; ///< Requests a second, moving mean.
        time_point demandAt;
    };

    struct open_question {
        usage_question question;
        std::vector<usage_cap> caps; ///< For each item.
        std::vector<std::vector<waiting_request>> waiting; ///< For each item.
        time_point askedAt;
        bool taken = false;
    };

    void ask(usage_source source, const usage_host &host, std::uint32_t extra, waiting_request &&waiting, time_point now);
    void askOwner(waiting_request &&waiting, time_point now);
    void askZone(waiting_request &&waiting, time_point now);
    void takeHostReserve(const waiting_request &waiting, time_point now);
    void decide(std::uint64_t request, const usage_grant &grant);
    void refuse(const waiting_request &waiting, const usage_grant &grant, time_point now);
    bool takeToken(organisation_state &state, time_point now);
    void recordDemand(organisation_state &state, time_point now);

    const usage_fleet &m_fleet;
    usage_cap_owner &m_owner;
    std::unordered_map<std::string, organisation_state> m_organisations;
    std::map<std::uint64_t, open_question> m_questions;
    std::unordered_map<std::string, time_point> m_silentUntil; ///< By address.
    std::vector<usage_decision> m_decisions;
    usage_counts m_counts;
    std::uint64_t m_lastId = 0;
};

} // namespace orioledrum
