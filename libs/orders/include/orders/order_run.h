#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <orders/ticket.h>
#include <wire/order_messages.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace orioledrum
{

/// A backend server that can run the order, with the entry host that is believed to own it.
struct order_target {
    backend_id backend;
    entry_host_id owner;
};

/// Send the order to an owner (which may be this host). The transport must send it at most once.
struct send_order {
    entry_host_id owner;
    order_request request;
};

/// The order has its outcome; nothing follows. Pass it to ticket_store::finish.
struct finish_order {
    order_answer answer;
};

using order_action = std::variant<send_order, finish_order>;

/// One order at the host that minted its ticket. Not thread-safe.
class order_run
{
public:
    /// Time before the deadline at which the outcome is given at the latest.
    static constexpr std::chrono::milliseconds answerMargin{5};

    /// @param ticket The ticket that ticket_store::submit accepted.
    /// @param request The order as submitted; its remaining time is replaced.
    /// @param targets Backend servers in order of preference, without those that get no new work.
    /// @param deadline Time until which the caller waits.
    order_run(const ticket &ticket, order_request request, std::vector<order_target> targets, time_point deadline);

    /// Sends the first attempt, or finishes with notRun when there is no target or no time.
    void start(time_point now);

    /// An owner answered. An explicit refusal (notRun with notOwner, notReady, draining or unreachable) makes the run
    /// choose another owner; the hint of notOwner is followed once.
    void answered(const order_answer &answer, time_point now);

    /// The attempt was not sent: it is certain that no byte of it left this host.
    void notSent(std::uint64_t attempt, time_point now);

    /// The stream of the attempt broke after it may have been sent: the outcome is unknown.
    void streamBroken(std::uint64_t attempt, time_point now);

    /// Applies the passing of time. Called at nextWakeup or later.
    void wakeup(time_point now);

    /// @return When wakeup has something to do; nothing when finished.
    [[nodiscard]] std::optional<time_point> nextWakeup() const;
    [[nodiscard]] bool finished() const { return m_finished; }

    /// Appends the pending actions to out, in order, and clears them.
    void takeActions(std::vector<order_action> &out);

private:
    void send(order_target target, time_point now);
    void sendNext(error_code reason, std::string message, time_point now);
    void finish(order_outcome outcome, error_code code, std::string message, std::string body = {});

    std::string m_ticketText;
    order_request m_request;
    std::vector<order_target> m_targets;
    std::size_t m_nextTarget = 0;
    order_target m_current;
    time_point m_deadline;
    std::uint64_t m_attempt = 0;
    bool m_outstanding = false;
    bool m_hintFollowed = false;
    bool m_finished = false;
    std::vector<order_action> m_actions;
};

} // namespace orioledrum
