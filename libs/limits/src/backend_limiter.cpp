#include <limits/backend_limiter.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t serviceTimeCount = 32;
constexpr auto shedTime = 1s;
constexpr auto probeInterval = 1s;
constexpr auto foreignTime = 1s; // Foreign load ends without an answer, since none may come while it fills the limit.
constexpr int rampSteps = 4;
// A call may wait for this part of its remaining time; the rest is for service times above the median.
constexpr int waitDivisor = 2;

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
    , m_lastWarm(now)
    , m_lastHeard(now)
    , m_rampLimit(settings.coldSlots)
    , m_rampStep(now)
    , m_now(now)
{
    m_serviceTimes.reserve(serviceTimeCount);
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
        // A warm backend server keeps one slot, so that its recovery is seen; a cold one that sheds gets a pause.
        limit = m_state == backend_state::warm ? std::max(1U, limit - 1) : limit - 1;
    }
    limit /= m_share;
    const std::uint32_t foreign = now < m_foreignUntil ? m_foreign : 0;
    return limit > foreign ? limit - foreign : 0;
}

// Time at which load shedding or foreign load no longer takes the whole limit.
time_point backend_limiter::blockedUntil(time_point now) const
{
    return limit(now) != 0 ? now : std::max({now, m_shedUntil, m_foreignUntil});
}

bool backend_limiter::unconfirmed(time_point now) const
{
    return now - m_lastWarm > confirmationTime;
}

bool backend_limiter::carefulWithConnections(time_point now) const
{
    return m_state != backend_state::warm || unconfirmed(now) || m_rampLimit < m_settings.slots;
}

std::uint32_t backend_limiter::connectionLimit() const
{
    return m_settings.connections / m_share;
}

std::uint32_t backend_limiter::occupied() const
{
    return static_cast<std::uint32_t>(m_active.size());
}

std::size_t backend_limiter::queued() const
{
    return m_queue.size();
}

std::uint32_t backend_limiter::openConnections() const
{
    return occupied() + m_idle;
}

backend_state backend_limiter::state() const
{
    return m_state;
}

bool backend_limiter::probeDue(time_point now) const
{
    return now - m_lastHeard >= probeInterval;
}

const backend_report &backend_limiter::lastReport() const
{
    return m_report;
}

std::chrono::microseconds backend_limiter::medianServiceTime() const
{
    return m_median;
}

time_point backend_limiter::sendDeadline(time_point deadline, time_point now) const
{
    return std::min({deadline, now + maxCallTime, m_leaseEnd - grace});
}

bool backend_limiter::finishesInTime(time_point deadline, bool freshConnection, time_point now) const
{
    const auto connecting = freshConnection || m_idle == 0 ? m_settings.connectionCost : 0us;
    return now < deadline && now + m_median + connecting <= deadline;
}

bool backend_limiter::canConnect(bool freshConnection, time_point now) const
{
    if (!freshConnection && m_idle > 0) {
        return true;
    }
    if (openConnections() - (m_idle > 0 ? 1 : 0) >= connectionLimit()) {
        return false;
    }
    return !carefulWithConnections(now) || (m_opening == 0 && now >= m_nextConnection);
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
    if (m_queue.empty() && occupied() < capacity && canConnect(freshConnection, now)
        && finishesInTime(sendDeadline(deadline, now), freshConnection, now)) {
        start(call, deadline, freshConnection, now);
        return {admit_result::started, error_code::internal};
    }
    if (m_settings.slots / m_share == 0 || connectionLimit() == 0) {
        return {admit_result::refused, error_code::overloaded};
    }
    const queue_key key{deadline, priority, m_sequence++};
    const auto ahead = std::distance(m_queue.begin(), m_queue.lower_bound(key));
    const auto wait = m_median * (ahead + 1) / std::max(1U, capacity);
    const bool tooLong = blockedUntil(now) + wait * waitDivisor > deadline;
    if ((tooLong || m_queue.size() >= m_settings.maxQueued) && !makeRoom(priority)) {
        return {admit_result::refused, error_code::overloaded};
    }
    enqueue(key, {call, freshConnection});
    advance(now);
    return {m_active.contains(call) ? admit_result::started : admit_result::queued, error_code::internal};
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

// Drops the queued call of the lowest priority if it is lower than the given one; among equals, the one with the
// latest deadline.
bool backend_limiter::makeRoom(std::uint8_t priority)
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
    action.deadline = sendDeadline(deadline, now);
    action.newConnection = freshConnection || m_idle == 0;
    if (!action.newConnection) {
        --m_idle;
    } else {
        ++m_opening;
        if (openConnections() >= connectionLimit()) {
            action.closeIdle = true;
            --m_idle;
        }
    }
    m_active.emplace(call, active_call{action.deadline, 0, action.newConnection});
    for (auto &[other, state] : m_active) {
        state.peak = std::max(state.peak, occupied());
    }
    m_actions.push_back(action);
}

// Ends calls whose time is over and starts or drops queued ones.
void backend_limiter::advance(time_point now)
{
    m_now = std::max(m_now, now);
    expireActive(now);
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
        if (!finishesInTime(key.deadline, call.freshConnection, blockedUntil(now))) {
            dropQueued(key, error_code::overloaded);
            continue;
        }
        if (occupied() >= limit(now) || (!canConnect(false, now) && !canConnect(true, now))) {
            return;
        }
        // A call that needs a fresh connection does not hold up the ones that can use an idle one.
        if (canConnect(call.freshConnection, now) && finishesInTime(sendDeadline(key.deadline, now), call.freshConnection, now)) {
            m_queueIndex.erase(call.call);
            m_queue.erase(key);
            start(call.call, key.deadline, call.freshConnection, now);
        }
    }
}

void backend_limiter::expireActive(time_point now)
{
    for (auto call = m_active.begin(); call != m_active.end();) {
        const auto current = call++;
        if (now >= current->second.deadline + grace) {
            release(current->first);
        }
    }
}

bool backend_limiter::release(call_number call)
{
    const auto found = m_active.find(call);
    if (found == m_active.end()) {
        return false;
    }
    m_opening -= found->second.opening ? 1 : 0;
    m_active.erase(found);
    return true;
}

void backend_limiter::connectionOpened(call_number call, time_point now)
{
    const auto found = m_active.find(call);
    if (found != m_active.end() && found->second.opening) {
        found->second.opening = false;
        --m_opening;
        m_nextConnection = now + m_settings.connectionCost;
    }
    advance(now);
}

void backend_limiter::connectionFailed(call_number call, time_point now)
{
    release(call);
    turnCold(now);
    // The queued calls would meet the same refusal; other replicas can still serve them.
    dropQueue(error_code::unreachable, now);
}

void backend_limiter::connectionClosed(call_number call, time_point now)
{
    release(call);
    turnCold(now);
    advance(now);
}

void backend_limiter::idleConnectionClosed(time_point now)
{
    if (m_idle > 0) {
        --m_idle;
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
    const auto found = m_active.find(call);
    if (found != m_active.end()) {
        if (report != nullptr) {
            noteForeignLoad(report->slotsInUse, found->second.peak, now);
        }
        release(call);
        m_idle += connectionKept ? 1 : 0;
    }
    m_lastHeard = now;
    if (report != nullptr) {
        noteReport(*report, result == call_result::shed, now);
    }
    if (result == call_result::shed) {
        m_shedUntil = now + shedTime;
        m_rampStep = now;
    }
    if (result == call_result::served && serviceTime > 0us) {
        recordServiceTime(serviceTime);
    }
    advance(now);
}

void backend_limiter::noteForeignLoad(std::uint32_t slotsInUse, std::uint32_t own, time_point now)
{
    const std::uint32_t difference = slotsInUse > own ? slotsInUse - own : 0;
    m_foreign = std::min(difference, m_foreignSeen);
    m_foreignSeen = difference;
    m_foreignUntil = now + foreignTime;
}

// Returns true when the report comes from another instance than the one known.
bool backend_limiter::noteInstance(const backend_report &report, time_point now)
{
    const bool changed = !report.instance.empty() && !m_report.instance.empty() && report.instance != m_report.instance;
    const auto known = m_report.instance;
    m_report = report;
    if (report.instance.empty()) {
        m_report.instance = known;
    }
    m_report.state = m_state;
    if (changed) {
        if (m_state == backend_state::draining) {
            m_state = backend_state::cold;
        }
        turnCold(now);
    }
    return changed;
}

void backend_limiter::noteReport(const backend_report &report, bool shed, time_point now)
{
    const bool changed = noteInstance(report, now);
    switch (report.state) {
    case backend_state::draining:
        turnDraining(now);
        break;
    case backend_state::cold:
        if (m_state == backend_state::draining) {
            m_state = backend_state::cold;
        }
        turnCold(now);
        break;
    case backend_state::warm:
        if (changed) {
            break;
        }
        if (m_state != backend_state::warm) {
            m_state = backend_state::warm;
            m_rampLimit = m_settings.coldSlots;
            m_rampStep = now;
        } else if (!shed && m_rampLimit < m_settings.slots && now - m_rampStep >= m_settings.rampTime / rampSteps) {
            m_rampLimit = std::min(m_settings.slots, 2 * m_rampLimit);
            m_rampStep = now;
        }
        m_lastWarm = now;
        break;
    }
    m_report.state = m_state;
}

void backend_limiter::turnCold(time_point now)
{
    if (m_state == backend_state::warm) {
        m_state = backend_state::cold;
        m_shedUntil = now; // The limit has fallen by more than load shedding lowers it.
    }
    m_rampLimit = m_settings.coldSlots;
    m_rampStep = now;
    m_report.state = m_state;
}

void backend_limiter::turnDraining(time_point now)
{
    m_state = backend_state::draining;
    m_lastDraining = now;
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
    const bool known = m_active.contains(call);
    advance(now);
    return !known;
}

void backend_limiter::probed(const backend_report &report, time_point now)
{
    m_lastHeard = now;
    const bool changed = noteInstance(report, now);
    if (report.state == backend_state::draining) {
        turnDraining(now);
    } else if (!changed && m_state == backend_state::draining && now - m_lastDraining >= drainClearTime) {
        m_state = backend_state::cold;
        turnCold(now);
    } else if (report.state == backend_state::cold) {
        turnCold(now);
    }
    advance(now);
}

void backend_limiter::probeFailed(time_point now)
{
    m_lastHeard = now;
    turnCold(now);
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

void backend_limiter::setShare(std::uint32_t hosts, time_point now)
{
    m_share = std::max(1U, hosts);
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
    const auto consider = [&next](time_point when) { next = next ? std::min(*next, when) : when; };
    for (const auto &[call, state] : m_active) {
        consider(state.deadline + grace);
    }
    if (m_queue.empty()) {
        return next;
    }
    // Just after the last moment at which the first call can finish in time.
    consider(std::max(m_now, m_queue.begin()->first.deadline - m_median) + 1ns);
    for (const auto when : {m_shedUntil, m_foreignUntil, m_nextConnection, m_leaseEnd}) {
        if (when > m_now) {
            consider(when);
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
    if (m_serviceTimes.size() < serviceTimeCount) {
        m_serviceTimes.push_back(serviceTime);
    } else {
        m_serviceTimes[m_serviceTimeNext] = serviceTime;
        m_serviceTimeNext = (m_serviceTimeNext + 1) % serviceTimeCount;
    }
    auto sorted = m_serviceTimes;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_median = *middle;
}

} // namespace orioledrum
