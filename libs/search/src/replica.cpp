#include <search/replica.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

namespace
{

/// Weight of a new sample in the moving mean of failures.
constexpr double failureWeight = 0.25;
/// Weight of a new sample in the moving mean of the logarithm of the slowness. Three calls that take ten times the expected
/// latency, for example during a pause, give a slowness of about 2.4; ten calls at normal speed bring it back to about 1.2.
constexpr double slownessWeight = 0.15;
/// Bounds of the slowness of one sample.
constexpr double minSlownessSample = 0.25;
constexpr double maxSlownessSample = 16;

} // namespace

replica::replica(replica_entry entry, time_point now, std::chrono::milliseconds gracePeriod, bool learns)
    : m_entry(std::move(entry))
    , m_statisticsAt(now)
    , m_gracePeriod(std::min(gracePeriod, drainGracePeriod))
    , m_drainingSince(now)
    , m_coldUntil(now + m_entry.coldRemaining)
    , m_backoffUntil(now)
    , m_suspension(m_entry.incarnation())
    , m_learns(learns)
{
}

void replica::update(replica_entry entry, time_point now, std::chrono::milliseconds gracePeriod)
{
    const bool restarted = entry.startedAt != m_entry.startedAt || entry.address != m_entry.address;
    if (m_suspension.empty() || entry.incarnation().isAfter(m_suspension.incarnation())) {
        m_suspension = call_suspension(entry.incarnation());
        m_reopening = false;
    }
    if (entry.draining && !m_entry.draining) {
        m_drainingSince = now;
        m_gracePeriod = std::min(gracePeriod, drainGracePeriod);
    }
    m_entry = std::move(entry);
    m_coldUntil = std::max(restarted ? now : m_coldUntil, now + m_entry.coldRemaining);
    if (restarted) {
        m_toldColdUntil = now;
        m_logSlowness = 0;
        m_failureShare = 0;
        m_loadKnown = false;
        m_workTime = {};
        m_learned.reset();
        m_backoffUntil = now;
        m_nextBackoff = initialBackoff;
        m_unreachable = false;
    }
}

void replica::callSent(std::uint64_t attempt, std::chrono::microseconds expected, time_point now)
{
    m_outstanding.push_back({attempt, now, expected, queueFactorOf(load(now) + 1, now), load(now) + 1, loadReported(now)});
}

void replica::callEnded(std::uint64_t attempt,
                        attempt_end end,
                        std::chrono::microseconds latency,
                        std::chrono::microseconds expectedLatency,
                        time_point now)
{
    const auto ended = takeOutstanding(attempt, latency, now);
    if (m_learns && ended && !cold(ended->sentAt) && !cold(now)) {
        learn(*ended, end, latency, now);
    }
    // A search that ends cancels its calls. If those to a backend server that does not answer were not counted, each search would call it
    // first again.
    if (end == attempt_end::abandoned && latency <= overdueAge(expectedLatency)) {
        return;
    }
    m_logSlowness = logSlowness(now);
    m_failureShare = failureShare(now);
    m_statisticsAt = now;
    const bool answered = end == attempt_end::served;
    m_reopening = m_reopening && !(answered && !m_suspension.active(now));
    m_failureShare += ((answered ? 0.0 : 1.0) - m_failureShare) * failureWeight;
    if (answered || end == attempt_end::timedOut) {
        // What the reported work time explains is no slowness of its own; expectedTime() would count it twice.
        const double expected = static_cast<double>(expectedLatency.count()) * workTimeFactor(now);
        const double sample = expected > 0 ? static_cast<double>(latency.count()) / expected : 1;
        m_logSlowness += (std::log2(std::clamp(sample, minSlownessSample, maxSlownessSample)) - m_logSlowness) * slownessWeight;
    }
    if (end == attempt_end::unreachable) {
        backOff(now);
        m_unreachable = true;
    } else if (end == attempt_end::misdirected) {
        m_backoffUntil = now + misdirectedBackoff;
    } else if (end == attempt_end::served || end == attempt_end::shed || end == attempt_end::failed) {
        recordResponse(now);
    }
}

std::optional<replica::outstanding_call> replica::takeOutstanding(std::uint64_t attempt, std::chrono::microseconds latency, time_point now)
{
    // Each request numbers its attempts from 0, so concurrent requests have calls with the same number here.
    auto found = m_outstanding.end();
    for (auto each = m_outstanding.begin(); each != m_outstanding.end(); ++each) {
        const auto distance = [&](const outstanding_call &call) { return std::chrono::abs(call.sentAt - (now - latency)); };
        if (each->attempt == attempt && (found == m_outstanding.end() || distance(*each) < distance(*found))) {
            found = each;
        }
    }
    if (found == m_outstanding.end()) {
        return std::nullopt;
    }
    const auto taken = *found;
    m_outstanding.erase(found);
    return taken;
}

void replica::learn(const outstanding_call &call, attempt_end end, std::chrono::microseconds latency, time_point now)
{
    if (end == attempt_end::shed) {
        m_learned.refused(call.load, slots(now), now);
        return;
    }
    const auto expected = static_cast<double>(call.expected.count()) * workTimeFactor(now);
    const double slowness = expected > 0 ? static_cast<double>(latency.count()) / expected : 1;
    // A cancelled call would have taken at least this long, which says something only when that is long.
    const bool tooLong = end == attempt_end::timedOut || (end == attempt_end::abandoned && slowness >= learned_limit::slowThreshold);
    if (end != attempt_end::served && !tooLong) {
        return;
    }
    const bool wasSlow = m_learned.slow();
    // A queue that this host did not know, or that has grown since the call was sent, explains the latency as well.
    const auto reported = loadReported(now) ? m_load.running.value_or(0) + m_load.waiting.value_or(0) + 1 : 0;
    const auto load = std::max(call.load, reported);
    const double queueFactor = std::max(call.queueFactor, queueFactorOf(load, now));
    // The calls of this host alone say nothing about the limit of a backend server of which more could be known.
    const bool loadKnown = call.loadReported || !m_loadKnown;
    m_learned.answered({slowness * call.queueFactor, queueFactor, loadKnown ? load : 0, call.loadReported}, slots(now), now);
    if (wasSlow && !m_learned.slow()) {
        m_logSlowness = 0; // From before the recovery.
    }
}

bool replica::setQuietUntil(time_point until)
{
    m_reopening = true;
    return m_suspension.setQuietUntil(until);
}

void replica::restoreSuspension(const call_suspension &suspension)
{
    m_suspension = suspension;
    m_reopening = suspension.quietUntil() != time_point::min();
}

void replica::setReportedLoad(replica_load load, time_point now)
{
    m_load = load;
    m_outstandingAtReport = static_cast<std::uint32_t>(m_outstanding.size());
    m_loadReportedAt = now;
    m_loadKnown = true;
    if (load.workTimePercent) {
        m_workTime.reported(*load.workTimePercent, !cold(now), now);
        m_learned.workTimeReported(*load.workTimePercent >= 100 * learned_limit::probeThreshold);
    }
}

void replica::setCold(std::chrono::milliseconds remaining, time_point now)
{
    m_coldUntil = std::max(m_coldUntil, now + remaining);
}

void replica::setToldCold(std::chrono::milliseconds remaining, time_point now)
{
    m_toldColdUntil = std::max(m_toldColdUntil, now + remaining);
}

void replica::probeEnded(bool answered, time_point now)
{
    m_probing = false;
    if (answered) {
        recordResponse(now);
    } else {
        backOff(now);
    }
}

void replica::backOff(time_point now)
{
    m_backoffUntil = now + m_nextBackoff;
    m_nextBackoff = std::min(maxBackoff, m_nextBackoff * 2);
}

void replica::recordResponse(time_point now)
{
    m_nextBackoff = initialBackoff;
    m_unreachable = false;
    m_lastResponseAt = now;
}

bool replica::stalled(time_point now) const
{
    return !m_outstanding.empty() && now - m_outstanding.front().sentAt > stallTimeout && m_lastResponseAt < m_outstanding.front().sentAt;
}

bool replica::usable(time_point now) const
{
    return now >= m_backoffUntil && !m_unreachable && !refusesCalls(now);
}

bool replica::refusesCalls(time_point now) const
{
    return m_suspension.active(now) || (m_entry.draining && now - m_drainingSince >= m_gracePeriod);
}

std::chrono::microseconds replica::overdueAge(std::chrono::microseconds expected)
{
    const auto age = std::chrono::microseconds(static_cast<std::int64_t>(pausedFactor * static_cast<double>(expected.count())));
    return std::max<std::chrono::microseconds>(minPausedAge, age);
}

bool replica::paused(time_point now) const
{
    if (m_outstanding.empty()) {
        return false;
    }
    return now - m_outstanding.front().sentAt > overdueAge(m_outstanding.front().expected);
}

std::uint32_t replica::load(time_point now) const
{
    const auto outstanding = static_cast<std::uint32_t>(m_outstanding.size());
    if (!loadReported(now)) {
        return outstanding;
    }
    // An unknown figure adds nothing: like the outstanding calls of this host alone, the sum is then a lower bound.
    const std::uint32_t total = m_load.running.value_or(0) + m_load.waiting.value_or(0);
    const std::uint32_t others = total > m_outstandingAtReport ? total - m_outstandingAtReport : 0;
    return outstanding + others;
}

double replica::statisticsWeight(time_point now) const
{
    const auto age = std::chrono::duration<double>(now - m_statisticsAt).count();
    return std::exp2(-age / std::chrono::duration<double>(statisticsHalfLife).count());
}

double replica::logSlowness(time_point now) const
{
    const double lasting = m_learns ? m_learned.logSlowness() : 0;
    return lasting + (m_logSlowness - lasting) * statisticsWeight(now);
}

double replica::slowness(time_point now) const
{
    return std::exp2(logSlowness(now));
}

bool replica::slowByMemory(time_point now) const
{
    return m_learns && now - m_lastResponseAt > work_time_estimate::spellLength
        && m_workTime.factor(now) * std::exp2(m_learned.logSlowness()) >= learned_limit::probeThreshold;
}

std::uint32_t replica::slots(time_point now) const
{
    const auto published = std::max(1U, m_entry.slots);
    return loadReported(now) && m_load.slots ? std::clamp(*m_load.slots, 1U, published) : published;
}

double replica::callsAtATime(time_point now) const
{
    return m_learns ? m_learned.limit(slots(now), now) : std::max(1U, m_entry.slots);
}

double replica::queueFactorOf(std::uint32_t load, time_point now) const
{
    const double limit = callsAtATime(now);
    return 1 + std::max(0.0, load - limit) / limit;
}

double replica::failureShare(time_point now) const
{
    return m_failureShare * statisticsWeight(now);
}

std::chrono::microseconds replica::latencyAtNormalSpeed(std::chrono::microseconds unqueuedLatency, time_point now) const
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(unqueuedLatency.count()) * queueFactorOf(load(now) + 1, now)));
}

std::chrono::microseconds replica::expectedTime(std::chrono::microseconds unqueuedLatency, time_point now) const
{
    const auto atNormalSpeed = static_cast<double>(latencyAtNormalSpeed(unqueuedLatency, now).count());
    return std::chrono::microseconds(static_cast<std::int64_t>(atNormalSpeed * workTimeFactor(now) * std::max(0.5, slowness(now))));
}

} // namespace orioledrum
