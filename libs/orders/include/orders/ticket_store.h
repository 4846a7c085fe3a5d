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

/// Bounds of a ticket_store.
struct ticket_store_settings {
    std::chrono::seconds ticketLife{60}; ///< From minting to the first submission at the latest.
    std::chrono::seconds memory{600}; ///< How long a ticket is remembered after its life.
    std::size_t maxTickets = 200000; ///< Minting is refused above it.
    std::size_t maxAnswerBytes = 64U << 20U; ///< Remembered answer bodies; minting is refused above it.
    std::size_t maxWaiters = 16; ///< Repeats of one order that wait at the same time.
};

/// What submit found.
enum class submission_state : std::uint8_t {
    accepted, ///< First submission: the caller of submit runs the order and calls finish.
    waiting, ///< The order is in progress; the callback is called with its outcome.
    settled, ///< The answer is in `answer`.
};

/// Result of ticket_store::submit.
struct submission {
    submission_state state = submission_state::settled;
    order_answer answer; ///< With settled: the remembered outcome, or a refusal.
};

/// The tickets that one incarnation of an entry host has minted, with their outcomes. Thread-safe.
class ticket_store
{
public:
    using answer_callback = std::function<void(const order_answer &answer)>;

    /// @param host Id of this entry host; must be valid in a ticket's text form.
    /// @param incarnation This run of the process.
    /// @return invalidArgument when an id cannot be part of a ticket.
    static expected<std::unique_ptr<ticket_store>> create(entry_host_id host, incarnation_id incarnation, ticket_store_settings settings);

    /// @return A new ticket, or overloaded when the store is full.
    expected<ticket> mint(time_point now);

    /// Submits an order under a ticket.
    ///
    /// Refusals are settled answers: ticketConflict when the ticket was used with another order (outcome of this
    /// submission: notRun), unknownTicket with notRun when the ticket expired unused, unknownTicket with unknown when
    /// the ticket is not remembered, was never minted or belongs to another incarnation, and overloaded with unknown
    /// when too many repeats wait already.
    /// @param ticket The ticket.
    /// @param request The order; service, customer and body must be the same in every submission.
    /// @param callback Called once, from the thread that calls finish, if the result is waiting.
    submission submit(const ticket &ticket, const order_request &request, answer_callback callback, time_point now);

    /// Records the outcome of an accepted order, once, and calls the waiting callbacks.
    void finish(const ticket &ticket, const order_answer &answer, time_point now);

    /// Forgets tickets whose time is over. Also done by mint.
    void expire(time_point now);

    /// @return Number of remembered tickets.
    [[nodiscard]] std::size_t size() const;

private:
    enum class state : std::uint8_t { minted, running, done };
    struct digest {
        std::uint64_t first = 0;
        std::uint64_t second = 0;
        bool operator==(const digest &other) const = default;
    };
    struct ticket_entry {
        state phase = state::minted;
        bool used = false; // Submitted at least once; otherwise it has no content.
        time_point minted;
        digest content;
        std::unique_ptr<order_answer> answer; // Without the ticket's text, once done.
        std::vector<answer_callback> waiters;
    };

    ticket_store(entry_host_id host, incarnation_id incarnation, ticket_store_settings settings);
    static digest digestOf(const order_request &request);
    void expireLocked(time_point now);

    mutable std::mutex m_mutex;
    const entry_host_id m_host;
    const incarnation_id m_incarnation;
    const ticket_store_settings m_settings;
    std::uint64_t m_next = 1;
    std::uint64_t m_oldest = 1; // Lowest sequence that may still be remembered.
    std::size_t m_answerBytes = 0;
    std::unordered_map<std::uint64_t, ticket_entry> m_entries;
};

} // namespace orioledrum
