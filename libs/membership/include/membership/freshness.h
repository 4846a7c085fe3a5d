#pragma once

#include <base/monotonic_clock.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace orioledrum
{

/// Whether this host may act on its configuration and its view of the fleet.
enum class freshness_state : std::uint8_t {
    fresh, ///< A peer or the configuration service has confirmed the configuration, and the confirmation is still valid.
    stale, ///< The confirmation has expired or is not trusted, for example after a pause; no new work is started or sent.
    /// No peer answered, nor did the configuration service; new work continues with the current configuration. This state is
    /// independent of the isolated mode of leases, which concerns a whole zone.
    isolated,
};

/// Tracks the time until which the configuration counts as confirmed. "The service" is the configuration service. Request threads
/// call mayStartWork and markStale; the control thread calls the other functions.
class freshness
{
public:
    /// @param validity Time for which a confirmation is valid. @param answerTimeout Time to wait for an answer before the
    /// host counts as isolated.
    explicit freshness(std::chrono::milliseconds validity = std::chrono::milliseconds(3000),
                       std::chrono::milliseconds answerTimeout = std::chrono::milliseconds(1000));

    /// Decides whether new work may be started or sent. Called on the request path. When the confirmation has expired, marks
    /// the state stale, which becameStale() then reports to the control thread.
    /// @return Whether new work is allowed.
    bool mayStartWork(time_point now);
    /// Marks the state stale immediately, for example after a pause. Any thread.
    void markStale();

    /// Records that a peer or the service confirmed the configuration in an answer to this host. An unsolicited message does
    /// not confirm it, because the message may have waited in a buffer during a pause.
    /// @param requestedAt When the request was sent; the validity counts from then. @param now Time of receipt of the answer.
    /// @return Whether the state became fresh after having been stale or isolated. False when the answer is too old to
    /// count, or when becameStale() has not yet reported that the state became stale.
    bool confirm(time_point requestedAt, time_point now);
    /// Detects that the confirmation has expired or that markStale() was called.
    /// @return True when the host has become stale since the last call; also true on the first call. The caller then
    /// ends the leases, withdraws readiness, sends revalidation requests to all peers and the service, and calls
    /// recordRevalidationSent().
    bool becameStale(time_point now);
    /// Records that revalidation requests have been sent to all peers and to the service.
    void recordRevalidationSent(time_point now);
    /// Detects that no revalidation request was answered within the answer timeout. @return True when the host has just become isolated.
    bool becameIsolated(time_point now);

    /// @return The current state. Any thread.
    [[nodiscard]] freshness_state state() const { return m_state.load(std::memory_order_acquire); }
    /// @return The time until which the latest confirmation is valid; markStale() does not change it. Any thread.
    [[nodiscard]] time_point freshUntil() const;

private:
    std::chrono::milliseconds m_validity;
    std::chrono::milliseconds m_answerTimeout;
    std::atomic<monotonic_clock::rep> m_freshUntil{0};
    std::atomic<freshness_state> m_state{freshness_state::stale};
    std::atomic<bool> m_markedStale{false}; ///< markStale() was called since the last call of becameStale().
    time_point m_staleSince;
    time_point m_revalidationSentAt;
    bool m_staleReported = false; ///< becameStale() has returned true, and the state has not become fresh since then.
    bool m_revalidationSent = false;
};

} // namespace orioledrum
