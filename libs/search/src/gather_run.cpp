#include <search/gather_run.h>

#include <base/rendezvous.h>
#include <search/search_admission.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

namespace
{

/// Minimum time between two checks for calls to hedge.
constexpr std::chrono::milliseconds minHedgeInterval{4};
/// Minimum time before the deadline at which a retry is still sent; a later one would not be answered in time.
constexpr std::chrono::milliseconds minRetryTime{3};
/// Backend servers of a shard that are named to the gathering host beyond the maximum number of called ones. With three in all, as usual,
/// it can choose among all.
constexpr std::uint32_t namedServersBeyondMax = 2;

std::uint32_t hashOf(const replica &server)
{
    return static_cast<std::uint32_t>(rendezvousWeight({}, server.entry().id.str()));
}

} // namespace

std::string_view toString(gather_end end)
{
    switch (end) {
    case gather_end::complete:
        return "complete";
    case gather_end::partial:
        return "partial";
    case gather_end::notStarted:
        return "notStarted";
    case gather_end::overloaded:
        return "overloaded";
    case gather_end::tooFew:
        return "tooFew";
    case gather_end::late:
        return "late";
    }
    return "late";
}

gather_run::gather_run(gather_input input, replica_registry &registry, latency_profile &profile)
    : m_input(std::move(input))
    , m_registry(registry)
    , m_profile(profile)
    , m_shards(m_input.shards.size())
    , m_relayPending(m_input.relays.size(), false)
{
    for (auto &shard : m_shards) {
        shard.maxServers = m_input.maxServers;
    }
    for (const auto &part : m_input.relays) {
        for (const auto shard : part.shards) {
            m_shards[shard].relayed = true;
            reserveServers(shard, part.zone);
        }
    }
    if (m_input.preferredZone) {
        for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
            limitToServersLeft(shard);
        }
    }
}

void gather_run::reserveServers(std::size_t shard, const zone_id &zone)
{
    auto &state = m_shards[shard];
    state.known =
        m_registry.preferredReplicas(m_input.shards[shard], {zone, m_input.preferenceSeed}, m_input.maxServers + namedServersBeyondMax);
    const auto count = std::min<std::size_t>(reservedServers(), state.known.size());
    state.reserved.emplace(state.known.begin(), state.known.begin() + static_cast<std::ptrdiff_t>(count));
}

void gather_run::limitToServersLeft(std::size_t shard)
{
    auto &state = m_shards[shard];
    state.reserved.emplace();
    state.otherServers = m_input.maxServers;
    if (shard >= m_input.knownServers.size()) {
        return;
    }
    const auto &hashes = m_input.knownServers[shard];
    // Counts the reserved backend servers of which this host has no entry: the asking host may call them.
    state.otherServers -= std::min({reservedServers(), state.otherServers, static_cast<std::uint32_t>(hashes.size())});
    for (auto &server : m_registry.replicas(m_input.shards[shard])) {
        const auto position = std::find(hashes.begin(), hashes.end(), hashOf(*server)) - hashes.begin();
        if (position < std::min<std::ptrdiff_t>(reservedServers(), std::ssize(hashes))) {
            state.reserved->push_back(server);
        }
        if (position < std::ssize(hashes)) {
            state.known.push_back(std::move(server));
        }
    }
}

std::optional<std::vector<replica_registry::replica_ptr>> gather_run::allowedServers(const shard_state &shard)
{
    if (!shard.reserved) {
        return std::nullopt;
    }
    auto allowed = *shard.reserved;
    for (const auto &server : shard.tried) {
        if (std::find(shard.reserved->begin(), shard.reserved->end(), server) == shard.reserved->end()) {
            allowed.push_back(server);
        }
    }
    if (allowed.size() - shard.reserved->size() >= shard.otherServers) {
        return allowed;
    }
    // If this host has no entry that the asking host knows, either may have the newer entries.
    return shard.known.empty() ? std::nullopt : std::optional(shard.known);
}

std::vector<server_hashes> gather_run::knownServers(std::size_t part) const
{
    std::vector<server_hashes> servers;
    for (const auto shard : m_input.relays[part].shards) {
        auto &hashes = servers.emplace_back();
        for (const auto &server : m_shards[shard].known) {
            hashes.push_back(hashOf(*server));
        }
    }
    return servers;
}

std::vector<server_cold_times> gather_run::knownColdTimes(std::size_t part, time_point now) const
{
    std::vector<server_cold_times> times;
    for (const auto shard : m_input.relays[part].shards) {
        auto &coldTimes = times.emplace_back();
        for (const auto &server : m_shards[shard].known) {
            coldTimes.push_back(server->seenColdTime(now));
        }
    }
    return times;
}

void gather_run::takeColdTimes(std::size_t shard, time_point now)
{
    if (shard >= m_input.knownServers.size() || shard >= m_input.knownColdTimes.size()) {
        return;
    }
    const auto &hashes = m_input.knownServers[shard];
    const auto &coldTimes = m_input.knownColdTimes[shard];
    for (const auto &server : m_shards[shard].known) {
        const auto position = static_cast<std::size_t>(std::find(hashes.begin(), hashes.end(), hashOf(*server)) - hashes.begin());
        if (position < coldTimes.size()) {
            server->setToldCold(coldTimes[position], now);
        }
    }
}

std::uint32_t gather_run::reservedServers() const
{
    // Leaves one backend server of each shard to the choice of the gathering host, which knows their state: it calls them for all hosts.
    return std::max(1U, m_input.maxServers - 1);
}

void gather_run::start(time_point now)
{
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        takeColdTimes(shard, now);
    }
    if (!admit(now)) {
        return;
    }
    const auto untilTarget = std::chrono::duration_cast<std::chrono::microseconds>(m_input.target - now);
    const auto maxHedgeAge =
        std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(untilTarget.count()) * maxHedgeAgeShare));
    const auto hedgeDelay = static_cast<double>(m_profile.quantile(hedgeQuantile).count()) * hedgeFactor;
    m_hedgeDelay = std::min(std::chrono::microseconds(static_cast<std::int64_t>(hedgeDelay)), maxHedgeAge);
    m_hedgeDelay = std::max<std::chrono::microseconds>(minHedgeAge, m_hedgeDelay);
    m_hedgesLeft = static_cast<std::size_t>(std::ceil(static_cast<double>(m_shards.size()) * maxHedgeShare));
    std::fill(m_relayPending.begin(), m_relayPending.end(), true);
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].relayed) {
            continue;
        }
        if (!m_shards[shard].skipped && send(shard, false, false, now)) {
            m_registry.budget(m_input.shards[shard]).recordFirstCall();
        } else {
            m_shards[shard].failed = true;
            m_shards[shard].lastEnd = attempt_end::unreachable;
            ++m_failedCount;
        }
    }
    finishOrSchedule(now);
}

bool gather_run::admit(time_point now)
{
    const auto untilTarget = std::chrono::duration_cast<std::chrono::microseconds>(m_input.target - now);
    std::vector<bool> relayed;
    relayed.reserve(m_shards.size());
    for (const auto &shard : m_shards) {
        relayed.push_back(shard.relayed);
    }
    const auto admission =
        search_admission::decide(m_registry, m_input.shards, relayed, requiredShards(), m_profile.unqueuedLatency(now), untilTarget, now);
    m_result.expected = admission.expected;
    m_result.reachableIn = admission.reachableIn;
    if (admission.result != search_admission::verdict::admitted) {
        finish(admission.result == search_admission::verdict::notStarted ? gather_end::notStarted : gather_end::overloaded);
        return false;
    }
    const auto &expected = admission.shards;
    const auto skipTime = static_cast<double>(untilTarget.count()) * skipFactor;
    auto maxSkipped = static_cast<std::size_t>(static_cast<double>(expected.size() - requiredShards()) * maxSkippedShare);
    for (auto each = expected.rbegin(); each != expected.rend() && maxSkipped > 0; ++each, --maxSkipped) {
        if (static_cast<double>(each->time.count()) <= skipTime) {
            break;
        }
        if (m_shards[each->shard].relayed) {
            continue; // The gathering host decides; it has more recent load data.
        }
        m_shards[each->shard].skipped = true;
        ++m_result.skipped;
    }
    return true;
}

bool gather_run::send(std::size_t shard, bool reuseTried, bool requireFreeSlot, time_point now)
{
    auto &state = m_shards[shard];
    const auto unqueuedLatency = m_profile.unqueuedLatency(now);
    const auto allowed = allowedServers(state);
    const auto server = m_registry.choose(
        {&m_input.shards[shard], unqueuedLatency, &state.tried, reuseTried, requireFreeSlot, allowed ? &*allowed : nullptr}, now);
    if (!server) {
        return false;
    }
    const auto attempt = m_shardOfAttempt.size();
    m_shardOfAttempt.push_back(shard);
    state.outstanding.push_back({attempt, server.get(), now});
    ++state.sendCount;
    if (!reuseTried) {
        state.tried.push_back(server);
    }
    const auto expectedLatency = server->latencyAtNormalSpeed(unqueuedLatency, now);
    server->callSent(attempt, expectedLatency, now);
    m_calls.push_back({attempt, server, m_input.deadline, expectedLatency});
    return true;
}

void gather_run::callEnded(std::uint64_t attempt, call_outcome &&outcome, time_point now)
{
    if ((m_finished && !m_input.resumable) || attempt >= m_shardOfAttempt.size()) {
        return;
    }
    const auto shard = m_shardOfAttempt[attempt];
    auto &state = m_shards[shard];
    std::erase_if(state.outstanding, [attempt](const outstanding_attempt &call) { return call.number == attempt; });
    if (state.answered) {
        return;
    }
    if (outcome.end == attempt_end::served) {
        state.answered = true;
        if (state.failed) {
            state.failed = false;
            --m_failedCount;
        }
        state.signature = std::move(outcome.signature);
        state.body = std::move(outcome.body);
        m_result.slowest = std::max(m_result.slowest, outcome.latency);
        ++m_answeredCount;
    } else {
        state.lastEnd = outcome.end;
        handleFailure(shard, outcome.end, now);
    }
    if (!m_finished) {
        finishOrSchedule(now);
    }
}

void gather_run::handleFailure(std::size_t shard, attempt_end end, time_point now)
{
    auto &state = m_shards[shard];
    // A finished run sends nothing, even if it may be resumed.
    if (!state.outstanding.empty() || (!m_finished && tryRetry(shard, end, now))) {
        return;
    }
    state.failed = true;
    ++m_failedCount;
}

time_point gather_run::retryDeadline() const
{
    return m_input.resumable && !m_resumed ? m_input.target : m_input.deadline;
}

bool gather_run::tryRetry(std::size_t shard, attempt_end end, time_point now)
{
    auto &state = m_shards[shard];
    auto &budget = m_registry.budget(m_input.shards[shard]);
    if (now + minRetryTime >= retryDeadline() || state.sendCount > m_input.maxServers || budget.tokens() < 1) {
        return false;
    }
    // A backend server that shed the call or whose connection broke may be called again when no other one can be called.
    const bool mayReuseServer = end == attempt_end::shed || end == attempt_end::broken;
    const bool sent =
        (state.tried.size() < state.maxServers && send(shard, false, false, now)) || (mayReuseServer && send(shard, true, false, now));
    if (sent) {
        budget.tryAcquireRetry();
        ++m_result.retries;
    }
    return sent;
}

bool gather_run::queuesAreTooLong(const relay_result &result, time_point now) const
{
    const auto untilTarget = std::chrono::duration<double, std::micro>(m_input.target - now).count();
    const auto unqueuedLatency = static_cast<double>(m_profile.unqueuedLatency(now).count());
    return std::all_of(result.shards.begin(), result.shards.end(), [&](const gathered_shard &shard) {
        return shard.loadFactor <= 0 || shard.loadFactor * unqueuedLatency > untilTarget * search_admission::refuseFactor;
    });
}

bool gather_run::relayAnswered(std::size_t part, relay_result &&result, time_point now)
{
    if (m_finished || !m_relayPending[part]) {
        return true;
    }
    if (result.end == gather_end::notStarted || (result.end == gather_end::overloaded && !queuesAreTooLong(result, now))) {
        // The other host has sent nothing: it reaches too few shards, or it is slow itself. This host may reach them in time.
        relayFailed(part, true, now);
        return false;
    }
    m_relayPending[part] = false;
    if (result.end == gather_end::overloaded && !minCoverageReached() && m_shardOfAttempt.empty() && m_relayPending.size() == 1) {
        finish(gather_end::overloaded);
        return true;
    }
    takeRelayedShards(part, result, now);
    const auto &positions = m_input.relays[part].shards;
    for (std::size_t i = 0; i < positions.size(); ++i) {
        auto &state = m_shards[positions[i]];
        if (state.answered) {
            continue;
        }
        ++state.sendCount; // Counts the call of the other host.
        state.maxServers = reservedServers();
        // Calling the backend servers of an overloaded host would add to their queues.
        const bool recoverable = result.end != gather_end::overloaded;
        markMissingAtRelay(positions[i], i < result.shards.size() ? result.shards[i].end : attempt_end::broken, recoverable);
        state.outstandingAtRelay = recoverable && state.lastEnd == attempt_end::timedOut;
    }
    finishOrSchedule(now);
    return true;
}

void gather_run::takeRelayedShards(std::size_t part, relay_result &result, time_point now)
{
    m_result.hedges += result.hedges;
    m_result.retries += result.retries;
    m_relayRecords += result.records;
    const auto &positions = m_input.relays[part].shards;
    for (std::size_t i = 0; i < positions.size() && i < result.shards.size(); ++i) {
        auto &state = m_shards[positions[i]];
        if (result.shards[i].loadFactor > 0) {
            m_registry.setLoadHint(m_input.shards[positions[i]], result.shards[i].loadFactor, now);
        }
        if (result.shards[i].end == attempt_end::served) {
            state.answered = true;
            state.signature = std::move(result.shards[i].signature);
            ++m_answeredCount;
        }
    }
}

void gather_run::markMissingAtRelay(std::size_t shard, attempt_end end, bool recoverable)
{
    auto &state = m_shards[shard];
    state.lastEnd = end;
    state.failed = true;
    ++m_failedCount;
    state.recoverable = recoverable;
    m_recoverableCount += recoverable ? 1 : 0;
}

void gather_run::relayResumed(std::size_t part, std::optional<relay_result> &&result, time_point now)
{
    if (m_finished) {
        return;
    }
    const auto &positions = m_input.relays[part].shards;
    // A shard that was not asked for may already be in the result; its records could not be told from the others.
    for (std::size_t i = 0; result && i < result->shards.size(); ++i) {
        const bool expected = i < positions.size() && m_shards[positions[i]].resumed && !m_shards[positions[i]].answered;
        if (result->shards[i].end == attempt_end::served && !expected) {
            result.reset();
        }
    }
    if (result) {
        takeRelayedShards(part, *result, now);
    }
    for (std::size_t i = 0; i < positions.size(); ++i) {
        const auto &state = m_shards[positions[i]];
        if (state.resumed && !state.answered) {
            markMissingAtRelay(positions[i], result && i < result->shards.size() ? result->shards[i].end : attempt_end::broken, true);
        }
    }
    finishOrSchedule(now);
}

void gather_run::recoverShards(time_point now)
{
    if (m_recoverableCount == 0 || minCoverageReached() || anyRelayPending()) {
        return;
    }
    const auto recover = [this](shard_state &state) {
        state.recoverable = false;
        --m_recoverableCount;
        state.failed = false;
        --m_failedCount;
    };
    const auto neededShards = static_cast<std::uint32_t>(requiredShards() - m_answeredCount);
    for (std::size_t part = 0; part < m_input.relays.size(); ++part) {
        bool resumes = false;
        for (const auto shard : m_input.relays[part].shards) {
            auto &state = m_shards[shard];
            if (state.recoverable && std::exchange(state.outstandingAtRelay, false)) {
                recover(state);
                state.resumed = true;
                resumes = true;
            }
        }
        if (resumes) {
            m_resumes.push_back({part, neededShards});
        }
    }
    for (std::size_t shard = 0; shard < m_shards.size() && m_answeredCount + openCount() < requiredShards(); ++shard) {
        auto &state = m_shards[shard];
        if (!state.recoverable) {
            continue;
        }
        recover(state);
        if (!tryRetry(shard, state.lastEnd, now)) {
            state.failed = true;
            ++m_failedCount;
        }
    }
}

void gather_run::resume(std::uint32_t neededShards, time_point now)
{
    m_finished = false;
    m_resumed = true;
    m_result = {};
    m_resumeGoal = m_deliveredCount + std::max(1U, neededShards);
    finishOrSchedule(now);
}

void gather_run::relayFailed(std::size_t part, bool noCallsSent, time_point now)
{
    if (m_finished || !m_relayPending[part]) {
        return;
    }
    m_relayPending[part] = false;
    for (const auto shard : m_input.relays[part].shards) {
        auto &state = m_shards[shard];
        auto &budget = m_registry.budget(m_input.shards[shard]);
        if (noCallsSent) {
            state.reserved.reset(); // No other host works on the shard.
        } else {
            state.maxServers = reservedServers();
        }
        const bool affordable = noCallsSent || budget.tokens() >= 1;
        if (affordable && send(shard, false, false, now)) {
            if (noCallsSent) {
                budget.recordFirstCall();
            } else {
                budget.tryAcquireRetry();
                ++m_result.retries;
            }
        } else {
            state.failed = true;
            ++m_failedCount;
        }
    }
    finishOrSchedule(now);
}

bool gather_run::hedgeDue(const shard_state &shard, time_point now) const
{
    if (shard.answered || shard.failed || shard.hedged || shard.outstanding.size() != 1 || shard.tried.size() >= shard.maxServers) {
        return false;
    }
    const auto &call = shard.outstanding.front();
    const auto age = now - call.sentAt;
    return age >= m_hedgeDelay || (age >= minHedgeAge && call.server->paused(now));
}

void gather_run::sendHedges(time_point now)
{
    for (std::size_t shard = 0; shard < m_shards.size() && m_hedgesLeft > 0; ++shard) {
        if (!hedgeDue(m_shards[shard], now)) {
            continue;
        }
        auto &budget = m_registry.budget(m_input.shards[shard]);
        // A hedge needs a backend server with a free slot, unless the target has passed without the minimum coverage.
        const bool needed = m_answeredCount < requiredShards();
        if (!budget.canHedge() || !send(shard, false, !needed || now < m_input.target, now)) {
            continue;
        }
        budget.tryAcquireHedge();
        m_shards[shard].hedged = true;
        ++m_result.hedges;
        --m_hedgesLeft;
    }
}

std::size_t gather_run::requiredShards(double minCoverage, std::size_t shards)
{
    // The tolerance keeps 0.89 of 100 shards at 89 despite rounding errors.
    const auto least = static_cast<std::size_t>(std::ceil(minCoverage * static_cast<double>(shards) - 1e-9));
    return std::max<std::size_t>(1, least);
}

std::size_t gather_run::requiredShards() const
{
    return requiredShards(m_input.minCoverage, m_shards.size());
}

bool gather_run::minCoverageReached() const
{
    return m_answeredCount >= requiredShards();
}

void gather_run::wakeup(time_point now)
{
    if (m_finished) {
        return;
    }
    if (now - m_nextWakeup > maxWakeupDelay && now < m_input.target + 2 * maxRelayDelay) {
        m_waitsForUnreadUntil = now + minHedgeInterval;
    }
    if (now >= m_waitsForUnreadUntil) {
        for (std::size_t part = 0; part < m_relayPending.size(); ++part) {
            if (m_relayPending[part] && now >= m_input.target + maxRelayDelay && !minCoverageReached()) {
                relayFailed(part, false, now);
            }
        }
        sendHedges(now);
    }
    finishOrSchedule(now);
}

void gather_run::finishOrSchedule(time_point now)
{
    if (m_finished) {
        return;
    }
    recoverShards(now);
    if (m_answeredCount == m_shards.size()) {
        finish(gather_end::complete);
    } else if (openCount() == 0) {
        finish(minCoverageReached() ? gather_end::partial : gather_end::tooFew);
    } else if (m_shards.size() - m_failedCount + m_recoverableCount < requiredShards()) {
        finish(gather_end::tooFew);
    } else if (m_resumed) {
        // The target has passed; the asking host waits for a certain number of shards.
        if (m_answeredCount >= m_resumeGoal) {
            finish(gather_end::partial);
        } else if (now >= m_input.deadline) {
            finish(gather_end::late);
        } else {
            scheduleWakeup(now);
        }
    } else if (now >= m_input.target && (minCoverageReached() || m_input.resumable)) {
        finish(minCoverageReached() ? gather_end::partial : gather_end::late);
    } else if (now >= m_input.deadline) {
        finish(gather_end::late);
    } else {
        scheduleWakeup(now);
    }
}

bool gather_run::anyRelayPending() const
{
    return std::find(m_relayPending.begin(), m_relayPending.end(), true) != m_relayPending.end();
}

void gather_run::scheduleWakeup(time_point now)
{
    m_nextWakeup = m_input.deadline;
    if (now < m_input.target) {
        m_nextWakeup = std::min(m_nextWakeup, m_input.target);
    }
    if (anyRelayPending()) {
        m_nextWakeup = std::min(m_nextWakeup, std::max({now, m_input.target + maxRelayDelay, m_waitsForUnreadUntil}));
    }
    if (m_hedgesLeft == 0) {
        return;
    }
    for (const auto &shard : m_shards) {
        if (!shard.answered && !shard.failed && !shard.hedged && shard.outstanding.size() == 1 && shard.tried.size() < shard.maxServers) {
            const auto due =
                std::max(shard.outstanding.front().sentAt + std::min<std::chrono::microseconds>(m_hedgeDelay, replica::minPausedAge),
                         std::max(now + minHedgeInterval, m_waitsForUnreadUntil));
            m_nextWakeup = std::min(m_nextWakeup, due);
        }
    }
}

void gather_run::finish(gather_end end)
{
    m_finished = true;
    m_nextWakeup = time_point::max();
    m_result.end = end;
    m_result.missing = static_cast<std::uint32_t>(m_shards.size() - m_answeredCount);
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        if (!m_shards[shard].answered) {
            m_result.firstMissingShard = m_input.shards[shard];
            m_result.firstMissingEnd = m_shards[shard].failed ? m_shards[shard].lastEnd : attempt_end::timedOut;
            break;
        }
    }
    for (auto &shard : m_shards) {
        const auto missingEnd = shard.failed ? shard.lastEnd : attempt_end::timedOut;
        const auto answeredEnd = shard.delivered ? attempt_end::abandoned : attempt_end::served;
        m_result.shards.push_back({shard.answered ? answeredEnd : missingEnd, std::exchange(shard.signature, {})});
    }
    if (m_result.succeeded() || m_input.keepPartial) {
        mergeRecords();
    }
    if (m_input.resumable) {
        m_deliveredCount = m_answeredCount;
        for (auto &shard : m_shards) {
            shard.delivered = shard.answered;
            shard.body.clear();
        }
    }
}

void gather_run::mergeRecords()
{
    std::vector<std::string_view> bodies{m_relayRecords};
    for (const auto &shard : m_shards) {
        if (shard.answered) {
            bodies.push_back(shard.body);
        }
    }
    m_result.records = mergeGreatestRecords(bodies, m_input.maxRecords);
}

} // namespace orioledrum
