#include <search/replica.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

namespace
{

/// Weight of one more sample in the moving mean of failures.
constexpr double failureWeight = 0.25;
/// Weight of one more sample in the moving mean of the logarithm of the speed. A pause of ten times the usual time that
/// three calls meet counts as a factor of about 2.4, and ten calls at the usual speed undo it.
constexpr double speedWeight = 0.15;
/// Fastest and slowest factor that one sample may count as.
constexpr double fastestSample = 0.25;
constexpr double slowestSample = 16;

} // namespace

replica::replica(replica_entry entry, time_point now)
    : m_entry(std::move(entry))
    , m_learned(now)
    , m_drainingSince(now)
    , m_coldUntil(now + m_entry.coldFor)
    , m_blockedUntil(now)
{
}

void replica::update(replica_entry entry, time_point now)
{
    const bool restarted = entry.startedAt != m_entry.startedAt || entry.address != m_entry.address;
    if (entry.draining && !m_entry.draining) {
        m_drainingSince = now;
    }
    m_entry = std::move(entry);
    m_coldUntil = std::max(restarted ? now : m_coldUntil, now + m_entry.coldFor);
    if (restarted) {
        m_logSlowness = 0;
        m_failures = 0;
        m_loadKnown = false;
        m_blockedUntil = now;
        m_nextBlock = unreachableFirst;
        m_unreachable = false;
    }
}

void replica::sent(std::uint64_t attempt, std::chrono::microseconds expected, time_point now)
{
    m_open.push_back({attempt, now, expected});
}

void replica::ended(std::uint64_t attempt,
                    attempt_end end,
                    std::chrono::microseconds latency,
                    std::chrono::microseconds usual,
                    time_point now)
{
    std::erase_if(m_open, [attempt](const open_call &call) { return call.attempt == attempt; });
    if (end == attempt_end::abandoned) {
        return;
    }
    const double remembered = memory(now);
    m_logSlowness *= remembered;
    m_failures *= remembered;
    m_learned = now;
    const bool answered = end == attempt_end::served;
    m_failures += ((answered ? 0.0 : 1.0) - m_failures) * failureWeight;
    if (answered || end == attempt_end::timedOut) {
        const double sample = usual.count() > 0 ? static_cast<double>(latency.count()) / static_cast<double>(usual.count()) : 1;
        m_logSlowness += (std::log2(std::clamp(sample, fastestSample, slowestSample)) - m_logSlowness) * speedWeight;
    }
    if (end == attempt_end::unreachable) {
        block(now);
        m_unreachable = true;
    } else if (end == attempt_end::misdirected) {
        m_blockedUntil = now + misdirectedPause;
    } else if (end == attempt_end::served || end == attempt_end::shed || end == attempt_end::failed) {
        heard(now);
    }
}

void replica::reported(replica_load load, time_point now)
{
    m_load = load;
    m_openAtReport = static_cast<std::uint32_t>(m_open.size());
    m_loadAt = now;
    m_loadKnown = true;
}

void replica::setCold(std::chrono::milliseconds remaining, time_point now)
{
    m_coldUntil = std::max(m_coldUntil, now + remaining);
}

void replica::probed(bool answered, time_point now)
{
    m_probing = false;
    if (answered) {
        heard(now);
    } else {
        block(now);
    }
}

void replica::block(time_point now)
{
    m_blockedUntil = now + m_nextBlock;
    m_nextBlock = std::min(unreachableLongest, m_nextBlock * 2);
}

void replica::heard(time_point now)
{
    m_nextBlock = unreachableFirst;
    m_unreachable = false;
    m_heard = now;
}

bool replica::stalled(time_point now) const
{
    return !m_open.empty() && now - m_open.front().sentAt > stalledAfter && m_heard < m_open.front().sentAt;
}

bool replica::usable(time_point now) const
{
    if (now < m_blockedUntil || m_unreachable) {
        return false;
    }
    return !m_entry.draining || now - m_drainingSince < drainUse;
}

bool replica::paused(time_point now) const
{
    if (m_open.empty()) {
        return false;
    }
    const auto &oldest = m_open.front();
    const auto limit = std::max<std::chrono::microseconds>(
        pausedMinimum, std::chrono::microseconds(static_cast<std::int64_t>(pausedFactor * static_cast<double>(oldest.expected.count()))));
    return now - oldest.sentAt > limit;
}

std::uint32_t replica::load(time_point now) const
{
    const auto own = static_cast<std::uint32_t>(m_open.size());
    if (!m_loadKnown || now - m_loadAt > loadLifetime) {
        return own;
    }
    const std::uint32_t total = m_load.running + m_load.waiting;
    const std::uint32_t others = total > m_openAtReport ? total - m_openAtReport : 0;
    return own + others;
}

double replica::memory(time_point now) const
{
    const auto age = std::chrono::duration<double>(now - m_learned).count();
    return std::exp2(-age / std::chrono::duration<double>(memoryHalfLife).count());
}

double replica::slowness(time_point now) const
{
    return std::exp2(m_logSlowness * memory(now));
}

double replica::failureShare(time_point now) const
{
    return m_failures * memory(now);
}

std::chrono::microseconds replica::queuedTime(std::chrono::microseconds usual, time_point now) const
{
    const double slots = std::max(1U, m_entry.slots);
    const double waiting = std::max(0.0, load(now) + 1.0 - slots);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(usual.count()) * (1 + waiting / slots)));
}

std::chrono::microseconds replica::expectedTime(std::chrono::microseconds usual, time_point now) const
{
    const auto queued = static_cast<double>(queuedTime(usual, now).count());
    return std::chrono::microseconds(static_cast<std::int64_t>(queued * std::max(0.5, slowness(now))));
}

} // namespace orioledrum
