#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <orders/ticket.h>
#include <wire/order_messages.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Limits of a ticket_store.
struct ticket_store_settings {
    std::chrono::seconds ticketLifetime{60}; ///< Maximum time from issuing to the first submission.
    std::chrono::seconds retention{600}; ///< How long a ticket is remembered after its lifetime.
    std::size_t maxTickets = 200000; ///< Maximum number of remembered tickets; issuing is refused when it is reached.
    std::size_t maxAnswerBytes = 64U << 20U; ///< Maximum total size of remembered answer bodies; issuing is refused when it is reached.
    std::size_t maxWaiters = 16; ///< Maximum number of repeated submissions waiting for one order.
};

/// State of an order as found by ticket_store::submit.
enum class submission_state : std::uint8_t {
    accepted, ///< First submission: the caller of submit must run the order and call finish.
    waiting, ///< The order is in progress; the callback will be called with its outcome.
    settled, ///< The remembered outcome or a refusal is in `submission::answer`; the callback is not called.
};

/// Result of ticket_store::submit.
struct submission {
    submission_state state = submission_state::settled;
    order_answer answer; ///< Meaningful with settled.
};

/// Issues the tickets of one incarnation of an entry host and remembers the outcomes of their orders. Thread-safe.
class ticket_store
{
public:
    using answer_callback = std::function<void(const order_answer &answer)>;

    /// @param host Id of this entry host; must be valid in a ticket's text form.
    /// @param incarnation Incarnation of this process; must be valid in a ticket's text form.
    /// @return An empty store, or invalidArgument when an id is not valid in a ticket.
    static expected<std::unique_ptr<ticket_store>> create(entry_host_id host, incarnation_id incarnation, ticket_store_settings settings);

    /// @return A new ticket, or overloaded when the store is full.
    expected<ticket> issue(time_point now);

    /// Submits an order under a ticket.
    ///
    /// Refusals are returned as settled with one of these answers:
    /// - ticketConflict, notRun: the ticket was used with another order; this one was not run.
    /// - unknownTicket, notRun: the ticket expired unused.
    /// - unknownTicket, unknown: the ticket is not remembered, was never issued, or was issued by another host or incarnation.
    /// - overloaded, unknown: too many repeated submissions wait for the order.
    /// @param request The order; service, customer and body must be the same in every submission.
    /// @param callback Called once if the result is waiting, on the thread that calls finish. Never called if the order is
    /// not finished before its ticket is forgotten.
    submission submit(const ticket &ticket, const order_request &request, answer_callback callback, time_point now);

    /// Records the outcome of an accepted order and calls the waiting callbacks without holding the lock. Later calls for the
    /// ticket have no effect.
    void finish(const ticket &ticket, const order_answer &answer, time_point now);

    /// Forgets tickets whose lifetime and retention time have passed. issue, submit and finish also do this.
    void expire(time_point now);

    /// @return Number of remembered tickets.
    [[nodiscard]] std::size_t size() const;

private:
    enum class ticket_phase : std::uint8_t { issued, running, done };
    struct content_digest {
        std::uint64_t first = 0;
        std::uint64_t second = 0;
        bool operator==(const content_digest &other) const = default;
    };
    struct ticket_entry {
        ticket_phase phase = ticket_phase::issued;
        bool used = false; // Submitted at least once, so that contentDigest is set.
        time_point issued;
        content_digest contentDigest;
        std::unique_ptr<order_answer> answer; // Set when done; without the ticket's text.
        std::vector<answer_callback> waiters;
    };

    ticket_store(entry_host_id host, incarnation_id incarnation, ticket_store_settings settings);
    static content_digest computeDigest(const order_request &request);
    void expireLocked(time_point now);

    mutable std::mutex m_mutex;
    const entry_host_id m_host;
    const incarnation_id m_incarnation;
    const ticket_store_settings m_settings;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_oldestSequence = 1; // Every lower sequence has been forgotten.
    std::size_t m_answerBytes = 0;
    std::unordered_map<std::uint64_t, ticket_entry> m_entries;
};

} // namespace orioledrum
