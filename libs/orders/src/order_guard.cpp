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
        if (found->second.step != phase::settled) {
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
        // This answer is not remembered, so it must not promise that the attempt never runs.
        return {
            guard_verdict::answer,
            makeAnswer(request.ticket, request.attempt, order_outcome::unknown, error_code::overloaded, "too many orders are in progress")};
    }
    const auto gone = m_forgotten.find(parsed->incarnation);
    if (gone != m_forgotten.end() && parsed->sequence <= gone->second.sequence) {
        return {guard_verdict::answer, forgottenAnswer(request.ticket, request.attempt)};
    }
    attempt_state state;
    state.deadline = now + request.remaining;
    m_attempts.emplace(attempt, std::move(state));
    m_byAge.emplace_back(now, attempt);
    return {guard_verdict::proceed, {}};
}

const order_answer &
order_guard::settle(const key &attempt, attempt_state &state, order_outcome outcome, error_code code, std::string message)
{
    state.step = phase::settled;
    state.answer = makeAnswer(attempt.first, attempt.second, outcome, code, std::move(message));
    return state.answer;
}

order_answer order_guard::refuse(const std::string &ticket, std::uint64_t attempt, error_code code, std::string message, time_point /*now*/)
{
    const auto found = m_attempts.find({ticket, attempt});
    if (found == m_attempts.end()) {
        return forgottenAnswer(ticket, attempt);
    }
    switch (found->second.step) {
    case phase::received:
        return settle(found->first, found->second, order_outcome::notRun, code, std::move(message));
    case phase::handedOn:
        return makeAnswer(ticket, attempt, order_outcome::unknown, code, std::move(message));
    case phase::settled:
        break;
    }
    return found->second.answer;
}

bool order_guard::mayWrite(const std::string &ticket, std::uint64_t attempt, time_point leaseEnd, time_point now, order_answer *refusal)
{
    const auto answer = [refusal](const order_answer &value) {
        if (refusal != nullptr) {
            *refusal = value;
        }
        return false;
    };
    const auto found = m_attempts.find({ticket, attempt});
    if (found == m_attempts.end()) {
        return answer(forgottenAnswer(ticket, attempt));
    }
    auto &state = found->second;
    switch (state.step) {
    case phase::received:
        break;
    case phase::handedOn:
        return answer(makeAnswer(ticket, attempt, order_outcome::unknown, error_code::conflict, "the attempt was handed on already"));
    case phase::settled:
        return answer(state.answer);
    }
    if (now >= leaseEnd) {
        return answer(
            settle(found->first, state, order_outcome::notRun, error_code::notOwner, "the lease ended before the order was sent"));
    }
    if (now >= state.deadline) {
        return answer(settle(
            found->first, state, order_outcome::notRun, error_code::deadlineExceeded, "the deadline passed before the order was sent"));
    }
    state.step = phase::handedOn;
    return true;
}

order_answer order_guard::finish(const std::string &ticket,
                                 std::uint64_t attempt,
                                 order_evidence evidence,
                                 error_code code,
                                 std::string message,
                                 std::string body,
                                 time_point /*now*/)
{
    const auto found = m_attempts.find({ticket, attempt});
    if (found == m_attempts.end()) {
        return forgottenAnswer(ticket, attempt);
    }
    if (found->second.step == phase::settled) {
        return found->second.answer;
    }
    auto outcome = order_outcome::unknown;
    switch (evidence) {
    case order_evidence::ran:
        outcome = order_outcome::ran;
        break;
    case order_evidence::backendRefused:
    case order_evidence::noByteSent:
        outcome = order_outcome::notRun;
        break;
    case order_evidence::lost:
        break;
    }
    auto answer = settle(found->first, found->second, outcome, code, std::move(message));
    answer.body = std::move(body);
    return answer;
}

void order_guard::expire(time_point now)
{
    while (!m_byAge.empty() && now - m_byAge.front().first >= m_settings.memory && forgetOldest(true, now)) {
    }
    if (!m_forgotten.empty()) {
        std::erase_if(m_forgotten, [this, now](const auto &entry) { return now - entry.second.when >= m_settings.memory; });
    }
}

// Forgets the attempt that was received first. Returns false when that one is in progress and may not be forgotten.
bool order_guard::forgetOldest(bool inProgressToo, time_point now)
{
    if (m_byAge.empty()) {
        return false;
    }
    const auto &oldest = m_byAge.front().second;
    const auto found = m_attempts.find(oldest);
    if (found != m_attempts.end()) {
        if (found->second.step != phase::settled && !inProgressToo) {
            return false;
        }
        const auto parsed = ticket::parse(oldest.first);
        auto &gone = m_forgotten[parsed->incarnation];
        gone.sequence = std::max(gone.sequence, parsed->sequence);
        gone.when = now;
        m_attempts.erase(found);
    }
    m_byAge.pop_front();
    return true;
}

} // namespace orioledrum
