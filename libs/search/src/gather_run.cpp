#include <search/gather_run.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <utility>

namespace orioledrum
{

namespace
{

/// Minimum time between two checks for calls to hedge.
constexpr std::chrono::milliseconds minHedgeInterval{4};
/// Minimum time before the deadline at which a retry is still sent; a later one would not be answered in time.
constexpr std::chrono::milliseconds minRetryTime{3};

std::uint32_t hashOf(const replica &server)
{
    // std::hash gives the same value on all hosts, because they run the same program.
    return static_cast<std::uint32_t>(std::hash<backend_id>{}(server.entry().id));
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
            allowPreferredServers(shard, part.zone);
        }
    }
    if (m_input.preferredZone) {
        for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
            allowServersOfAskingHost(shard);
        }
    }
}

void gather_run::allowPreferredServers(std::size_t shard, const zone_id &zone)
{
    const replica_preference preference{zone, m_input.preferenceSeed};
    m_shards[shard].allowed = m_registry.preferredReplicas(m_input.shards[shard], preference, m_input.maxServers);
}

void gather_run::allowServersOfAskingHost(std::size_t shard)
{
    auto &allowed = m_shards[shard].allowed.emplace();
    if (shard < m_input.allowedServers.size()) {
        const auto &hashes = m_input.allowedServers[shard];
        for (auto &server : m_registry.replicas(m_input.shards[shard])) {
            if (std::find(hashes.begin(), hashes.end(), hashOf(*server)) != hashes.end()) {
                allowed.push_back(std::move(server));
            }
        }
    }
    if (allowed.empty() && m_input.maxServers > 1) {
        // This host has no entry of an allowed backend server: the two hosts have different entries, and either may have the newer
        // ones. This host may call one other backend server; maxServersAfterRelay() of the asking host leaves room for it.
        allowed = m_registry.preferredReplicas(m_input.shards[shard], {*m_input.preferredZone, m_input.preferenceSeed}, 1);
    }
}

std::vector<server_hashes> gather_run::allowedServers(std::size_t part) const
{
    std::vector<server_hashes> servers;
    for (const auto shard : m_input.relays[part].shards) {
        auto &hashes = servers.emplace_back();
        for (const auto &server : *m_shards[shard].allowed) {
            hashes.push_back(hashOf(*server));
        }
    }
    return servers;
}

std::uint32_t gather_run::maxServersAfterRelay() const
{
    // The gathering host may call one backend server that is not allowed, see allowServersOfAskingHost(). So this host calls one fewer.
    return std::max(1U, m_input.maxServers - 1);
}

void gather_run::start(time_point now)
{
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
    const auto untilTarget = std::chrono::duration<double, std::micro>(m_input.target - now).count();
    struct expected_shard {
        std::chrono::microseconds time;
        std::size_t shard;
    };
    std::vector<expected_shard> expected;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        if (!m_registry.reachable(m_input.shards[shard], now)) {
            continue;
        }
        const auto &service = m_input.shards[shard];
        const auto unqueuedLatency = m_profile.unqueuedLatency();
        if (const auto time = m_shards[shard].relayed ? m_registry.expectedRelayTime(service, unqueuedLatency, now)
                                                      : m_registry.expectedTime(service, unqueuedLatency, now)) {
            expected.push_back({*time, shard});
        }
    }
    if (expected.size() < requiredShards()) {
        finish(gather_end::notStarted);
        return false;
    }
    std::sort(expected.begin(), expected.end(), [](const expected_shard &a, const expected_shard &b) { return a.time < b.time; });
    m_result.expected = expected[requiredShards() - 1].time;
    if (untilTarget > 0 && static_cast<double>(m_result.expected.count()) > untilTarget * refuseFactor) {
        finish(gather_end::overloaded);
        return false;
    }
    auto maxSkipped = static_cast<std::size_t>(static_cast<double>(expected.size() - requiredShards()) * maxSkippedShare);
    for (auto each = expected.rbegin(); each != expected.rend() && maxSkipped > 0; ++each, --maxSkipped) {
        if (static_cast<double>(each->time.count()) <= untilTarget * skipFactor) {
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
    const auto unqueuedLatency = m_profile.unqueuedLatency();
    const auto server = m_registry.choose(
        {&m_input.shards[shard], unqueuedLatency, &state.tried, reuseTried, requireFreeSlot, state.allowed ? &*state.allowed : nullptr},
        now);
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
    if (m_finished || attempt >= m_shardOfAttempt.size()) {
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
    finishOrSchedule(now);
}

void gather_run::handleFailure(std::size_t shard, attempt_end end, time_point now)
{
    auto &state = m_shards[shard];
    if (!state.outstanding.empty() || tryRetry(shard, end, now)) {
        return;
    }
    state.failed = true;
    ++m_failedCount;
}

bool gather_run::tryRetry(std::size_t shard, attempt_end end, time_point now)
{
    auto &state = m_shards[shard];
    auto &budget = m_registry.budget(m_input.shards[shard]);
    if (now + minRetryTime >= m_input.deadline || state.sendCount > m_input.maxServers || budget.tokens() < 1) {
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

void gather_run::relayAnswered(std::size_t part, relay_result &&result, time_point now)
{
    if (m_finished || !m_relayPending[part]) {
        return;
    }
    if (result.end == gather_end::notStarted) {
        relayFailed(part, true, now); // The other host reaches too few shards and has sent nothing; this host may reach them.
        return;
    }
    m_relayPending[part] = false;
    if (result.end == gather_end::overloaded && !minCoverageReached() && m_shardOfAttempt.empty() && m_relayPending.size() == 1) {
        finish(gather_end::overloaded);
        return;
    }
    m_result.hedges += result.hedges;
    m_result.retries += result.retries;
    m_relayRecords += result.records;
    const auto &positions = m_input.relays[part].shards;
    for (std::size_t i = 0; i < positions.size() && i < result.shards.size(); ++i) {
        if (result.shards[i].loadFactor > 0) {
            m_registry.setLoadHint(m_input.shards[positions[i]], result.shards[i].loadFactor, now);
        }
        if (result.shards[i].end != attempt_end::served) {
            continue;
        }
        auto &state = m_shards[positions[i]];
        state.answered = true;
        state.signature = std::move(result.shards[i].signature);
        ++m_answeredCount;
    }
    for (std::size_t i = 0; i < positions.size(); ++i) {
        auto &state = m_shards[positions[i]];
        if (state.answered) {
            continue;
        }
        state.lastEnd = i < result.shards.size() ? result.shards[i].end : attempt_end::broken;
        ++state.sendCount; // Counts the call of the other host.
        state.maxServers = maxServersAfterRelay();
        // This host calls backend servers for a missing shard only when the minimum coverage is not reached, no other host can
        // still add shards, and the gathering host was not overloaded.
        const bool notNeeded = minCoverageReached() || anyRelayPending() || result.end == gather_end::overloaded;
        if (notNeeded || !tryRetry(positions[i], state.lastEnd, now)) {
            state.failed = true;
            ++m_failedCount;
        }
    }
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
        if (!noCallsSent) {
            m_shards[shard].maxServers = maxServersAfterRelay();
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

std::size_t gather_run::requiredShards() const
{
    // The tolerance keeps 0.89 of 100 shards at 89 despite rounding errors.
    const auto least = static_cast<std::size_t>(std::ceil(m_input.minCoverage * static_cast<double>(m_shards.size()) - 1e-9));
    return std::max<std::size_t>(1, least);
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
    for (std::size_t part = 0; part < m_relayPending.size(); ++part) {
        if (m_relayPending[part] && now >= m_input.target - relayMargin) {
            relayFailed(part, false, now);
        }
    }
    sendHedges(now);
    finishOrSchedule(now);
}

void gather_run::finishOrSchedule(time_point now)
{
    if (m_finished) {
        return;
    }
    if (m_answeredCount == m_shards.size()) {
        finish(gather_end::complete);
    } else if (m_answeredCount + m_failedCount == m_shards.size()) {
        finish(minCoverageReached() ? gather_end::partial : gather_end::tooFew);
    } else if (m_shards.size() - m_failedCount < requiredShards()) {
        finish(gather_end::tooFew);
    } else if (now >= m_input.target && minCoverageReached()) {
        finish(gather_end::partial);
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
        m_nextWakeup = std::min(m_nextWakeup, std::max(now, m_input.target - relayMargin));
    }
    if (m_hedgesLeft == 0) {
        return;
    }
    for (const auto &shard : m_shards) {
        if (!shard.answered && !shard.failed && !shard.hedged && shard.outstanding.size() == 1 && shard.tried.size() < shard.maxServers) {
            const auto due =
                std::max(shard.outstanding.front().sentAt + std::min<std::chrono::microseconds>(m_hedgeDelay, replica::minPausedAge),
                         now + minHedgeInterval);
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
        m_result.shards.push_back({shard.answered ? attempt_end::served : missingEnd, std::move(shard.signature)});
    }
    if (m_result.succeeded() || m_input.keepPartial) {
        mergeRecords();
    }
}

void gather_run::mergeRecords()
{
    std::vector<const char *> records;
    for (auto &shard : m_shards) {
        if (!shard.answered) {
            continue;
        }
        for (std::size_t offset = 0; offset + recordBytes <= shard.body.size(); offset += recordBytes) {
            records.push_back(shard.body.data() + offset);
        }
    }
    for (std::size_t offset = 0; offset + recordBytes <= m_relayRecords.size(); offset += recordBytes) {
        records.push_back(m_relayRecords.data() + offset);
    }
    const auto greater = [](const char *a, const char *b) { return std::memcmp(a, b, recordBytes) > 0; };
    const auto recordCount = std::min<std::size_t>(m_input.maxRecords, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(recordCount), records.end(), greater);
    m_result.records.reserve(recordCount * recordBytes);
    for (std::size_t i = 0; i < recordCount; ++i) {
        m_result.records.append(records[i], recordBytes);
    }
}

} // namespace orioledrum
