#include <search/forward_run.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

std::string_view toString(forward_end end)
{
    switch (end) {
    case forward_end::answered:
        return "answered";
    case forward_end::notRun:
        return "notRun";
    case forward_end::failed:
        return "failed";
    case forward_end::late:
        return "late";
    }
    return "late";
}

forward_run::forward_run(forward_input input, replica_registry &registry, latency_profile &profile)
    : m_input(std::move(input))
    , m_registry(registry)
    , m_profile(profile)
{
}

void forward_run::start(time_point now)
{
    if (!send(false, false, now)) {
        m_lastEnd = attempt_end::unreachable;
        finish(forward_end::notRun);
        return;
    }
    m_registry.budget(m_input.service).recordFirstCall();
    if (m_input.retrySafety == retry_safety::idempotent && m_input.maxServers > 1) {
        const auto hedgeDelay = static_cast<double>(m_profile.quantile(hedgeQuantile).count()) * hedgeFactor;
        m_hedgeAt = now + std::chrono::microseconds(static_cast<std::int64_t>(hedgeDelay));
    }
    scheduleWakeup();
}

bool forward_run::send(bool reuseTried, bool requireFreeSlot, time_point now)
{
    const auto unqueuedLatency = m_profile.unqueuedLatency(now);
    const auto server = m_registry.choose({&m_input.service, unqueuedLatency, &m_tried, reuseTried, requireFreeSlot}, now);
    if (!server) {
        return false;
    }
    const auto attempt = m_attemptCount++;
    m_outstanding.push_back(attempt);
    if (!reuseTried) {
        m_tried.push_back(server);
    }
    m_lastServer = server;
    const auto expectedLatency = server->latencyAtNormalSpeed(unqueuedLatency, now);
    server->callSent(attempt, expectedLatency, now);
    m_calls.push_back({attempt, server, m_input.deadline, expectedLatency});
    return true;
}

void forward_run::callEnded(std::uint64_t attempt, attempt_end end, time_point now)
{
    if (m_finished || std::erase(m_outstanding, attempt) == 0) {
        return;
    }
    m_lastEnd = end;
    if (end == attempt_end::served) {
        m_answeringAttempt = attempt;
        finish(forward_end::answered);
        return;
    }
    m_mayHaveRun = m_mayHaveRun || !provesNotRun(end);
    if (end == attempt_end::failed) {
        m_hasFailureAnswer = true;
        m_failureAttempt = attempt;
    }
    if (!m_outstanding.empty() || tryRetry(end, now)) {
        scheduleWakeup();
        return;
    }
    if (m_hasFailureAnswer) {
        m_answeringAttempt = m_failureAttempt;
        finish(forward_end::answered);
    } else {
        finish(m_mayHaveRun ? forward_end::failed : forward_end::notRun);
    }
}

bool forward_run::tryRetry(attempt_end end, time_point now)
{
    const bool allowed = m_input.retrySafety == retry_safety::idempotent || !m_mayHaveRun;
    auto &budget = m_registry.budget(m_input.service);
    if (!allowed || now >= m_input.deadline || m_attemptCount > m_input.maxServers || budget.tokens() < 1) {
        return false;
    }
    const bool mayReuseServer = end == attempt_end::shed || (end == attempt_end::broken && m_input.retrySafety == retry_safety::idempotent);
    const bool sent = (m_tried.size() < m_input.maxServers && send(false, false, now)) || (mayReuseServer && send(true, false, now));
    if (sent) {
        budget.tryAcquireRetry();
    }
    return sent;
}

void forward_run::wakeup(time_point now)
{
    if (m_finished) {
        return;
    }
    if (now >= m_input.deadline) {
        finish(forward_end::late);
        return;
    }
    if (now >= m_hedgeAt) {
        m_hedgeAt = time_point::max();
        auto &budget = m_registry.budget(m_input.service);
        if (m_outstanding.size() == 1 && m_tried.size() < m_input.maxServers && budget.canHedge() && send(false, true, now)) {
            budget.tryAcquireHedge();
        }
    }
    scheduleWakeup();
}

void forward_run::scheduleWakeup()
{
    m_nextWakeup = std::min(m_input.deadline, m_hedgeAt);
}

void forward_run::finish(forward_end end)
{
    m_finished = true;
    m_end = end;
    m_nextWakeup = time_point::max();
}

} // namespace orioledrum
