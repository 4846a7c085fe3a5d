#include <orders/order_run.h>

#include <iterator>
#include <utility>

namespace orioledrum
{

namespace
{

// Returns true for refusals after which another owner or backend server may accept the order. overloaded is not among them:
// retrying orders elsewhere under overload would add to the load.
bool allowsAnotherOwner(error_code code)
{
    return code == error_code::notOwner || code == error_code::notReady || code == error_code::draining || code == error_code::unreachable;
}

} // namespace

order_run::order_run(const ticket &ticket, order_request request, std::vector<order_target> targets, time_point deadline)
    : m_ticketText(ticket.text())
    , m_request(std::move(request))
    , m_targets(std::move(targets))
    , m_deadline(deadline)
{
    m_request.ticket = m_ticketText;
}

void order_run::start(time_point now)
{
    if (m_targets.empty()) {
        finish(order_outcome::notRun, error_code::notReady, "no backend server of the service is in service");
        return;
    }
    sendToNextTarget(error_code::deadlineExceeded, {}, now);
}

// Sends the order to the next target. If there is none, finishes with notRun and the given reason, which says why the previous
// target did not run the order.
void order_run::sendToNextTarget(error_code reason, std::string message, time_point now)
{
    if (now >= m_deadline - answerMargin) {
        finish(order_outcome::notRun, error_code::deadlineExceeded, "the deadline passed before an owner accepted the order");
        return;
    }
    if (m_nextTarget >= m_targets.size()) {
        finish(order_outcome::notRun, reason, std::move(message));
        return;
    }
    sendAttempt(m_targets[m_nextTarget++], now);
}

void order_run::sendAttempt(order_target target, time_point now)
{
    m_currentTarget = std::move(target);
    m_attemptOutstanding = true;
    m_request.attempt = ++m_attempt;
    m_request.backend = m_currentTarget.backend;
    m_request.remaining = std::chrono::duration_cast<std::chrono::microseconds>(m_deadline - answerMargin - now);
    m_actions.emplace_back(send_order{m_currentTarget.owner, m_request});
}

void order_run::answered(const order_answer &answer, time_point now)
{
    if (m_finished || !m_attemptOutstanding || answer.attempt != m_attempt || answer.ticket != m_ticketText) {
        return;
    }
    m_attemptOutstanding = false;
    switch (answer.outcome) {
    case order_outcome::ran:
        finish(order_outcome::ran, answer.code, answer.message, answer.body);
        return;
    case order_outcome::unknown:
        finish(order_outcome::unknown, answer.code, answer.message);
        return;
    case order_outcome::notRun:
        break;
    }
    if (!allowsAnotherOwner(answer.code)) {
        finish(order_outcome::notRun, answer.code, answer.message);
        return;
    }
    const bool hasOwnerHint = answer.code == error_code::notOwner && !answer.holder.empty() && answer.holder != m_currentTarget.owner;
    if (hasOwnerHint && !m_ownerHintFollowed && now < m_deadline - answerMargin) {
        m_ownerHintFollowed = true;
        sendAttempt({m_currentTarget.backend, answer.holder}, now);
        return;
    }
    sendToNextTarget(answer.code, answer.message, now);
}

void order_run::notSent(std::uint64_t attempt, time_point now)
{
    if (m_finished || !m_attemptOutstanding || attempt != m_attempt) {
        return;
    }
    m_attemptOutstanding = false;
    sendToNextTarget(error_code::unreachable, "no owner could be reached; the order was not sent", now);
}

void order_run::streamBroken(std::uint64_t attempt, time_point /*now*/)
{
    if (m_finished || !m_attemptOutstanding || attempt != m_attempt) {
        return;
    }
    finish(order_outcome::unknown, error_code::unreachable, "the connection to the owner broke after the order had been sent");
}

void order_run::wakeup(time_point now)
{
    if (m_finished || now < m_deadline - answerMargin) {
        return;
    }
    // Without an outstanding attempt, no owner can still run the order.
    finish(m_attemptOutstanding ? order_outcome::unknown : order_outcome::notRun,
           error_code::deadlineExceeded,
           "no answer before the deadline");
}

std::optional<time_point> order_run::nextWakeup() const
{
    if (m_finished) {
        return std::nullopt;
    }
    return m_deadline - answerMargin;
}

void order_run::finish(order_outcome outcome, error_code code, std::string message, std::string body)
{
    m_finished = true;
    m_attemptOutstanding = false;
    order_answer answer;
    answer.ticket = m_ticketText;
    answer.attempt = m_attempt;
    answer.outcome = outcome;
    answer.code = code;
    answer.message = std::move(message);
    answer.body = std::move(body);
    m_actions.emplace_back(finish_order{std::move(answer)});
}

void order_run::takeActions(std::vector<order_action> &out)
{
    out.insert(out.end(), std::make_move_iterator(m_actions.begin()), std::make_move_iterator(m_actions.end()));
    m_actions.clear();
}

} // namespace orioledrum
