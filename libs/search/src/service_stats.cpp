#include <search/service_stats.h>

#include <algorithm>
#include <cmath>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr double hedgeCapacity = 40;
constexpr double hedgeInitial = 20;
constexpr double retryCapacity = 100;
constexpr std::uint32_t minSamples = 100;
constexpr auto unknownHedgeDelay = 20ms; // Used before there are enough samples.
constexpr auto pinCacheTime = 100ms; // Draining states end by time without a change of the version.
constexpr auto drainingTime = 1s; // The owner refuses calls while the backend server drains; this bounds the refusals.
constexpr auto probeBackoff = 1s; // Doubles with each failed probe.
constexpr std::uint32_t maxBackoffDoublings = 2;
constexpr float outcomeWeight = 0.1F;

} // namespace

service_stats::service_stats(std::shared_ptr<const search_topology> topology, zone_id ownZone, time_point /*now*/)
    : m_table(makeTable(std::move(topology), ownZone))
    , m_ownZone(std::move(ownZone))
    , m_hedgeTokens(hedgeShare, hedgeCapacity, hedgeInitial)
    , m_retryTokens(retryShare, retryCapacity, retryCapacity)
{
}

std::shared_ptr<backend_table> service_stats::makeTable(std::shared_ptr<const search_topology> topology, const zone_id &ownZone)
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
                table->records[topology->backendNumber(layout, shard, replica)].ownZone = shards[shard].replicas[replica].zone == ownZone;
            }
        }
    }
    table->topology = std::move(topology);
    return table;
}

void service_stats::setTopology(std::shared_ptr<const search_topology> topology, time_point /*now*/)
{
    auto table = makeTable(std::move(topology), m_ownZone);
    for (std::size_t number = 0; number < table->records.size(); ++number) {
        const auto *known = record(table->topology->backends()[number]);
        if (known == nullptr) {
            continue;
        }
        auto &copy = table->records[number];
        const bool excluded = copy.excluded;
        const bool ownZone = copy.ownZone;
        copy = *known;
        copy.excluded = excluded;
        copy.ownZone = ownZone;
        // Running queries count their attempts in the table that they started with.
        copy.outstanding = 0;
    }
    m_oldTables.emplace_back(m_table);
    m_table = std::move(table);
    std::erase_if(m_oldTables, [](const auto &old) { return old.expired(); });
    for (const auto &weak : m_oldTables) {
        const auto old = weak.lock();
        if (!old) {
            continue;
        }
        for (std::size_t number = 0; number < old->records.size(); ++number) {
            const auto found = m_table->topology->find(old->topology->backends()[number]);
            old->records[number].excluded = found == m_table->records.size() || m_table->records[found].excluded;
        }
        ++old->version;
    }
    m_pinCache = {};
}

void service_stats::observe(const backend_id &backend, const backend_report &report, time_point now)
{
    const auto number = m_table->topology->find(backend);
    if (number < m_table->records.size()) {
        applyReport(*m_table, m_table->records[number], report, now);
    }
}

const backend_record *service_stats::record(const backend_id &backend) const
{
    const auto number = m_table->topology->find(backend);
    return number < m_table->records.size() ? &m_table->records[number] : nullptr;
}

std::optional<std::chrono::microseconds> service_stats::latencyQuantile(double quantile) const
{
    if (m_latency.samples() < minSamples) {
        return std::nullopt;
    }
    return m_latency.quantile(quantile);
}

std::chrono::microseconds service_stats::hedgeDelay(std::chrono::microseconds minimum) const
{
    if (m_latency.samples() < minSamples) {
        return std::max<std::chrono::microseconds>(minimum, unknownHedgeDelay);
    }
    // 5% of all attempts pass the 95th percentile but the budget is 4%; a fixed percentile would spend it on attempts
    // that are about to be answered.
    return std::max(minimum, m_latency.quantile(0.95 + 0.04 * (1 - m_hedgeTokens.fill())));
}

std::optional<snapshot_ref> service_stats::choosePin(double minCoverage, std::optional<snapshot_ref> newerThan, time_point now)
{
    const auto choice = choosePinIn(*m_table, minCoverage, newerThan, now);
    return choice ? std::optional(choice->pin) : std::nullopt;
}

std::optional<service_stats::pin_choice>
service_stats::choosePinIn(const backend_table &table, double minCoverage, std::optional<snapshot_ref> newerThan, time_point now)
{
    const bool cacheable = &table == m_table.get() && !newerThan;
    if (cacheable && m_pinCache.version == table.version && m_pinCache.minCoverage == minCoverage && now < m_pinCache.until) {
        return m_pinCache.choice;
    }
    const auto best = selectPin(collectPins(table, newerThan, now), minCoverage);
    if (cacheable) {
        m_pinCache = {table.version, minCoverage, now + pinCacheTime, best};
    }
    return best;
}

std::vector<service_stats::pin_choice>
service_stats::collectPins(const backend_table &table, std::optional<snapshot_ref> newerThan, time_point now)
{
    struct holding {
        std::uint64_t snapshot = 0;
        std::size_t shards = 0;
        std::size_t lastShard = 0;
    };
    std::vector<pin_choice> choices;
    std::vector<holding> holdings;
    for (std::size_t layout = 0; layout < table.topology->layouts().size(); ++layout) {
        const auto &definition = table.topology->layouts()[layout];
        holdings.clear();
        for (std::size_t shard = 0; shard < definition.shards.size(); ++shard) {
            for (std::size_t replica = 0; replica < definition.shards[shard].replicas.size(); ++replica) {
                const auto &record = table.records[table.topology->backendNumber(layout, shard, replica)];
                if (record.excluded || now < record.drainingUntil || record.ejected) {
                    continue;
                }
                for (const auto &held : record.held) {
                    if (held.layout != definition.layout || held.snapshot == 0 || (newerThan && held.snapshot <= newerThan->snapshot)) {
                        continue;
                    }
                    auto found = std::find_if(
                        holdings.begin(), holdings.end(), [&held](const holding &entry) { return entry.snapshot == held.snapshot; });
                    if (found == holdings.end()) {
                        holdings.push_back({held.snapshot, 1, shard});
                    } else if (found->lastShard != shard) {
                        ++found->shards;
                        found->lastShard = shard;
                    }
                }
            }
        }
        for (const auto &entry : holdings) {
            choices.push_back(
                {{entry.snapshot, definition.layout}, static_cast<double>(entry.shards) / static_cast<double>(definition.shards.size())});
        }
    }
    return choices;
}

std::optional<service_stats::pin_choice> service_stats::selectPin(const std::vector<pin_choice> &choices, double minCoverage)
{
    double greatest = 0;
    for (const auto &choice : choices) {
        greatest = std::max(greatest, choice.share);
    }
    const double enough = std::min(greatest, minCoverage);
    std::optional<pin_choice> best;
    for (const auto &choice : choices) {
        if (choice.share + 1e-9 >= enough && (!best || choice.pin > best->pin)) {
            best = choice;
        }
    }
    return best;
}

void service_stats::applyReport(backend_table &table, backend_record &record, const backend_report &report, time_point now)
{
    const bool sorted = std::is_sorted(report.held.begin(), report.held.end());
    if (!record.heldKnown || !sorted || record.held != report.held) {
        auto held = report.held;
        std::sort(held.begin(), held.end());
        if (!record.heldKnown || held != record.held) {
            record.held = std::move(held);
            record.heldKnown = true;
            ++table.version;
        }
    }
    if (report.state == backend_state::draining) {
        if (record.state != backend_state::draining) {
            ++table.version;
        }
        record.drainingUntil = now + drainingTime;
    } else if (record.state == backend_state::draining) {
        record.drainingUntil = time_point{};
        ++table.version;
    }
    record.state = report.state;
    record.slots = std::max(1U, report.slots);
    record.slotsInUse = report.slotsInUse;
    record.reported = now;
}

void service_stats::noteNotHeld(backend_table &table, backend_record &record, snapshot_ref snapshot, time_point now)
{
    record.heldKnown = true;
    record.reported = now;
    if (std::erase(record.held, snapshot) != 0) {
        ++table.version;
    }
}

void service_stats::noteOutcome(backend_table &table, backend_record &record, const shard_answer &answer, time_point now)
{
    if (answer.hasReport) {
        applyReport(table, record, answer.report, now);
    }
    if (answer.status == shard_status::refused && answer.code == error_code::draining) {
        record.state = backend_state::draining;
        record.drainingUntil = now + drainingTime;
        ++table.version;
    }
    const bool overload = answer.status == shard_status::refused
        && (answer.code == error_code::overloaded || answer.code == error_code::deadlineExceeded || answer.code == error_code::notReady);
    record.refusals += outcomeWeight * ((overload ? 1.0F : 0.0F) - record.refusals);
    record.queueMicros += outcomeWeight * (static_cast<float>(answer.queueTime.count()) - record.queueMicros);
    record.updated = now;
    if (answer.status == shard_status::answered || answer.status == shard_status::partial) {
        record.consecutiveFailures = 0;
        record.failedProbes = 0;
        if (record.ejected) {
            record.ejected = false;
            ++table.version;
        }
    } else if (answer.status == shard_status::failed || answer.code == error_code::unreachable) {
        noteFailure(table, record, answer.code == error_code::unreachable ? unreachableWeight : failureWeight, now);
    }
}

void service_stats::noteFailure(backend_table &table, backend_record &record, std::uint32_t weight, time_point now)
{
    record.consecutiveFailures += weight;
    if (record.ejected) {
        ++record.failedProbes;
    } else if (record.consecutiveFailures >= ejectionThreshold) {
        record.ejected = true;
        record.ejectedSince = now;
        ++m_counts.ejections;
        ++table.version;
    } else {
        return;
    }
    record.nextProbe = now + probeBackoff * (1U << std::min(record.failedProbes, maxBackoffDoublings));
}

void service_stats::noteFirstAttempts(std::uint32_t count)
{
    m_counts.firstAttempts += count;
    m_hedgeTokens.add(count);
    m_retryTokens.add(count);
}

bool service_stats::takeHedgeToken()
{
    if (!m_hedgeTokens.take()) {
        return false;
    }
    ++m_counts.hedges;
    return true;
}

bool service_stats::takeRetryToken()
{
    if (!m_retryTokens.take()) {
        return false;
    }
    ++m_counts.retries;
    return true;
}

} // namespace orioledrum
