#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <orders/ticket.h>
#include <wire/order_messages.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace orioledrum
{

/// Bounds of an order_guard.
struct order_guard_settings {
    std::chrono::seconds memory{900}; ///< How long an attempt is remembered; longer than a ticket lives.
    std::size_t maxAttempts = 200000; ///< Above it the oldest settled attempt is forgotten early.
};

/// What the owner does with an order that arrived.
enum class guard_verdict : std::uint8_t {
    proceed, ///< New: queue it for its backend server.
    inProgress, ///< A duplicate of one in progress: ignore it, the first one is answered.
    answer, ///< Send `answer`.
};

/// Result of order_guard::receive.
struct guard_decision {
    guard_verdict verdict = guard_verdict::answer;
    order_answer answer;
};

/// What is known about an order after it was handed to the connection, or instead of handing it on.
enum class order_evidence : std::uint8_t {
    ran, ///< The backend server answered that it ran it.
    backendRefused, ///< The backend server answered that it did not run it (X-Not-Run).
    noByteSent, ///< The connection could not be opened; no byte was handed to it.
    lost, ///< Anything else: timed out, closed, unusable answer.
};

/// Makes sure that an owner hands each attempt of an order to a backend server at most once, and one that it has
/// refused never. One per owning worker; not thread-safe.
///
/// Sequence: receive; then mayWrite immediately before the write; then finish. A refusal before the write goes
/// through refuse. Messages to a stopped process are assumed lost with their connection, so the memory need not
/// survive a restart.
class order_guard
{
public:
    explicit order_guard(order_guard_settings settings);

    /// An order arrived. An attempt that may have been forgotten is answered with unknown and never handed on: tickets of
    /// one incarnation are numbered, so everything up to the highest forgotten number is treated so.
    guard_decision receive(const order_request &request, time_point now);

    /// Refuses an attempt that is not handed on. From then on mayWrite is false for it.
    /// @return The answer to send: notRun, or unknown if the attempt had been handed on already.
    order_answer refuse(const std::string &ticket, std::uint64_t attempt, error_code code, std::string message, time_point now);

    /// Decides on the write. True at most once for an attempt, and only before its deadline and the end of the lease;
    /// when false because of the time, the attempt is refused for good and `refusal` receives the answer.
    /// @param leaseEnd End of the owner's lease, read immediately before.
    bool mayWrite(const std::string &ticket, std::uint64_t attempt, time_point leaseEnd, time_point now, order_answer *refusal);

    /// Records what came of an attempt.
    /// @param body The backend server's answer, with ran.
    /// @return The answer to send to the minting host.
    order_answer finish(const std::string &ticket,
                        std::uint64_t attempt,
                        order_evidence evidence,
                        error_code code,
                        std::string message,
                        std::string body,
                        time_point now);

    /// Forgets attempts whose time is over. Also done by receive.
    void expire(time_point now);

    /// @return Number of remembered attempts.
    [[nodiscard]] std::size_t size() const { return m_attempts.size(); }

private:
    enum class phase : std::uint8_t { received, handedOn, settled };
    using key = std::pair<std::string, std::uint64_t>;
    struct attempt_state {
        phase step = phase::received;
        time_point deadline;
        order_answer answer; // Once settled; without the body.
    };
    struct forgotten {
        std::uint64_t sequence = 0; // Highest sequence of a forgotten attempt.
        time_point when;
    };

    const order_answer &settle(const key &attempt, attempt_state &state, order_outcome outcome, error_code code, std::string message);
    bool forgetOldest(bool inProgressToo, time_point now);

    order_guard_settings m_settings;
    std::map<key, attempt_state> m_attempts;
    std::deque<std::pair<time_point, key>> m_byAge;
    std::unordered_map<incarnation_id, forgotten> m_forgotten;
};

} // namespace orioledrum
