#include <search/service_stats.h>

#include <algorithm>
#include <cmath>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr double hedgeTokenCapacity = 40;
constexpr double initialHedgeTokens = 20;
constexpr double retryTokenCapacity = 100;
constexpr std::uint32_t minLatencySamples = 100;
constexpr auto defaultHedgeDelay = 20ms; // Until there are enough latency samples.
constexpr auto choiceCacheLifetime = 100ms; // Limited because drainingUntil can pass without a change of the table version.
constexpr auto drainingBackoff = 1s; // The owner refuses calls to a draining backend server; this backoff limits the refusals.
constexpr auto initialProbeBackoff = 1s; // Doubles with each failure after the ejection, up to maxBackoffDoublings times.
constexpr std::uint32_t maxBackoffDoublings = 2;
constexpr float outcomeSmoothing = 0.1F; // Weight of the latest answer in the moving averages.

} // namespace

service_stats::service_stats(std::shared_ptr<const search_topology> topology, zone_id localZone, time_point /*now*/)
    : m_table(makeTable(std::move(topology), localZone))
    , m_localZone(std::move(localZone))
    , m_hedgeTokens(defaultHedgeShare, hedgeTokenCapacity, initialHedgeTokens)
    , m_retryTokens(retryShare, retryTokenCapacity, retryTokenCapacity)
{
}

std::shared_ptr<backend_table> service_stats::makeTable(std::shared_ptr<const search_topology> topology, const zone_id &localZone)
{
    auto table = std::make_shared<backend_table>();
    table->records.resize(topology->backendCount());
    for (std::size_t number = 0; number < table->records.size(); ++number) {
        table->records[number].excluded = topology->excluded(number);
    }
    for (std::size_t layout = 0; layout < topology->layouts().size(); ++layout) {
        const auto &shards = topology->layouts()[layout].shards;
        for (std::size_t shard = 0; shard < shards.size(); ++shard) {
            for (std::size_t replica = 0; replica < shards[shard].replicas.size(); ++replica) {
                table->records[topology->backendNumber(layout, shard, replica)].localZone =
                    shards[shard].replicas[replica].zone == localZone;
            }
        }
    }
    table->topology = std::move(topology);
    return table;
}

void service_stats::setTopology(std::shared_ptr<const search_topology> topology, time_point /*now*/)
{
    auto table = makeTable(std::move(topology), m_localZone);
    for (std::size_t number = 0; number < table->records.size(); ++number) {
        const auto *oldRecord = findRecord(table->topology->backends()[number]);
        if (oldRecord == nullptr) {
            continue;
        }
        auto &newRecord = table->records[number];
        const bool excluded = newRecord.excluded;
        const bool localZone = newRecord.localZone;
        newRecord = *oldRecord;
        newRecord.excluded = excluded;
        newRecord.localZone = localZone;
        // Running queries count their outstanding attempts in the table with which they started.
        newRecord.outstanding = 0;
    }
    m_oldTables.emplace_back(m_table);
    m_table = std::move(table);
    std::erase_if(m_oldTables, [](const auto &old) { return old.expired(); });
    for (const auto &weakTable : m_oldTables) {
        const auto old = weakTable.lock();
        if (!old) {
            continue;
        }
        for (std::size_t number = 0; number < old->records.size(); ++number) {
            const auto found = m_table->topology->find(old->topology->backends()[number]);
            old->records[number].excluded = found == m_table->records.size() || m_table->records[found].excluded;
        }
        ++old->version;
    }
    m_choiceCache = {};
}

void service_stats::recordReport(const backend_id &backend, const backend_report &report, time_point now)
{
    const auto number = m_table->topology->find(backend);
    if (number < m_table->records.size()) {
        applyReport(*m_table, m_table->records[number], report, now);
    }
}

const backend_record *service_stats::findRecord(const backend_id &backend) const
{
    const auto number = m_table->topology->find(backend);
    return number < m_table->records.size() ? &m_table->records[number] : nullptr;
}

std::optional<std::chrono::microseconds> service_stats::latencyQuantile(double quantile) const
{
    if (m_latency.samples() < minLatencySamples) {
        return std::nullopt;
    }
    return m_latency.quantile(quantile);
}

std::chrono::microseconds service_stats::hedgeDelay(std::chrono::microseconds minimum) const
{
    if (m_latency.samples() < minLatencySamples) {
        return std::max<std::chrono::microseconds>(minimum, defaultHedgeDelay);
    }
    // 5% of all attempts exceed the 95th percentile, but the budget is 4%. A fixed percentile would spend the budget on
    // attempts that are about to be answered.
    return std::max(minimum, m_latency.quantile(0.95 + 0.04 * (1 - m_hedgeTokens.fillRatio())));
}

std::optional<snapshot_ref> service_stats::chooseSnapshot(double minCoverage, std::optional<snapshot_ref> newerThan, time_point now)
{
    const auto choice = chooseCandidate(*m_table, minCoverage, newerThan, now);
    return choice ? std::optional(choice->ref) : std::nullopt;
}

std::optional<service_stats::snapshot_candidate>
service_stats::chooseCandidate(const backend_table &table, double minCoverage, std::optional<snapshot_ref> newerThan, time_point now)
{
    const bool cacheable = &table == m_table.get() && !newerThan;
    if (cacheable && m_choiceCache.version == table.version && m_choiceCache.minCoverage == minCoverage && now < m_choiceCache.validUntil) {
        return m_choiceCache.choice;
    }
    const auto best = selectCandidate(collectCandidates(table, newerThan, now), minCoverage);
    if (cacheable) {
        m_choiceCache = {table.version, minCoverage, now + choiceCacheLifetime, best};
    }
    return best;
}

std::vector<service_stats::snapshot_candidate>
service_stats::collectCandidates(const backend_table &table, std::optional<snapshot_ref> newerThan, time_point now)
{
    struct snapshot_count {
        std::uint64_t snapshot = 0;
        std::size_t shards = 0;
        std::size_t lastShard = 0;
    };
    std::vector<snapshot_candidate> candidates;
    std::vector<snapshot_count> snapshotCounts;
    for (std::size_t layout = 0; layout < table.topology->layouts().size(); ++layout) {
        const auto &definition = table.topology->layouts()[layout];
        snapshotCounts.clear();
        for (std::size_t shard = 0; shard < definition.shards.size(); ++shard) {
            for (std::size_t replica = 0; replica < definition.shards[shard].replicas.size(); ++replica) {
                const auto &record = table.records[table.topology->backendNumber(layout, shard, replica)];
                if (record.excluded || now < record.drainingUntil || record.ejected) {
                    continue;
                }
                for (const auto &held : record.heldSnapshots) {
                    if (held.layout != definition.number || held.snapshot == 0 || (newerThan && held.snapshot <= newerThan->snapshot)) {
                        continue;
                    }
                    auto found = std::find_if(snapshotCounts.begin(), snapshotCounts.end(), [&held](const snapshot_count &entry) {
                        return entry.snapshot == held.snapshot;
                    });
                    if (found == snapshotCounts.end()) {
                        snapshotCounts.push_back({held.snapshot, 1, shard});
                    } else if (found->lastShard != shard) {
                        ++found->shards;
                        found->lastShard = shard;
                    }
                }
            }
        }
        for (const auto &entry : snapshotCounts) {
            candidates.push_back(
                {{entry.snapshot, definition.number}, static_cast<double>(entry.shards) / static_cast<double>(definition.shards.size())});
        }
    }
    return candidates;
}

std::optional<service_stats::snapshot_candidate> service_stats::selectCandidate(const std::vector<snapshot_candidate> &candidates,
                                                                                double minCoverage)
{
    double maxShare = 0;
    for (const auto &candidate : candidates) {
        maxShare = std::max(maxShare, candidate.share);
    }
    const double requiredShare = std::min(maxShare, minCoverage);
    std::optional<snapshot_candidate> best;
    for (const auto &candidate : candidates) {
        if (candidate.share + 1e-9 >= requiredShare && (!best || candidate.ref > best->ref)) {
            best = candidate;
        }
    }
    return best;
}

void service_stats::applyReport(backend_table &table, backend_record &record, const backend_report &report, time_point now)
{
    const bool sorted = std::is_sorted(report.heldSnapshots.begin(), report.heldSnapshots.end());
    if (!record.heldSnapshotsKnown || !sorted || record.heldSnapshots != report.heldSnapshots) {
        auto heldSnapshots = report.heldSnapshots;
        std::sort(heldSnapshots.begin(), heldSnapshots.end());
        if (!record.heldSnapshotsKnown || heldSnapshots != record.heldSnapshots) {
            record.heldSnapshots = std::move(heldSnapshots);
            record.heldSnapshotsKnown = true;
            ++table.version;
        }
    }
    if (report.state == backend_state::draining) {
        if (record.state != backend_state::draining) {
            ++table.version;
        }
        record.drainingUntil = now + drainingBackoff;
    } else if (record.state == backend_state::draining) {
        record.drainingUntil = time_point{};
        ++table.version;
    }
    record.state = report.state;
    record.slots = std::max(1U, report.slots);
    record.slotsInUse = report.slotsInUse;
    record.lastReportAt = now;
}

void service_stats::removeHeldSnapshot(backend_table &table, backend_record &record, snapshot_ref snapshot, time_point now)
{
    record.heldSnapshotsKnown = true;
    record.lastReportAt = now;
    if (std::erase(record.heldSnapshots, snapshot) != 0) {
        ++table.version;
    }
}

void service_stats::recordOutcome(backend_table &table, backend_record &record, const shard_answer &answer, time_point now)
{
    if (answer.hasReport) {
        applyReport(table, record, answer.report, now);
    }
    if (answer.status == shard_status::refused && answer.code == error_code::draining) {
        record.state = backend_state::draining;
        record.drainingUntil = now + drainingBackoff;
        ++table.version;
    }
    const bool overload = answer.status == shard_status::refused
        && (answer.code == error_code::overloaded || answer.code == error_code::deadlineExceeded || answer.code == error_code::notReady);
    record.refusalShare += outcomeSmoothing * ((overload ? 1.0F : 0.0F) - record.refusalShare);
    record.meanQueueMicros += outcomeSmoothing * (static_cast<float>(answer.queueTime.count()) - record.meanQueueMicros);
    record.lastOutcomeAt = now;
    if (answer.status == shard_status::answered || answer.status == shard_status::partial) {
        record.failureScore = 0;
        record.failuresSinceEjection = 0;
        if (record.ejected) {
            record.ejected = false;
            ++table.version;
        }
    } else if (answer.status == shard_status::failed || answer.code == error_code::unreachable) {
        recordFailure(table, record, answer.code == error_code::unreachable ? unreachableWeight : failureWeight, now);
    }
}

void service_stats::recordFailure(backend_table &table, backend_record &record, std::uint32_t weight, time_point now)
{
    record.failureScore += weight;
    if (record.ejected) {
        ++record.failuresSinceEjection;
    } else if (record.failureScore >= ejectionThreshold) {
        record.ejected = true;
        record.ejectedSince = now;
        ++m_counts.ejections;
        ++table.version;
    } else {
        return;
    }
    record.nextProbe = now + initialProbeBackoff * (1U << std::min(record.failuresSinceEjection, maxBackoffDoublings));
}

void service_stats::recordFirstAttempts(std::uint32_t count)
{
    m_counts.firstAttempts += count;
    m_hedgeTokens.add(count);
    m_retryTokens.add(count);
}

bool service_stats::takeHedgeToken()
{
    if (!m_hedgeTokens.tryAcquire()) {
        return false;
    }
    ++m_counts.hedges;
    return true;
}

bool service_stats::takeRetryToken()
{
    if (!m_retryTokens.tryAcquire()) {
        return false;
    }
    ++m_counts.retries;
    return true;
}

} // namespace orioledrum
