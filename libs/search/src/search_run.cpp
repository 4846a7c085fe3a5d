#include <search/search_run.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t maxAttemptsPerShard = 8;
constexpr double retrySharePerQuery = 0.10;
// Minimum, because the retry share of a small number of shards rounds down to 0. The retry budget of the service applies as well.
constexpr std::uint32_t minRetriesPerQuery = 3;
// Limits the probes of one query: a failed probe needs a retry, and the probes of a zone whose backend servers were ejected together
// are due together.
constexpr double probeSharePerQuery = 0.02;
constexpr auto retryJitter = 1000us;
constexpr auto sameBackendBackoff = 10ms; // Before a retry on the same backend server; doubles with each attempt.
constexpr int repeatHedgeDelayFactor = 2; // Multiple of the hedge delay before a hedge to a replica that has been tried.
constexpr auto hedgeCheckInterval = 2ms; // Between checks of delayed hedges.
constexpr auto pinCheckInterval = 1ms; // Between checks for a snapshot to pin, during discovery or for a restart.
constexpr auto discoveryTimeout = 50ms; // Then other replicas of the shards without an answer are asked.
constexpr auto probeInterval = 1s;
// A backend server that did not hold the pinned snapshot gets no attempt for it until its report is this old. Until then,
// the shard is missing if no other replica can serve it.
constexpr auto heldReportMaxAge = 100ms;
constexpr auto outcomeMaxAge = 1s; // Older refusals and queue times are ignored.
constexpr float refusalShareThreshold = 0.1F;
constexpr float queueThresholdMicros = 5000;
constexpr double minSelectionProbability = 0.05; // A loaded replica still gets some attempts, so that its recovery is noticed.
constexpr double overloadRefusalShare = 0.05;

double sortableScore(const hit &value)
{
    return std::isnan(value.score) ? -std::numeric_limits<double>::infinity() : value.score;
}

bool ranksBefore(const hit &left, const hit &right)
{
    const double leftScore = sortableScore(left);
    const double rightScore = sortableScore(right);
    return leftScore != rightScore ? leftScore > rightScore : left.id < right.id;
}

double relativeLoad(const backend_record &record)
{
    const double busy = static_cast<double>(record.slotsInUse) + record.outstanding + 1;
    return busy / std::max(1U, record.slots) * (record.state == backend_state::cold ? 4 : 1);
}

missing_reason missingReasonFor(error_code code)
{
    switch (code) {
    case error_code::snapshotNotHeld:
        return missing_reason::snapshotNotHeld;
    case error_code::overloaded:
    case error_code::deadlineExceeded:
        return missing_reason::overloaded;
    case error_code::unreachable:
        return missing_reason::failed;
    default:
        return missing_reason::refused;
    }
}

// Returns true for codes that allow a retry on the same backend server: there was no answer, and the cause is expected
// to end within the time of a query, for example while a lease moves to another owner. With `unreachable` the call may have run.
bool mayRetrySameBackend(error_code code)
{
    return code == error_code::notOwner || code == error_code::notReady || code == error_code::unreachable;
}

} // namespace

struct search_run::attempt_state {
    std::uint32_t shard = 0;
    std::uint32_t backend = 0; // Backend number in the topology.
    std::uint32_t layout = 0; // Layout index in the topology.
    std::uint8_t replica = 0;
    attempt_kind kind = attempt_kind::first;
    bool outstanding = true;
    time_point sent;
};

struct search_run::shard_state {
    bool answered = false;
    bool givenUp = false;
    bool retryScheduled = false;
    bool hasPartial = false;
    bool repeatAllowed = false; // The scheduled retry may go to a replica that has been tried.
    std::uint8_t attempts = 0;
    std::uint8_t outstanding = 0;
    missing_reason reason = missing_reason::late;
    error_code code = error_code::deadlineExceeded;
    std::uint64_t tried = 0; // Bit mask of replica indices.
    std::array<std::uint32_t, maxAttemptsPerShard> attemptIndex{}; // Indices in m_attempts; the first `attempts` are valid.
    time_point retryAt;
    std::vector<hit> partialHits;
};

search_run::search_run(search_input input, service_stats &stats, random_source &random)
    : m_input(std::move(input))
    , m_stats(stats)
    , m_random(random)
    , m_table(stats.m_table)
{
    m_input.policy.maxAttempts = std::clamp<std::uint32_t>(m_input.policy.maxAttempts, 1, maxAttemptsPerShard);
    m_input.policy.minCoverage = std::clamp(m_input.policy.minCoverage, 0.0, 1.0);
}

search_run::~search_run()
{
    for (auto &attempt : m_attempts) {
        if (attempt.outstanding) {
            endAttempt(attempt);
        }
    }
}

const search_layout &search_run::layout() const
{
    return m_table->topology->layouts()[m_layoutIndex];
}

time_point search_run::answerDeadline() const
{
    const monotonic_clock::duration proportionalMargin = (m_input.deadline - m_startTime) / answerMarginDivisor;
    return m_input.deadline - std::max<monotonic_clock::duration>(answerMargin, proportionalMargin);
}

void search_run::start(time_point now)
{
    m_startTime = now;
    const auto choice =
        m_stats.chooseCandidate(*m_table, m_input.policy.pinCoverage.value_or(m_input.policy.minCoverage), std::nullopt, now);
    if (choice) {
        startWithSnapshot(choice->ref, now);
    } else {
        startDiscovery(now);
    }
    evaluateProgress(now);
}

void search_run::startWithSnapshot(snapshot_ref ref, time_point now)
{
    const auto &layouts = m_table->topology->layouts();
    const auto found =
        std::find_if(layouts.begin(), layouts.end(), [&ref](const search_layout &entry) { return entry.number == ref.layout; });
    m_layoutIndex = static_cast<std::size_t>(found - layouts.begin());
    m_pinned = ref;
    m_discovering = false;
    m_firstAttemptId += m_attempts.size();
    m_attempts.clear();
    const auto total = static_cast<std::uint32_t>(layout().shards.size());
    m_attempts.reserve(total + total / 8);
    m_actions.reserve(m_actions.size() + total + 1);
    m_shards.clear();
    m_shards.resize(total);
    m_requiredShards = static_cast<std::uint32_t>(std::ceil(m_input.policy.minCoverage * total - 1e-9));
    m_answeredShards = 0;
    m_givenUpShards = 0;
    m_overloadRefusals = 0;
    m_coverageMet = false;
    m_topHits.clear();
    m_nextHedgeCandidate = 0;
    m_delayedHedges.clear();
    m_scheduledRetries.clear();
    m_retriesLeft = std::max(std::min(total, minRetriesPerQuery), static_cast<std::uint32_t>(total * retrySharePerQuery));
    m_probesLeft = std::max(1U, static_cast<std::uint32_t>(total * probeSharePerQuery));
    m_hedgeDelay = m_stats.hedgeDelay(m_input.policy.minHedgeDelay);
    m_nextPinCheck = now + pinCheckInterval;
    if (now >= answerDeadline()) {
        return;
    }
    m_result.firstAttempts += total;
    m_stats.recordFirstAttempts(total);
    for (std::uint32_t shard = 0; shard < total; ++shard) {
        sendFirst(shard, now);
    }
}

// Asks one replica of each shard of each layout which snapshots it holds.
void search_run::startDiscovery(time_point now)
{
    m_discovering = true;
    m_layoutIndex = m_table->topology->layouts().size() - 1;
    m_pinned = {0, layout().number};
    m_discoveryRoundEnd = std::min(now + discoveryTimeout, now + (answerDeadline() - now) / 4);
    m_askedBackends.assign(m_table->records.size(), false);
    if (now >= answerDeadline()) {
        return;
    }
    for (std::uint32_t index = 0; index < m_table->topology->layouts().size(); ++index) {
        for (std::uint32_t shard = 0; shard < m_table->topology->layouts()[index].shards.size(); ++shard) {
            sendDiscovery(index, shard, now);
        }
    }
}

// Sends a discovery attempt to a replica of the shard that has not been asked yet, preferably in this host's zone.
void search_run::sendDiscovery(std::uint32_t layoutIndex, std::uint32_t shard, time_point now)
{
    const auto &definition = m_table->topology->layouts()[layoutIndex];
    const auto &replicas = definition.shards[shard].replicas;
    std::optional<std::uint32_t> chosen;
    for (std::uint32_t replica = 0; replica < replicas.size(); ++replica) {
        const auto backend = m_table->topology->backendNumber(layoutIndex, shard, replica);
        const auto &record = m_table->records[backend];
        if (record.excluded || now < record.drainingUntil || m_askedBackends[backend]) {
            continue;
        }
        if (!chosen || (record.localZone && !m_table->records[m_table->topology->backendNumber(layoutIndex, shard, *chosen)].localZone)) {
            chosen = replica;
        }
    }
    if (!chosen) {
        return;
    }
    attempt_state attempt;
    attempt.shard = shard;
    attempt.backend = m_table->topology->backendNumber(layoutIndex, shard, *chosen);
    attempt.layout = layoutIndex;
    attempt.replica = static_cast<std::uint8_t>(*chosen);
    attempt.kind = attempt_kind::discovery;
    attempt.sent = now;
    m_attempts.push_back(attempt);
    m_askedBackends[attempt.backend] = true;
    ++m_table->records[attempt.backend].outstanding;
    ++m_outstandingAttempts;
    m_actions.emplace_back(send_attempt{m_firstAttemptId + m_attempts.size() - 1,
                                        attempt_kind::discovery,
                                        &replicas[*chosen],
                                        &definition.shards[shard].id,
                                        {0, definition.number}});
}

void search_run::updateDiscovery(time_point now)
{
    const bool timedOut = now >= m_discoveryRoundEnd;
    if (m_outstandingAttempts != 0 && !timedOut && now < m_nextPinCheck) {
        return;
    }
    m_nextPinCheck = now + pinCheckInterval;
    const auto choice =
        m_stats.chooseCandidate(*m_table, m_input.policy.pinCoverage.value_or(m_input.policy.minCoverage), std::nullopt, now);
    const bool coverageSuffices = choice && choice->share + 1e-9 >= m_input.policy.minCoverage;
    if (coverageSuffices || (choice && (m_outstandingAttempts == 0 || timedOut))) {
        cancelAll(now);
        startWithSnapshot(choice->ref, now);
        return;
    }
    if (timedOut) {
        // Asks other replicas of the shards whose discovery attempts have not been answered in time.
        const auto count = m_attempts.size();
        for (std::size_t index = 0; index < count; ++index) {
            if (m_attempts[index].outstanding) {
                sendDiscovery(m_attempts[index].layout, m_attempts[index].shard, now);
            }
        }
        m_discoveryRoundEnd = now + discoveryTimeout;
    }
    if (m_outstandingAttempts == 0) {
        // No backend server reported a held snapshot, so there is nothing to search.
        m_shards.resize(layout().shards.size());
        for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard) {
            giveUp(shard,
                   hasReplicaInService(shard, now) ? m_discoveryReason : missing_reason::noReplica,
                   hasReplicaInService(shard, now) ? m_discoveryCode : error_code::unreachable);
        }
        finish(now);
    }
}

bool search_run::hasReplicaInService(std::uint32_t shard, time_point now) const
{
    const auto &replicas = layout().shards[shard].replicas;
    for (std::uint32_t replica = 0; replica < replicas.size(); ++replica) {
        const auto &record = m_table->records[m_table->topology->backendNumber(m_layoutIndex, shard, replica)];
        if (!record.excluded && now >= record.drainingUntil) {
            return true;
        }
    }
    return false;
}

void search_run::sendFirst(std::uint32_t shard, time_point now)
{
    if (const auto replica = chooseReplica(shard, true, false, now)) {
        send(shard, *replica, attempt_kind::first, now);
        return;
    }
    const bool anyInService = hasReplicaInService(shard, now);
    giveUp(shard,
           anyInService ? missing_reason::snapshotNotHeld : missing_reason::noReplica,
           anyInService ? error_code::snapshotNotHeld : error_code::unreachable);
}

void search_run::send(std::uint32_t shard, std::uint32_t replica, attempt_kind kind, time_point now)
{
    auto &state = m_shards[shard];
    const auto backend = m_table->topology->backendNumber(m_layoutIndex, shard, replica);
    state.tried |= std::uint64_t{1} << replica;
    state.attemptIndex[state.attempts] = static_cast<std::uint32_t>(m_attempts.size());
    ++state.attempts;
    ++state.outstanding;
    ++m_outstandingAttempts;
    ++m_table->records[backend].outstanding;
    attempt_state attempt;
    attempt.shard = shard;
    attempt.backend = backend;
    attempt.layout = static_cast<std::uint32_t>(m_layoutIndex);
    attempt.replica = static_cast<std::uint8_t>(replica);
    attempt.kind = kind;
    attempt.sent = now;
    m_attempts.push_back(attempt);
    const auto &definition = layout().shards[shard];
    m_actions.emplace_back(
        send_attempt{m_firstAttemptId + m_attempts.size() - 1, kind, &definition.replicas[replica], &definition.id, m_pinned});
}

// Selects a replica of the best rank. From best to worst, the ranks are: local zone, other zone, loaded, held snapshots
// unknown, draining or without the snapshot according to an old report, ejected. Within a rank, the less loaded of two random
// replicas is selected. With firstAttempt, the attempt may become a probe. With allowRepeat, replicas that have been tried may
// be selected again.
std::optional<std::uint32_t> search_run::chooseReplica(std::uint32_t shard, bool firstAttempt, bool allowRepeat, time_point now)
{
    enum rank : std::uint8_t { localZone, otherZone, loaded, heldSnapshotsUnknown, drainingOrStale, ejected, unusable };
    const auto &replicas = layout().shards[shard].replicas;
    const auto &state = m_shards[shard];
    std::array<std::uint8_t, 64> ranks; // NOLINT(cppcoreguidelines-pro-type-member-init): filled up to count.
    const auto count = static_cast<std::uint32_t>(replicas.size());
    std::uint32_t inServiceCount = 0;
    std::uint32_t ejectedCount = 0;
    std::uint8_t best = rank::unusable;
    for (std::uint32_t index = 0; index < count; ++index) {
        ranks[index] = rank::unusable;
        auto &record = m_table->records[m_table->topology->backendNumber(m_layoutIndex, shard, index)];
        if (record.excluded || now < record.drainingUntil) {
            continue;
        }
        ++inServiceCount;
        ejectedCount += record.ejected ? 1 : 0;
        if (!allowRepeat && ((state.tried >> index) & 1U) != 0) {
            continue;
        }
        const bool holds = std::binary_search(record.heldSnapshots.begin(), record.heldSnapshots.end(), m_pinned);
        if (!holds && record.heldSnapshotsKnown && now - record.lastReportAt < heldReportMaxAge) {
            continue;
        }
        if (record.ejected) {
            ranks[index] = rank::ejected;
        } else if (record.state == backend_state::draining) {
            ranks[index] = rank::drainingOrStale;
        } else if (!holds) {
            ranks[index] = record.heldSnapshotsKnown ? rank::drainingOrStale : rank::heldSnapshotsUnknown;
        } else {
            double selectionProbability = 1;
            if (now - record.lastOutcomeAt < outcomeMaxAge) {
                if (record.refusalShare > refusalShareThreshold) {
                    selectionProbability = 1 - record.refusalShare;
                }
                if (record.meanQueueMicros > queueThresholdMicros) {
                    selectionProbability = std::min<double>(selectionProbability, queueThresholdMicros / record.meanQueueMicros);
                }
            }
            const bool preferred =
                selectionProbability >= 1 || m_random.nextDouble() < std::max(selectionProbability, minSelectionProbability);
            ranks[index] = !preferred ? rank::loaded : (record.localZone ? rank::localZone : rank::otherZone);
        }
        best = std::min(best, ranks[index]);
    }
    // At most half of the replicas in service, rounded down, stay ejected. Those ejected earliest are used again, with the rank of
    // another zone whatever their zone is.
    const std::uint32_t maxEjected = inServiceCount / 2;
    while (ejectedCount > maxEjected) {
        std::uint32_t earliest = count;
        time_point earliestSince = time_point::max();
        for (std::uint32_t index = 0; index < count; ++index) {
            const auto &record = m_table->records[m_table->topology->backendNumber(m_layoutIndex, shard, index)];
            if (ranks[index] == rank::ejected && record.ejectedSince < earliestSince) {
                earliest = index;
                earliestSince = record.ejectedSince;
            }
        }
        --ejectedCount;
        if (earliest == count) {
            continue; // The remaining ejected replicas cannot be selected, for example because they have been tried.
        }
        ranks[earliest] = rank::otherZone;
        best = std::min<std::uint8_t>(best, rank::otherZone);
    }
    if (best == rank::unusable) {
        return std::nullopt;
    }
    if (firstAttempt && m_probesLeft != 0 && best < rank::heldSnapshotsUnknown) {
        // Replicas of rank heldSnapshotsUnknown or worse are not selected and so send no reports. Each gets one first attempt per
        // interval as a probe.
        for (std::uint32_t index = 0; index < count; ++index) {
            if (ranks[index] < rank::heldSnapshotsUnknown || ranks[index] == rank::unusable) {
                continue;
            }
            auto &record = m_table->records[m_table->topology->backendNumber(m_layoutIndex, shard, index)];
            if (now >= record.nextProbe) {
                record.nextProbe = now + probeInterval;
                --m_probesLeft;
                return index;
            }
        }
    }
    std::uint32_t candidates = 0;
    for (std::uint32_t index = 0; index < count; ++index) {
        candidates += ranks[index] == best ? 1 : 0;
    }
    const auto nthCandidate = [&ranks, best](std::uint64_t position) {
        std::uint32_t index = 0;
        while (ranks[index] != best || position-- != 0) {
            ++index;
        }
        return index;
    };
    if (candidates == 1) {
        return nthCandidate(0);
    }
    const auto firstCandidate = m_random.below(candidates);
    const auto secondCandidate = (firstCandidate + 1 + m_random.below(candidates - 1)) % candidates;
    const auto left = nthCandidate(firstCandidate);
    const auto right = nthCandidate(secondCandidate);
    const double leftLoad = relativeLoad(m_table->records[m_table->topology->backendNumber(m_layoutIndex, shard, left)]);
    const double rightLoad = relativeLoad(m_table->records[m_table->topology->backendNumber(m_layoutIndex, shard, right)]);
    return rightLoad < leftLoad ? right : left;
}

search_run::attempt_state *search_run::findAttempt(std::uint64_t attempt)
{
    if (attempt < m_firstAttemptId || attempt - m_firstAttemptId >= m_attempts.size()) {
        return nullptr;
    }
    auto &found = m_attempts[attempt - m_firstAttemptId];
    return found.outstanding ? &found : nullptr;
}

void search_run::handleAnswer(const request_id &request, shard_answer &&answer, time_point now)
{
    if (request != m_input.request) {
        ++m_stats.m_counts.droppedAnswers;
        return;
    }
    auto *attempt = findAttempt(answer.attempt);
    bool matches = false;
    if (attempt != nullptr) {
        const auto &definition = m_table->topology->layouts()[attempt->layout].shards[attempt->shard];
        matches = answer.backend == definition.replicas[attempt->replica].backend && answer.shard == definition.id;
        if (matches && (answer.status == shard_status::answered || answer.status == shard_status::partial)) {
            matches = attempt->kind != attempt_kind::discovery && answer.snapshot == m_pinned;
        }
    }
    if (!matches) {
        ++m_stats.m_counts.droppedAnswers;
        if (answer.hasReport) {
            m_stats.recordReport(answer.backend, answer.report, now);
        }
        return;
    }
    const auto shard = attempt->shard;
    auto &record = m_table->records[attempt->backend];
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt->sent);
    const bool discovery = attempt->kind == attempt_kind::discovery;
    endAttempt(*attempt);
    m_stats.recordOutcome(*m_table, record, answer, now);
    if (discovery) {
        if (!answer.hasReport || answer.report.heldSnapshots.empty()) {
            handleDiscoveryFailure(*attempt, answer.code, now);
        }
        evaluateProgress(now);
        return;
    }
    --m_shards[shard].outstanding;
    switch (answer.status) {
    case shard_status::answered:
        m_stats.m_latency.record(elapsed);
        acceptAnswer(shard, std::move(answer.hits), now);
        break;
    case shard_status::partial: {
        m_stats.m_latency.record(elapsed);
        auto &state = m_shards[shard];
        if (!state.hasPartial || answer.hits.size() > state.partialHits.size()) {
            state.partialHits = std::move(answer.hits);
        }
        state.hasPartial = true;
        handleFailedAttempt(shard, missing_reason::partial, answer.code, now);
        break;
    }
    case shard_status::refused: {
        if (answer.code == error_code::snapshotNotHeld && !answer.hasReport) {
            m_stats.removeHeldSnapshot(*m_table, record, m_pinned, now);
        }
        const auto reason = missingReasonFor(answer.code);
        m_overloadRefusals += reason == missing_reason::overloaded ? 1 : 0;
        handleFailedAttempt(shard, reason, answer.code, now);
        break;
    }
    case shard_status::failed:
        handleFailedAttempt(shard, missing_reason::failed, answer.code, now);
        break;
    }
    evaluateProgress(now);
}

void search_run::handleAttemptFailure(std::uint64_t attempt, error_code code, time_point now)
{
    auto *found = findAttempt(attempt);
    if (found == nullptr) {
        return;
    }
    const auto shard = found->shard;
    const bool discovery = found->kind == attempt_kind::discovery;
    auto &record = m_table->records[found->backend];
    endAttempt(*found);
    if (code == error_code::unreachable) {
        m_stats.recordFailure(*m_table, record, service_stats::unreachableWeight, now);
    }
    if (discovery) {
        handleDiscoveryFailure(*found, code, now);
    } else {
        --m_shards[shard].outstanding;
        handleFailedAttempt(shard, missingReasonFor(code), code, now);
    }
    evaluateProgress(now);
}

void search_run::handleDiscoveryFailure(const attempt_state &attempt, error_code code, time_point now)
{
    m_discoveryReason = missingReasonFor(code);
    m_discoveryCode = code;
    sendDiscovery(attempt.layout, attempt.shard, now);
}

void search_run::acceptAnswer(std::uint32_t shard, std::vector<hit> &&hits, time_point now)
{
    auto &state = m_shards[shard];
    state.answered = true;
    ++m_answeredShards;
    mergeHits(std::move(hits));
    state.partialHits.clear();
    if (state.outstanding != 0) {
        for (std::size_t index = 0; index < state.attempts; ++index) {
            if (m_attempts[state.attemptIndex[index]].outstanding) {
                cancelAttempt(state.attemptIndex[index], now);
            }
        }
    }
    if (!m_coverageMet && m_answeredShards >= m_requiredShards) {
        m_coverageMet = true;
        m_coverageMetAt = now;
    }
}

void search_run::mergeHits(std::vector<hit> &&hits)
{
    if (m_input.limit == 0) {
        return;
    }
    for (auto &value : hits) {
        if (m_topHits.size() < m_input.limit) {
            m_topHits.push_back(std::move(value));
            std::push_heap(m_topHits.begin(), m_topHits.end(), ranksBefore);
        } else if (ranksBefore(value, m_topHits.front())) {
            std::pop_heap(m_topHits.begin(), m_topHits.end(), ranksBefore);
            m_topHits.back() = std::move(value);
            std::push_heap(m_topHits.begin(), m_topHits.end(), ranksBefore);
        }
    }
}

void search_run::endAttempt(attempt_state &attempt)
{
    attempt.outstanding = false;
    --m_table->records[attempt.backend].outstanding;
    --m_outstandingAttempts;
}

void search_run::cancelAttempt(std::uint32_t attempt, time_point now)
{
    auto &state = m_attempts[attempt];
    endAttempt(state);
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - state.sent);
    if (state.kind != attempt_kind::discovery) {
        --m_shards[state.shard].outstanding;
        if (elapsed >= m_hedgeDelay) {
            // The real latency is at least this. Without the cancelled attempts the percentile that triggers hedges would be too low.
            m_stats.m_latency.record(elapsed);
            m_stats.recordFailure(*m_table, m_table->records[state.backend], service_stats::slowWeight, now);
        }
    }
    m_actions.emplace_back(cancel_attempt{m_firstAttemptId + attempt,
                                          &m_table->topology->layouts()[state.layout].shards[state.shard].replicas[state.replica]});
}

void search_run::cancelAll(time_point now)
{
    if (m_outstandingAttempts == 0) {
        return;
    }
    for (std::uint32_t attempt = 0; attempt < m_attempts.size(); ++attempt) {
        if (m_attempts[attempt].outstanding) {
            cancelAttempt(attempt, now);
        }
    }
}

void search_run::handleFailedAttempt(std::uint32_t shard, missing_reason reason, error_code code, time_point now)
{
    auto &state = m_shards[shard];
    state.reason = reason;
    state.code = code;
    if (state.outstanding == 0 && !state.retryScheduled) {
        scheduleRetry(shard, now);
    }
}

// Returns true for codes with which an entry host rejects a call without calling the backend server.
bool search_run::neverReachedBackend(error_code code)
{
    return code == error_code::notOwner || code == error_code::notReady;
}

void search_run::scheduleRetry(std::uint32_t shard, time_point now)
{
    auto &state = m_shards[shard];
    const bool hasOtherReplica = chooseReplica(shard, false, false, now).has_value();
    const bool repeatSame = !hasOtherReplica && mayRetrySameBackend(state.code);
    if ((!hasOtherReplica && !repeatSame) || state.attempts >= m_input.policy.maxAttempts) {
        giveUp(shard, state.reason, state.code);
        return;
    }
    // The budget limits the extra load on backend servers. A call that no owner forwarded has caused no load and needs no budget.
    if (neverReachedBackend(state.code)) {
        ++m_result.reroutes;
    } else {
        if (m_retriesLeft == 0 || !m_stats.takeRetryToken()) {
            giveUp(shard, state.reason, state.code);
            return;
        }
        --m_retriesLeft;
        ++m_result.retries;
    }
    const std::chrono::microseconds jitter(m_random.below(retryJitter.count()));
    state.repeatAllowed = repeatSame;
    state.retryAt = now + jitter + (repeatSame ? sameBackendBackoff * (1U << (state.attempts - 1U)) : 0ms);
    state.retryScheduled = true;
    m_scheduledRetries.push_back(shard);
}

void search_run::sendRetries(time_point now)
{
    for (std::size_t index = 0; index < m_scheduledRetries.size();) {
        const auto shard = m_scheduledRetries[index];
        auto &state = m_shards[shard];
        if (now < state.retryAt) {
            ++index;
            continue;
        }
        m_scheduledRetries[index] = m_scheduledRetries.back();
        m_scheduledRetries.pop_back();
        state.retryScheduled = false;
        if (const auto replica = chooseReplica(shard, false, state.repeatAllowed, now)) {
            send(shard, *replica, attempt_kind::retry, now);
        } else {
            giveUp(shard, state.reason, state.code);
        }
    }
}

void search_run::sendHedges(time_point now)
{
    if (now >= m_nextHedgeCheck && !m_delayedHedges.empty()) {
        std::erase_if(m_delayedHedges, [this, now](std::uint32_t attempt) { return considerHedge(attempt, now); });
        m_nextHedgeCheck = now + hedgeCheckInterval;
    }
    m_hedgeDelay = m_stats.hedgeDelay(m_input.policy.minHedgeDelay);
    while (m_nextHedgeCandidate < m_attempts.size() && m_attempts[m_nextHedgeCandidate].sent + m_hedgeDelay <= now) {
        if (!considerHedge(m_nextHedgeCandidate, now)) {
            m_delayedHedges.push_back(m_nextHedgeCandidate);
            m_nextHedgeCheck = now + hedgeCheckInterval;
        }
        ++m_nextHedgeCandidate;
    }
}

// Sends a hedge if one is needed and possible. Returns false when the attempt must be checked again because the budget or the
// delay does not allow a hedge yet; true when it needs no further check.
bool search_run::considerHedge(std::uint32_t attempt, time_point now)
{
    const auto shard = m_attempts[attempt].shard;
    const auto &state = m_shards[shard];
    if (!m_attempts[attempt].outstanding || state.answered || state.attempts >= m_input.policy.maxAttempts) {
        return true;
    }
    auto replica = chooseReplica(shard, false, false, now);
    if (!replica) {
        // There is no other replica. The outstanding call may be lost, for example on an unresponsive connection, so a replica
        // that has been tried gets another attempt after a longer delay.
        if (now - m_attempts[attempt].sent < repeatHedgeDelayFactor * m_hedgeDelay) {
            return false;
        }
        replica = chooseReplica(shard, false, true, now);
        if (!replica) {
            return true;
        }
    }
    if (!m_stats.takeHedgeToken()) {
        return false;
    }
    ++m_result.hedges;
    send(shard, *replica, attempt_kind::hedge, now);
    return true;
}

void search_run::giveUp(std::uint32_t shard, missing_reason reason, error_code code)
{
    auto &state = m_shards[shard];
    state.givenUp = true;
    state.reason = reason;
    state.code = code;
    ++m_givenUpShards;
}

bool search_run::tryRestart(time_point now)
{
    if (m_result.restarted || now + 2 * m_hedgeDelay >= answerDeadline()) {
        return false;
    }
    m_nextPinCheck = now + pinCheckInterval;
    const auto choice = m_stats.chooseCandidate(*m_table, m_input.policy.minCoverage, m_pinned, now);
    if (!choice || choice->share + 1e-9 < m_input.policy.minCoverage) {
        return false;
    }
    cancelAll(now);
    m_result.restarted = true;
    startWithSnapshot(choice->ref, now);
    return true;
}

// Decides after each event whether the query continues, is restarted or is finished.
void search_run::evaluateProgress(time_point now)
{
    if (m_finished) {
        return;
    }
    if (now >= answerDeadline()) {
        finish(now);
        return;
    }
    if (m_discovering) {
        updateDiscovery(now);
        if (m_finished || m_discovering) {
            return;
        }
    }
    while (m_nextHedgeCandidate < m_attempts.size() && !m_attempts[m_nextHedgeCandidate].outstanding) {
        ++m_nextHedgeCandidate;
    }
    const auto total = static_cast<std::uint32_t>(m_shards.size());
    const bool allResolved = m_answeredShards + m_givenUpShards == total;
    if (!m_coverageMet && m_answeredShards >= m_requiredShards) {
        m_coverageMet = true; // Only when no shard is required; otherwise acceptAnswer() has set it.
        m_coverageMetAt = now;
    }
    if (!m_coverageMet && total - m_givenUpShards < m_requiredShards && (allResolved || now >= m_nextPinCheck) && tryRestart(now)) {
        if (m_answeredShards + m_givenUpShards == m_shards.size()) {
            finish(now);
        }
        return;
    }
    if (allResolved || (m_coverageMet && now >= extraWaitEnd())) {
        finish(now);
    }
}

time_point search_run::extraWaitEnd() const
{
    const auto &policy = m_input.policy;
    monotonic_clock::duration wait = policy.maxExtraWait;
    // With a minCoverage of 0 the coverage can be met at the start. The elapsed time is then 0, and so would be the wait.
    if (policy.elapsedFactor && m_coverageMetAt > m_startTime) {
        const std::chrono::duration<double, std::nano> proportionalWait = (m_coverageMetAt - m_startTime) * *policy.elapsedFactor;
        if (proportionalWait < wait) {
            wait = std::chrono::duration_cast<monotonic_clock::duration>(proportionalWait);
        }
    }
    return m_coverageMetAt + wait;
}

void search_run::wakeup(time_point now)
{
    if (m_finished) {
        return;
    }
    if (!m_discovering && now < answerDeadline()) {
        sendRetries(now);
        sendHedges(now);
    }
    evaluateProgress(now);
}

void search_run::cancel(time_point now)
{
    if (!m_finished) {
        finish(now);
    }
}

std::optional<time_point> search_run::nextWakeup() const
{
    if (m_finished) {
        return std::nullopt;
    }
    auto next = answerDeadline();
    if (m_discovering) {
        return std::min(next, m_discoveryRoundEnd);
    }
    if (m_coverageMet) {
        next = std::min(next, extraWaitEnd());
    }
    if (m_nextHedgeCandidate < m_attempts.size()) {
        next = std::min(next, time_point(m_attempts[m_nextHedgeCandidate].sent + m_hedgeDelay));
    }
    if (!m_delayedHedges.empty()) {
        next = std::min(next, m_nextHedgeCheck);
    }
    for (const auto shard : m_scheduledRetries) {
        next = std::min(next, m_shards[shard].retryAt);
    }
    return next;
}

void search_run::takeActions(std::vector<search_action> &out)
{
    if (out.empty()) {
        out.swap(m_actions);
        return;
    }
    out.insert(out.end(), std::make_move_iterator(m_actions.begin()), std::make_move_iterator(m_actions.end()));
    m_actions.clear();
}

void search_run::finish(time_point now)
{
    cancelAll(now);
    m_finished = true;
    m_result.snapshot = m_pinned;
    const auto &shards = layout().shards;
    m_shards.resize(shards.size());
    m_result.shardsTotal = static_cast<std::uint32_t>(shards.size());
    m_result.shardsAnswered = m_answeredShards;
    m_result.returnedEarly = m_answeredShards + m_givenUpShards < m_result.shardsTotal;
    m_result.overloaded = m_overloadRefusals > 0 && m_overloadRefusals >= overloadRefusalShare * m_result.shardsTotal;
    m_result.missing.reserve(m_result.shardsTotal - m_answeredShards);
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        auto &state = m_shards[shard];
        if (state.answered) {
            continue;
        }
        mergeHits(std::move(state.partialHits));
        missing_shard missing{shards[shard].id, state.givenUp ? state.reason : missing_reason::late, state.code};
        if (state.hasPartial) {
            missing.reason = missing_reason::partial;
        }
        m_result.missing.push_back(std::move(missing));
    }
    std::sort_heap(m_topHits.begin(), m_topHits.end(), ranksBefore);
    m_result.hits = std::move(m_topHits);
    m_actions.emplace_back(finish_search{std::move(m_result)});
}

} // namespace orioledrum
