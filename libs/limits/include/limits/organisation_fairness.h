#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>

namespace orioledrum
{

struct organisation_fairness_settings {
    /// Time constant of the averages by which the capacity is divided. With longer ones, hosts with few requests drift further apart before
    /// the headroom brings them together: at 10 s, hosts of a fleet of 30 refused 4 to 7% of the requests of small organisations, at 5 s 1
    /// to 2%.
    std::chrono::milliseconds window{5000};
    /// Requests that are sent beyond those that are served now, as a share of all requests, so that a growing capacity is noticed. It does
    /// not depend on what a host sends, so that all hosts come to send the same share. Where a seventh is served, backend servers then
    /// refuse 7% of what is sent; a tenth of the requests within their caps may be refused while demand shifts.
    double headroom = 0.01;
    /// Least share of an organisation's requests that are sent, as a part of the share over all organisations. The bound is a quarter; the
    /// rest is for the errors of the averages.
    double minShare = 0.3;
    /// Time constant of the averages by which an overload is noticed: a host that sends 1.6 requests/s then knows about 128 of them. In the
    /// window it would often see no refusal by chance, and end the limit while the overload lasts.
    std::chrono::milliseconds overloadMemory{80'000};
    /// Below this share of refusals by backend servers nothing is refused here: half of the share of requests within their caps that may be
    /// refused in normal operation.
    double overloadShare = 0.01;
};

/// Decides under load which organisations' requests are sent. Organisations with few requests are served whole, and the rest of the
/// capacity is divided evenly among the others (max-min fairness), but each is served at least minShare times as often as all together. The
/// capacity is what backend servers have served of the requests that were sent. While they refuse hardly any, all requests are sent.
///
/// When fewer requests are served although fewer are sent, the refusals do not depend on what is sent. Then all are sent for a while.
///
/// State machine without I/O, used by one thread. Each host decides on the requests that it receives.
class organisation_fairness
{
public:
    explicit organisation_fairness(organisation_fairness_settings settings = {});

    /// Counts a request and decides on it.
    /// @return True when it is to be sent; ended() must then be called once.
    bool admit(std::string_view organisation, time_point now);

    /// @param overloaded The request was refused because backend servers are overloaded.
    void ended(bool overloaded, time_point now);

    /// @return The share of an organisation's requests that are sent now, from 0 to 1.
    [[nodiscard]] double sentShare(std::string_view organisation) const;

private:
    /// A count that decays with the window.
    struct decaying_count {
        double value = 0;
        time_point at;
    };

    struct organisation_state {
        decaying_count requests;
        double credit = 1; ///< Of a request is sent. The first request of an organisation is always sent.
    };

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    static void add(decaying_count &target, double count, std::chrono::milliseconds window, time_point now);
    /// @return Whether the limit is to be kept; false also for some time after it has not helped.
    bool limitHelps(time_point now);
    /// Finds the fair number of requests by the current averages, and forgets organisations without requests.
    void update(time_point now);
    [[nodiscard]] double shareOf(double requests) const;

    organisation_fairness_settings m_settings;
    std::unordered_map<std::string, organisation_state, text_hash, std::equal_to<>> m_organisations;
    decaying_count m_sent;
    decaying_count m_served;
    decaying_count m_overloaded;
    decaying_count m_recentlyServed; ///< In overloadMemory, as the next one.
    decaying_count m_recentlyOverloaded;
    time_point m_updatedAt;
    time_point m_limitedSince;
    time_point m_releasedUntil;
    std::chrono::milliseconds m_releaseTime; ///< Of the next release.
    double m_servedAtStart = 0; ///< Value of m_recentlyServed when the limit began.
    bool m_limited = false;
    double m_fairRequests = 0; ///< In the window; an organisation with more is served in part.
    double m_leastShare = 0; ///< minShare of the share that is sent over all organisations.
};

} // namespace orioledrum
