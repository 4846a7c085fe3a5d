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

/// Limits of an order_guard.
struct order_guard_settings {
    std::chrono::seconds retention{900}; ///< How long an attempt is remembered; longer than the lifetime of a ticket.
    std::size_t maxAttempts = 200000; ///< When reached, the oldest attempt is forgotten if settled; otherwise new ones are refused.
};

/// What the owner must do with a received order.
enum class guard_verdict : std::uint8_t {
    proceed, ///< A new attempt: queue it for its backend server.
    inProgress, ///< A duplicate of an attempt in progress: ignore it; the first message is answered.
    answer, ///< Send `guard_decision::answer`.
};

/// Result of order_guard::receive.
struct guard_decision {
    guard_verdict verdict = guard_verdict::answer;
    order_answer answer; ///< Meaningful with guard_verdict::answer.
};

/// How the call of an order to its backend server ended.
enum class order_send_result : std::uint8_t {
    ran, ///< The backend server answered that it ran the order.
    backendRefused, ///< The backend server answered that it did not run the order (X-Not-Run).
    noByteSent, ///< The connection could not be opened, so no byte was sent.
    noUsableAnswer, ///< Anything else, so the order may have run: timeout, closed connection or unusable answer.
};

/// Ensures that an owner sends each attempt of an order to a backend server at most once, and never after the owner has
/// refused the attempt. Each worker of an owner has its own guard. Not thread-safe.
///
/// Call order: receive, tryBeginWrite immediately before the write, then finish. Call refuse to reject an attempt before the
/// write. The state need not survive a restart, because messages to a stopped process are assumed to be lost with their
/// connection.
class order_guard
{
public:
    explicit order_guard(order_guard_settings settings);

    /// Registers a received attempt. An attempt that may have been forgotten is answered with unknown and never sent: tickets
    /// of one incarnation are numbered, so this applies to every sequence up to the highest forgotten one. A malformed ticket is
    /// answered with notRun. When no further attempt can be remembered, the answer is unknown with overloaded.
    guard_decision receive(const order_request &request, time_point now);

    /// Refuses an attempt before its write. From then on tryBeginWrite returns false for it.
    /// @return The answer to send: notRun; the recorded answer if the attempt is settled already; or unknown if its write was
    /// allowed already or the attempt is not remembered.
    order_answer refuse(const std::string &ticket, std::uint64_t attempt, error_code code, std::string message, time_point now);

    /// Claims the right to write the attempt to the connection. When the deadline or the lease has ended, the attempt is
    /// refused for good.
    /// @param leaseEnd Time from which the owner's lease allows no further write, read immediately before the call.
    /// @param refusal Receives the answer to send when the result is false; may be null.
    /// @return True at most once for an attempt, and only before its deadline and the end of the lease.
    bool tryBeginWrite(const std::string &ticket, std::uint64_t attempt, time_point leaseEnd, time_point now, order_answer *refusal);

    /// Records the outcome of an attempt. The first recorded outcome is final.
    /// @param body The backend server's answer when it ran the order.
    /// @return The answer to send to the issuing host; unknown if the attempt is not remembered.
    order_answer finish(const std::string &ticket,
                        std::uint64_t attempt,
                        order_send_result sendResult,
                        error_code code,
                        std::string message,
                        std::string body,
                        time_point now);

    /// Forgets attempts older than the retention time. receive also does this.
    void expire(time_point now);

    /// @return Number of remembered attempts.
    [[nodiscard]] std::size_t size() const { return m_attempts.size(); }

private:
    enum class phase : std::uint8_t { received, writeStarted, settled };
    using key = std::pair<std::string, std::uint64_t>;
    struct attempt_state {
        phase currentPhase = phase::received;
        time_point deadline;
        order_answer answer; // Set when settled; without the body.
    };
    struct forgotten_range {
        std::uint64_t highestSequence = 0; // Highest ticket sequence of a forgotten attempt.
        time_point updatedAt;
    };

    const order_answer &settle(const key &attempt, attempt_state &state, order_outcome outcome, error_code code, std::string message);
    bool forgetOldest(bool includeInProgress, time_point now);

    order_guard_settings m_settings;
    std::map<key, attempt_state> m_attempts;
    std::deque<std::pair<time_point, key>> m_byArrival; // Oldest first.
    std::unordered_map<incarnation_id, forgotten_range> m_forgottenRanges;
};

} // namespace orioledrum
