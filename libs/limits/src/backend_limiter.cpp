#include <limits/backend_limiter.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t maxServiceTimes = 32;
constexpr auto shedPenaltyTime = 1s;
constexpr auto probeInterval = 1s;
// Without new answers, the known load of other senders expires after this time. While that load takes up the whole limit,
// this host sends no calls, so no answer could report that the load has ended.
constexpr auto otherSlotsTimeout = 1s;
constexpr int rampTimeDivisor = 4; // Doublings of the limit are at least rampTime / rampTimeDivisor apart.
// A call is queued only if its expected wait is at most half of its remaining time. The other half covers service times above
// the median. Time during which the limit is known to be 0 is not counted as remaining time.
constexpr int maxWaitDivisor = 2;

} // namespace

expected<backend_limiter> backend_limiter::create(limiter_settings settings, time_point leaseEnd, time_point now)
{
    const auto fail = [](std::string message) { return makeError(error_code::invalidArgument, "create limiter", std::move(message)); };
    if (settings.slots == 0) {
        return fail("slots is 0");
    }
    if (settings.coldSlots == 0 || settings.coldSlots > settings.slots) {
        return fail("coldSlots is not between 1 and slots");
    }
    if (settings.connections < settings.slots) {
        return fail("connections is less than slots");
    }
    if (settings.connectionCost < 0us || settings.rampTime < 0us) {
        return fail("connectionCost or rampTime is negative");
    }
    if (settings.maxQueued == 0) {
        return fail("maxQueued is 0");
    }
    return backend_limiter(settings, leaseEnd, now);
}

backend_limiter::backend_limiter(limiter_settings settings, time_point leaseEnd, time_point now)
    : m_settings(settings)
    , m_leaseEnd(leaseEnd)
    , m_lastWarmAnswer(now)
    , m_lastAnswerOrProbe(now)
    , m_rampLimit(settings.coldSlots)
    , m_rampStepStart(now)
    , m_now(now)
{
    m_serviceTimes.reserve(maxServiceTimes);
}

bool backend_limiter::queue_key::operator<(const queue_key &other) const
{
    return std::tie(deadline, priority, sequence) < std::tie(other.deadline, other.priority, other.sequence);
}

std::uint32_t backend_limiter::limit(time_point now) const
{
    if (m_leaving || m_state == backend_state::draining) {
        return 0;
    }
    std::uint32_t limit = m_state == backend_state::cold || unconfirmed(now) ? m_settings.coldSlots : m_rampLimit;
    if (now < m_shedUntil) {
        // A warm backend server keeps one slot, so that answers can show its recovery. The limit of a
        // cold backend server may fall to 0.
        limit = m_state == backend_state::warm ? std::max(1U, limit - 1) : limit - 1;
    }
    limit /= m_sharingHosts;
    const std::uint32_t otherSlots = now < m_otherSlotsUntil ? m_otherSlots : 0;
    return limit > otherSlots ? limit - otherSlots : 0;
}

// Returns now if the limit is above 0, otherwise the time at which the penalty for load shedding and the load of other
// senders have both expired. Other causes of a limit of 0 are not considered.
time_point backend_limiter::zeroLimitUntil(time_point now) const
{
    return limit(now) != 0 ? now : std::max({now, m_shedUntil, m_otherSlotsUntil});
}

bool backend_limiter::unconfirmed(time_point now) const
{
    return now - m_lastWarmAnswer > confirmationTimeout;
}

bool backend_limiter::limitsConnectionRate(time_point now) const
{
    return m_state != backend_state::warm || unconfirmed(now) || m_rampLimit < m_settings.slots;
}

std::uint32_t backend_limiter::connectionLimit() const
{
    return m_settings.connections / m_sharingHosts;
}

std::uint32_t backend_limiter::occupied() const
{
    return static_cast<std::uint32_t>(m_activeCalls.size());
}

std::size_t backend_limiter::queued() const
{
    return m_queue.size();
}

std::uint32_t backend_limiter::openConnections() const
{
    return occupied() + m_idleConnections;
}

backend_state backend_limiter::state() const
{
    return m_state;
}

bool backend_limiter::probeDue(time_point now) const
{
    return now - m_lastAnswerOrProbe >= probeInterval;
}

const backend_report &backend_limiter::lastReport() const
{
    return m_report;
}

std::chrono::microseconds backend_limiter::medianServiceTime() const
{
    return m_medianServiceTime;
}

time_point backend_limiter::callDeadline(time_point deadline, time_point now) const
{
    return std::min({deadline, now + maxCallTime, m_leaseEnd - deadlineGrace});
}

bool backend_limiter::finishesInTime(time_point deadline, bool freshConnection, time_point now) const
{
    const auto connectTime = freshConnection || m_idleConnections == 0 ? m_settings.connectionCost : 0us;
    return now < deadline && now + m_medianServiceTime + connectTime <= deadline;
}

bool backend_limiter::connectionAvailable(bool freshConnection, time_point now) const
{
    if (!freshConnection && m_idleConnections > 0) {
        return true;
    }
    // An idle connection, if there is one, is closed when the new connection would exceed the limit.
    if (openConnections() - (m_idleConnections > 0 ? 1 : 0) >= connectionLimit()) {
        return false;
    }
    return !limitsConnectionRate(now) || (m_openingConnections == 0 && now >= m_nextConnectionAt);
}

admit_decision backend_limiter::admit(call_number call, time_point deadline, std::uint8_t priority, time_point now, bool freshConnection)
{
    advance(now);
    if (m_leaving || m_state == backend_state::draining) {
        return {admit_result::refused, error_code::draining};
    }
    if (now >= m_leaseEnd) {
        return {admit_result::refused, error_code::notOwner};
    }
    if (!finishesInTime(deadline, freshConnection, now)) {
        return {admit_result::refused, error_code::deadlineExceeded};
    }
    const auto capacity = limit(now);
    if (m_queue.empty() && occupied() < capacity && connectionAvailable(freshConnection, now)
        && finishesInTime(callDeadline(deadline, now), freshConnection, now)) {
        start(call, deadline, freshConnection, now);
        return {admit_result::started, error_code::internal}; // The code is not meaningful.
    }
    if (m_settings.slots / m_sharingHosts == 0 || connectionLimit() == 0) {
        return {admit_result::refused, error_code::overloaded};
    }
    const queue_key key{deadline, priority, m_nextSequence++};
    const auto callsAhead = std::distance(m_queue.begin(), m_queue.lower_bound(key));
    const auto expectedWait = m_medianServiceTime * (callsAhead + 1) / std::max(1U, capacity);
    const bool waitTooLong = zeroLimitUntil(now) + expectedWait * maxWaitDivisor > deadline;
    if ((waitTooLong || m_queue.size() >= m_settings.maxQueued) && !dropLowerPriority(priority)) {
        return {admit_result::refused, error_code::overloaded};
    }
    enqueue(key, {call, freshConnection});
    advance(now);
    return {m_activeCalls.contains(call) ? admit_result::started : admit_result::queued, error_code::internal};
}

void backend_limiter::enqueue(const queue_key &key, const queued_call &call)
{
    m_queue.emplace(key, call);
    m_queueIndex.emplace(call.call, key);
}

void backend_limiter::dropQueued(const queue_key &key, error_code code)
{
    const auto found = m_queue.find(key);
    limiter_action action;
    action.kind = limiter_action_kind::drop;
    action.call = found->second.call;
    action.code = code;
    m_actions.push_back(action);
    m_queueIndex.erase(found->second.call);
    m_queue.erase(found);
}

// Drops the queued call of the lowest priority, with the latest deadline among equals, if its priority is lower than the
// given one. Returns whether a call was dropped.
bool backend_limiter::dropLowerPriority(std::uint8_t priority)
{
    const queue_key *lowest = nullptr;
    for (const auto &[key, call] : m_queue) {
        if (key.priority > priority && (lowest == nullptr || key.priority >= lowest->priority)) {
            lowest = &key;
        }
    }
    if (lowest == nullptr) {
        return false;
    }
    dropQueued(*lowest, error_code::overloaded);
    return true;
}

void backend_limiter::start(call_number call, time_point deadline, bool freshConnection, time_point now)
{
    limiter_action action;
    action.kind = limiter_action_kind::start;
    action.call = call;
    action.deadline = callDeadline(deadline, now);
    action.newConnection = freshConnection || m_idleConnections == 0;
    if (!action.newConnection) {
        --m_idleConnections;
    } else {
        ++m_openingConnections;
        if (openConnections() >= connectionLimit()) {
            action.closeIdle = true;
            --m_idleConnections;
        }
    }
    m_activeCalls.emplace(call, active_call{action.deadline, 0, action.newConnection});
    for (auto &[other, state] : m_activeCalls) {
        state.peakOccupied = std::max(state.peakOccupied, occupied());
    }
    m_actions.push_back(action);
}

// Releases the slots of expired calls, then starts or drops queued calls.
void backend_limiter::advance(time_point now)
{
    m_now = std::max(m_now, now);
    releaseExpiredCalls(now);
    if (m_queue.empty()) {
        return;
    }
    if (now >= m_leaseEnd) {
        dropQueue(error_code::notOwner, now);
        return;
    }
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        const auto key = entry->first;
        const auto call = entry->second;
        ++entry;
        if (!finishesInTime(key.deadline, call.freshConnection, now)) {
            dropQueued(key, error_code::deadlineExceeded);
            continue;
        }
        if (!finishesInTime(key.deadline, call.freshConnection, zeroLimitUntil(now))) {
            dropQueued(key, error_code::overloaded);
            continue;
        }
        if (occupied() >= limit(now) || (!connectionAvailable(false, now) && !connectionAvailable(true, now))) {
            return;
        }
        // A call that must wait for a new connection does not block later calls that can use an idle one.
        if (connectionAvailable(call.freshConnection, now) && finishesInTime(callDeadline(key.deadline, now), call.freshConnection, now)) {
            m_queueIndex.erase(call.call);
            m_queue.erase(key);
            start(call.call, key.deadline, call.freshConnection, now);
        }
    }
}

void backend_limiter::releaseExpiredCalls(time_point now)
{
    for (auto call = m_activeCalls.begin(); call != m_activeCalls.end();) {
        const auto current = call++;
        if (now >= current->second.deadline + deadlineGrace) {
            releaseSlot(current->first);
        }
    }
}

bool backend_limiter::releaseSlot(call_number call)
{
    const auto found = m_activeCalls.find(call);
    if (found == m_activeCalls.end()) {
        return false;
    }
    m_openingConnections -= found->second.opening ? 1 : 0;
    m_activeCalls.erase(found);
    return true;
}

void backend_limiter::connectionOpened(call_number call, time_point now)
{
    const auto found = m_activeCalls.find(call);
    if (found != m_activeCalls.end() && found->second.opening) {
        found->second.opening = false;
        --m_openingConnections;
        m_nextConnectionAt = now + m_settings.connectionCost;
    }
    advance(now);
}

void backend_limiter::connectionFailed(call_number call, time_point now)
{
    releaseSlot(call);
    markCold(now);
    // The connections of the queued calls would fail in the same way; other replicas can still serve these calls.
    dropQueue(error_code::unreachable, now);
}

void backend_limiter::connectionClosed(call_number call, time_point now)
{
    releaseSlot(call);
    markCold(now);
    advance(now);
}

void backend_limiter::idleConnectionClosed(time_point now)
{
    if (m_idleConnections > 0) {
        --m_idleConnections;
    }
    advance(now);
}

void backend_limiter::answered(call_number call,
                               call_result result,
                               const backend_report *report,
                               std::chrono::microseconds serviceTime,
                               time_point now,
                               bool connectionKept)
{
    const auto found = m_activeCalls.find(call);
    if (found != m_activeCalls.end()) {
        if (report != nullptr) {
            updateOtherSlots(report->slotsInUse, found->second.peakOccupied, now);
        }
        releaseSlot(call);
        m_idleConnections += connectionKept ? 1 : 0;
    }
    m_lastAnswerOrProbe = now;
    if (report != nullptr) {
        applyReport(*report, result == call_result::shed, now);
    }
    if (result == call_result::shed) {
        m_shedUntil = now + shedPenaltyTime;
        m_rampStepStart = now;
    }
    if (result == call_result::served && serviceTime > 0us) {
        recordServiceTime(serviceTime);
    }
    advance(now);
}

void backend_limiter::updateOtherSlots(std::uint32_t slotsInUse, std::uint32_t peakOwnSlots, time_point now)
{
    const std::uint32_t otherSlotsNow = slotsInUse > peakOwnSlots ? slotsInUse - peakOwnSlots : 0;
    m_otherSlots = std::min(otherSlotsNow, m_lastOtherSlots);
    m_lastOtherSlots = otherSlotsNow;
    m_otherSlotsUntil = now + otherSlotsTimeout;
}

// Stores the report, but keeps the state that the limiter derived. If the instance has changed, the state becomes cold.
// Returns true when the instance has changed.
bool backend_limiter::storeReport(const backend_report &report, time_point now)
{
    const bool instanceChanged = !report.instance.empty() && !m_report.instance.empty() && report.instance != m_report.instance;
    const auto previousInstance = m_report.instance;
    m_report = report;
    if (report.instance.empty()) {
        m_report.instance = previousInstance;
    }
    m_report.state = m_state;
    if (instanceChanged) {
        if (m_state == backend_state::draining) {
            m_state = backend_state::cold;
        }
        markCold(now);
    }
    return instanceChanged;
}

void backend_limiter::applyReport(const backend_report &report, bool shed, time_point now)
{
    const bool instanceChanged = storeReport(report, now);
    switch (report.state) {
    case backend_state::draining:
        markDraining(now);
        break;
    case backend_state::cold:
        if (m_state == backend_state::draining) {
            m_state = backend_state::cold;
        }
        markCold(now);
        break;
    case backend_state::warm:
        if (instanceChanged) {
            break;
        }
        if (m_state != backend_state::warm) {
            m_state = backend_state::warm;
            m_rampLimit = m_settings.coldSlots;
            m_rampStepStart = now;
        } else if (!shed && m_rampLimit < m_settings.slots && now - m_rampStepStart >= m_settings.rampTime / rampTimeDivisor) {
            m_rampLimit = std::min(m_settings.slots, 2 * m_rampLimit);
            m_rampStepStart = now;
        }
        m_lastWarmAnswer = now;
        break;
    }
    m_report.state = m_state;
}

void backend_limiter::markCold(time_point now)
{
    if (m_state == backend_state::warm) {
        m_state = backend_state::cold;
        m_shedUntil = now; // The fall to coldSlots replaces the penalty for load shedding.
    }
    m_rampLimit = m_settings.coldSlots;
    m_rampStepStart = now;
    m_report.state = m_state;
}

void backend_limiter::markDraining(time_point now)
{
    m_state = backend_state::draining;
    m_lastDrainingReport = now;
    m_report.state = m_state;
    dropQueue(error_code::draining, now);
}

bool backend_limiter::abandon(call_number call, time_point now)
{
    const auto found = m_queueIndex.find(call);
    if (found != m_queueIndex.end()) {
        m_queue.erase(found->second);
        m_queueIndex.erase(found);
        advance(now);
        return true;
    }
    // A started call keeps its slot: the backend server may still be working on it.
    const bool started = m_activeCalls.contains(call);
    advance(now);
    return !started;
}

void backend_limiter::probeAnswered(const backend_report &report, time_point now)
{
    m_lastAnswerOrProbe = now;
    const bool instanceChanged = storeReport(report, now);
    if (report.state == backend_state::draining) {
        markDraining(now);
    } else if (!instanceChanged && m_state == backend_state::draining && now - m_lastDrainingReport >= drainExitDelay) {
        m_state = backend_state::cold;
        markCold(now);
    } else if (report.state == backend_state::cold) {
        markCold(now);
    }
    advance(now);
}

void backend_limiter::probeFailed(time_point now)
{
    m_lastAnswerOrProbe = now;
    markCold(now);
    advance(now);
}

void backend_limiter::setLeaving(bool leaving, time_point now)
{
    m_leaving = leaving;
    if (leaving) {
        dropQueue(error_code::draining, now);
    }
    advance(now);
}

void backend_limiter::setLeaseEnd(time_point leaseEnd, time_point now)
{
    m_leaseEnd = leaseEnd;
    advance(now);
}

void backend_limiter::setSharingHosts(std::uint32_t hosts, time_point now)
{
    m_sharingHosts = std::max(1U, hosts);
    advance(now);
}

void backend_limiter::dropQueue(error_code code, time_point now)
{
    m_now = std::max(m_now, now);
    while (!m_queue.empty()) {
        dropQueued(queue_key(m_queue.begin()->first), code);
    }
}

void backend_limiter::wakeup(time_point now)
{
    advance(now);
}

std::optional<time_point> backend_limiter::nextWakeup() const
{
    std::optional<time_point> next;
    const auto includeTime = [&next](time_point when) { next = next ? std::min(*next, when) : when; };
    for (const auto &[call, state] : m_activeCalls) {
        includeTime(state.deadline + deadlineGrace);
    }
    if (m_queue.empty()) {
        return next;
    }
    // Just after the last moment at which the first queued call could be sent and still be answered before its deadline, judged by
    // the median service time without the time for a connection.
    includeTime(std::max(m_now, m_queue.begin()->first.deadline - m_medianServiceTime) + 1ns);
    for (const auto when : {m_shedUntil, m_otherSlotsUntil, m_nextConnectionAt, m_leaseEnd}) {
        if (when > m_now) {
            includeTime(when);
        }
    }
    return next;
}

void backend_limiter::takeActions(std::vector<limiter_action> &out)
{
    out.insert(out.end(), m_actions.begin(), m_actions.end());
    m_actions.clear();
}

void backend_limiter::recordServiceTime(std::chrono::microseconds serviceTime)
{
    if (m_serviceTimes.size() < maxServiceTimes) {
        m_serviceTimes.push_back(serviceTime);
    } else {
        m_serviceTimes[m_nextServiceTimeIndex] = serviceTime;
        m_nextServiceTimeIndex = (m_nextServiceTimeIndex + 1) % maxServiceTimes;
    }
    auto sorted = m_serviceTimes;
    const auto median = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), median, sorted.end());
    m_medianServiceTime = *median;
}

} // namespace orioledrum
