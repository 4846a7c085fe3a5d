#include <orders/order_guard.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

order_answer makeAnswer(const std::string &ticket, std::uint64_t attempt, order_outcome outcome, error_code code, std::string message)
{
    order_answer answer;
    answer.ticket = ticket;
    answer.attempt = attempt;
    answer.outcome = outcome;
    answer.code = code;
    answer.message = std::move(message);
    return answer;
}

order_answer forgottenAnswer(const std::string &ticket, std::uint64_t attempt)
{
    return makeAnswer(ticket, attempt, order_outcome::unknown, error_code::unknownTicket, "this attempt is not remembered here");
}

} // namespace

order_guard::order_guard(order_guard_settings settings)
    : m_settings(settings)
{
}

guard_decision order_guard::receive(const order_request &request, time_point now)
{
    expire(now);
    const key attempt(request.ticket, request.attempt);
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end()) {
        if (found->second.currentPhase != phase::settled) {
            return {guard_verdict::inProgress, {}};
        }
        return {guard_verdict::answer, found->second.answer};
    }
    const auto parsed = ticket::parse(request.ticket);
    if (!parsed) {
        return {guard_verdict::answer,
                makeAnswer(request.ticket, request.attempt, order_outcome::notRun, parsed.error().code, parsed.error().message)};
    }
    if (m_attempts.size() >= m_settings.maxAttempts && !forgetOldest(false, now)) {
        // This refusal is not remembered, so the answer must not promise that the attempt never runs: a duplicate
        // of the message may be accepted later.
        return {
            guard_verdict::answer,
            makeAnswer(request.ticket, request.attempt, order_outcome::unknown, error_code::overloaded, "too many orders are in progress")};
    }
    const auto forgottenRange = m_forgottenRanges.find(parsed->incarnation);
    if (forgottenRange != m_forgottenRanges.end() && parsed->sequence <= forgottenRange->second.highestSequence) {
        return {guard_verdict::answer, forgottenAnswer(request.ticket, request.attempt)};
    }
    attempt_state state;
    state.deadline = now + request.remaining;
    m_attempts.emplace(attempt, std::move(state));
    m_byArrival.emplace_back(now, attempt);
    return {guard_verdict::proceed, {}};
}

const order_answer &
order_guard::settle(const key &attempt, attempt_state &state, order_outcome outcome, error_code code, std::string message)
{
    state.currentPhase = phase::settled;
    state.answer = makeAnswer(attempt.first, attempt.second, outcome, code, std::move(message));
    return state.answer;
}

order_answer order_guard::refuse(const std::string &ticket, std::uint64_t attempt, error_code code, std::string message, time_point /*now*/)
{
    const auto found = m_attempts.find({ticket, attempt});
    if (found == m_attempts.end()) {
        return forgottenAnswer(ticket, attempt);
    }
    switch (found->second.currentPhase) {
    case phase::received:
        return settle(found->first, found->second, order_outcome::notRun, code, std::move(message));
    case phase::writeStarted:
        return makeAnswer(ticket, attempt, order_outcome::unknown, code, std::move(message));
    case phase::settled:
        break;
    }
    return found->second.answer;
}

bool order_guard::tryBeginWrite(const std::string &ticket,
                                std::uint64_t attempt,
                                time_point leaseEnd,
                                time_point now,
                                order_answer *refusal)
{
    const auto refuseWith = [refusal](const order_answer &value) {
        if (refusal != nullptr) {
            *refusal = value;
        }
        return false;
    };
    const auto found = m_attempts.find({ticket, attempt});
    if (found == m_attempts.end()) {
        return refuseWith(forgottenAnswer(ticket, attempt));
    }
    auto &state = found->second;
    switch (state.currentPhase) {
    case phase::received:
        break;
    case phase::writeStarted:
        return refuseWith(makeAnswer(ticket, attempt, order_outcome::unknown, error_code::conflict, "the attempt was handed on already"));
    case phase::settled:
        return refuseWith(state.answer);
    }
    if (now >= leaseEnd) {
        return refuseWith(
            settle(found->first, state, order_outcome::notRun, error_code::notOwner, "the lease ended before the order was sent"));
    }
    if (now >= state.deadline) {
        return refuseWith(settle(
            found->first, state, order_outcome::notRun, error_code::deadlineExceeded, "the deadline passed before the order was sent"));
    }
    state.currentPhase = phase::writeStarted;
    return true;
}

order_answer order_guard::finish(const std::string &ticket,
                                 std::uint64_t attempt,
                                 order_send_result sendResult,
                                 error_code code,
                                 std::string message,
                                 std::string body,
                                 time_point /*now*/)
{
    const auto found = m_attempts.find({ticket, attempt});
    if (found == m_attempts.end()) {
        return forgottenAnswer(ticket, attempt);
    }
    if (found->second.currentPhase == phase::settled) {
        return found->second.answer;
    }
    auto outcome = order_outcome::unknown;
    switch (sendResult) {
    case order_send_result::ran:
        outcome = order_outcome::ran;
        break;
    case order_send_result::backendRefused:
    case order_send_result::noByteSent:
        outcome = order_outcome::notRun;
        break;
    case order_send_result::noUsableAnswer:
        break;
    }
    auto answer = settle(found->first, found->second, outcome, code, std::move(message));
    answer.body = std::move(body);
    return answer;
}

void order_guard::expire(time_point now)
{
    while (!m_byArrival.empty() && now - m_byArrival.front().first >= m_settings.retention && forgetOldest(true, now)) {
    }
    if (!m_forgottenRanges.empty()) {
        std::erase_if(m_forgottenRanges, [this, now](const auto &entry) { return now - entry.second.updatedAt >= m_settings.retention; });
    }
}

// Forgets the oldest attempt. Returns false when there is none, or when it is in progress and includeInProgress is false.
bool order_guard::forgetOldest(bool includeInProgress, time_point now)
{
    if (m_byArrival.empty()) {
        return false;
    }
    const auto &oldest = m_byArrival.front().second;
    const auto found = m_attempts.find(oldest);
    if (found != m_attempts.end()) {
        if (found->second.currentPhase != phase::settled && !includeInProgress) {
            return false;
        }
        const auto parsed = ticket::parse(oldest.first);
        auto &forgottenRange = m_forgottenRanges[parsed->incarnation];
        forgottenRange.highestSequence = std::max(forgottenRange.highestSequence, parsed->sequence);
        forgottenRange.updatedAt = now;
        m_attempts.erase(found);
    }
    m_byArrival.pop_front();
    return true;
}

} // namespace orioledrum
