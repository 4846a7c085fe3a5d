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

/// A backend server that can run the order, and the host that this host considers its owner.
struct order_target {
    backend_id backend;
    entry_host_id owner;
};

/// Action: send the order to an owner, which may be this host. The transport must send it at most once.
struct send_order {
    entry_host_id owner;
    order_request request;
};

/// Last action of a run: pass the answer with the outcome to ticket_store::finish.
struct finish_order {
    order_answer answer;
};

using order_action = std::variant<send_order, finish_order>;

/// State machine of one order at the host that issued its ticket: sends the order to one owner after another until one
/// accepts it, and determines the outcome. Not thread-safe.
class order_run
{
public:
    /// The run ends this long before the deadline, so that the outcome reaches the caller in time.
    static constexpr std::chrono::milliseconds answerMargin{5};

    /// @param ticket The ticket that ticket_store::submit accepted.
    /// @param request The order as submitted; each attempt gets its own remaining time.
    /// @param targets Backend servers in order of preference, without those that get no new work.
    /// @param deadline Deadline of the caller.
    order_run(const ticket &ticket, order_request request, std::vector<order_target> targets, time_point deadline);

    /// Sends the first attempt, or finishes with notRun when there is no target or no time left.
    void start(time_point now);

    /// An owner answered. After an explicit refusal (notRun with notOwner, notReady, draining or unreachable) the order is
    /// sent to another owner; any other answer finishes the run. The lease holder that a notOwner refusal names is tried next,
    /// but only once in a run. An answer to an earlier attempt is ignored.
    void answered(const order_answer &answer, time_point now);

    /// The attempt was certainly not sent: no byte of it left this host. The next target is tried; if there is none,
    /// the run finishes with notRun.
    void notSent(std::uint64_t attempt, time_point now);

    /// The stream broke when the attempt may have been sent already. The run finishes with unknown.
    void streamBroken(std::uint64_t attempt, time_point now);

    /// Finishes the run when its time is over: with unknown while an attempt is outstanding, otherwise with notRun. Called at
    /// nextWakeup or later.
    void wakeup(time_point now);

    /// @return Time of the next wakeup call, or nothing when finished.
    [[nodiscard]] std::optional<time_point> nextWakeup() const;
    [[nodiscard]] bool finished() const { return m_finished; }

    /// Appends the pending actions to out, in the order in which they were produced, and clears them.
    void takeActions(std::vector<order_action> &out);

private:
    void sendAttempt(order_target target, time_point now);
    void sendToNextTarget(error_code reason, std::string message, time_point now);
    void finish(order_outcome outcome, error_code code, std::string message, std::string body = {});

    std::string m_ticketText;
    order_request m_request;
    std::vector<order_target> m_targets;
    std::size_t m_nextTarget = 0; // Position in m_targets.
    order_target m_currentTarget;
    time_point m_deadline;
    std::uint64_t m_attempt = 0;
    bool m_attemptOutstanding = false;
    bool m_ownerHintFollowed = false; // An attempt was sent to a lease holder named by a refusal.
    bool m_finished = false;
    std::vector<order_action> m_actions;
};

} // namespace orioledrum
