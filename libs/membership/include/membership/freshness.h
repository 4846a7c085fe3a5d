#pragma once

#include <base/monotonic_clock.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// Whether this host's beliefs may be acted on.
enum class freshness_state : std::uint8_t {
    fresh, ///< Confirmed by a peer or the service within the validity.
    stale, ///< Not confirmed; no new work is started or sent.
    isolated, ///< Nobody answered; the host goes on with what it has.
};

/// Holds the time up to which the configuration counts as confirmed. Request threads call mayWork and markStale; the
/// control thread calls the rest.
class freshness
{
public:
    /// @param validity Time for which a confirmation counts. @param answerWait Time to wait for an answer before the
    /// host counts as isolated.
    explicit freshness(std::chrono::milliseconds validity = std::chrono::milliseconds(3000),
                       std::chrono::milliseconds answerWait = std::chrono::milliseconds(1000));

    /// Checks on the request path. Reports a passed time to the control thread by marking the beliefs stale.
    /// @param now The time. @return Whether new work may be started or sent.
    bool mayWork(time_point now);
    /// Marks the beliefs stale at once, for example after a pause. Any thread.
    void markStale();

    /// Notes that a peer or the service confirmed the configuration in an answer to this host. A message that a peer sends of
    /// its own accord confirms nothing, because it may have waited in a buffer during a pause. @param askedAt When the question
    /// was sent; the validity counts from then. @param now Time of receipt.
    /// @return Whether the state became fresh from stale or isolated.
    bool confirm(time_point askedAt, time_point now);
    /// Looks for a change. @param now The time.
    /// @return True when the host has just become stale: end leases, withdraw readiness, ask all peers and the service,
    /// then call asked().
    bool becameStale(time_point now);
    /// Notes that all peers and the service have been asked. @param now The time.
    void asked(time_point now);
    /// Decides whether the wait for an answer is over. @param now The time. @return True when the host has just become isolated.
    bool becameIsolated(time_point now);

    /// @return The present state. Any thread.
    [[nodiscard]] freshness_state state() const { return m_state.load(std::memory_order_acquire); }
    /// @return The time up to which the beliefs count as confirmed. Any thread.
    [[nodiscard]] time_point freshUntil() const;

private:
    std::chrono::milliseconds m_validity;
    std::chrono::milliseconds m_answerWait;
    std::atomic<monotonic_clock::rep> m_freshUntil{0};
    std::atomic<freshness_state> m_state{freshness_state::stale};
    std::atomic<bool> m_marked{false}; ///< markStale was called since becameStale last reported.
    time_point m_staleSince;
    time_point m_askedAt;
    bool m_reported = false; ///< becameStale has reported the present staleness.
    bool m_asked = false;
};

} // namespace orioledrum
