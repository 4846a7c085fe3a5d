#include <search/gather_run.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <utility>

namespace orioledrum
{

namespace
{

/// Least time between two looks at the calls that may need a hedge.
constexpr std::chrono::milliseconds hedgeInterval{4};
/// Least time before the deadline in which a retry can still be of use.
constexpr std::chrono::milliseconds retryTime{3};

std::uint32_t markOf(const replica &server)
{
    // The standard library's hash is the same on all hosts, which run the same program.
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

gather_run::gather_run(gather_input input, replica_board &board, latency_profile &profile)
    : m_input(std::move(input))
    , m_board(board)
    , m_profile(profile)
    , m_shards(m_input.shards.size())
    , m_relayOpen(m_input.relays.size(), false)
{
    for (auto &shard : m_shards) {
        shard.mostServers = m_input.maxAttempts;
    }
    for (const auto &part : m_input.relays) {
        for (const auto shard : part.shards) {
            m_shards[shard].relayed = true;
            restrictToOwnChoice(shard, part.zone);
        }
    }
    if (m_input.preferredZone) {
        for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
            restrictToChoiceOfOther(shard);
        }
    }
}

void gather_run::restrictToOwnChoice(std::size_t shard, const zone_id &zone)
{
    const replica_preference preference{zone, m_input.preferenceSeed};
    m_shards[shard].allowed = m_board.preferredReplicas(m_input.shards[shard], preference, m_input.maxAttempts);
}

void gather_run::restrictToChoiceOfOther(std::size_t shard)
{
    auto &allowed = m_shards[shard].allowed.emplace();
    if (shard < m_input.allowedServers.size()) {
        const auto &marks = m_input.allowedServers[shard];
        for (auto &server : m_board.replicas(m_input.shards[shard])) {
            if (std::find(marks.begin(), marks.end(), markOf(*server)) != marks.end()) {
                allowed.push_back(std::move(server));
            }
        }
    }
    if (allowed.empty() && m_input.maxAttempts > 1) {
        // The entries differ altogether, and either host may have the newer ones. The other one leaves one attempt for this.
        allowed = m_board.preferredReplicas(m_input.shards[shard], {*m_input.preferredZone, m_input.preferenceSeed}, 1);
    }
}

std::vector<server_marks> gather_run::allowedServers(std::size_t part) const
{
    std::vector<server_marks> servers;
    for (const auto shard : m_input.relays[part].shards) {
        auto &marks = servers.emplace_back();
        for (const auto &server : *m_shards[shard].allowed) {
            marks.push_back(markOf(*server));
        }
    }
    return servers;
}

std::uint32_t gather_run::leftBesideRelay() const
{
    // The other host asks only allowed backend servers, or a single other one.
    return std::max(1U, m_input.maxAttempts - 1);
}

void gather_run::start(time_point now)
{
    if (!admit(now)) {
        return;
    }
    const auto untilTarget = std::chrono::duration_cast<std::chrono::microseconds>(m_input.target - now);
    const auto latest = std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(untilTarget.count()) * hedgeLatest));
    const auto slow = static_cast<double>(m_profile.quantile(hedgeQuantile).count()) * hedgeFactor;
    m_hedgeAfter = std::min(std::chrono::microseconds(static_cast<std::int64_t>(slow)), latest);
    m_hedgeAfter = std::max<std::chrono::microseconds>(hedgeMinimum, m_hedgeAfter);
    m_hedgesLeft = static_cast<std::size_t>(std::ceil(static_cast<double>(m_shards.size()) * hedgeShare));
    std::fill(m_relayOpen.begin(), m_relayOpen.end(), true);
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].relayed) {
            continue;
        }
        if (!m_shards[shard].skipped && send(shard, false, false, now)) {
            m_board.budget(m_input.shards[shard]).firstCall();
        } else {
            m_shards[shard].failed = true;
            m_shards[shard].lastEnd = attempt_end::unreachable;
            ++m_failed;
        }
    }
    settle(now);
}

bool gather_run::admit(time_point now)
{
    const auto untilTarget = std::chrono::duration<double, std::micro>(m_input.target - now).count();
    struct expectation {
        std::chrono::microseconds time;
        std::size_t shard;
    };
    std::vector<expectation> expected;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        if (!m_board.reachable(m_input.shards[shard], now)) {
            continue;
        }
        const auto &service = m_input.shards[shard];
        const auto usual = m_profile.usual();
        if (const auto time =
                m_shards[shard].relayed ? m_board.expectedRelayTime(service, usual, now) : m_board.expectedTime(service, usual, now)) {
            expected.push_back({*time, shard});
        }
    }
    if (expected.size() < required()) {
        finish(gather_end::notStarted);
        return false;
    }
    std::sort(expected.begin(), expected.end(), [](const expectation &a, const expectation &b) { return a.time < b.time; });
    m_result.expected = expected[required() - 1].time;
    if (untilTarget > 0 && static_cast<double>(m_result.expected.count()) > untilTarget * refuseFactor) {
        finish(gather_end::overloaded);
        return false;
    }
    auto mayMiss = static_cast<std::size_t>(static_cast<double>(expected.size() - required()) * skipShare);
    for (auto each = expected.rbegin(); each != expected.rend() && mayMiss > 0; ++each, --mayMiss) {
        if (static_cast<double>(each->time.count()) <= untilTarget * skipFactor) {
            break;
        }
        if (m_shards[each->shard].relayed) {
            continue; // The other host decides, with newer knowledge.
        }
        m_shards[each->shard].skipped = true;
        ++m_result.skipped;
    }
    return true;
}

bool gather_run::send(std::size_t shard, bool again, bool onlyIfFree, time_point now)
{
    auto &state = m_shards[shard];
    const auto usual = m_profile.usual();
    const auto server =
        m_board.choose({&m_input.shards[shard], usual, &state.asked, again, onlyIfFree, state.allowed ? &*state.allowed : nullptr}, now);
    if (!server) {
        return false;
    }
    const auto attempt = m_shardOfAttempt.size();
    m_shardOfAttempt.push_back(shard);
    state.open.push_back({attempt, server.get(), now});
    ++state.sends;
    if (!again) {
        state.asked.push_back(server);
    }
    const auto queued = server->queuedTime(usual, now);
    server->sent(attempt, queued, now);
    m_calls.push_back({attempt, server, m_input.deadline, queued});
    return true;
}

void gather_run::ended(std::uint64_t attempt, call_outcome &&outcome, time_point now)
{
    if (m_finished || attempt >= m_shardOfAttempt.size()) {
        return;
    }
    const auto shard = m_shardOfAttempt[attempt];
    auto &state = m_shards[shard];
    std::erase_if(state.open, [attempt](const open_attempt &open) { return open.number == attempt; });
    if (state.done) {
        return;
    }
    if (outcome.end == attempt_end::served) {
        state.done = true;
        if (state.failed) {
            state.failed = false;
            --m_failed;
        }
        state.proof = std::move(outcome.proof);
        state.body = std::move(outcome.body);
        m_result.slowest = std::max(m_result.slowest, outcome.latency);
        ++m_answered;
    } else {
        state.lastEnd = outcome.end;
        lost(shard, outcome.end, now);
    }
    settle(now);
}

void gather_run::lost(std::size_t shard, attempt_end end, time_point now)
{
    auto &state = m_shards[shard];
    if (!state.open.empty() || retry(shard, end, now)) {
        return;
    }
    state.failed = true;
    ++m_failed;
}

bool gather_run::retry(std::size_t shard, attempt_end end, time_point now)
{
    auto &state = m_shards[shard];
    auto &budget = m_board.budget(m_input.shards[shard]);
    if (now + retryTime >= m_input.deadline || state.sends > m_input.maxAttempts || budget.tokens() < 1) {
        return false;
    }
    // A backend server that only shed the call, or broke its connection, may be asked again when no other is left.
    const bool mayAskAgain = end == attempt_end::shed || end == attempt_end::broken;
    const bool sent =
        (state.asked.size() < state.mostServers && send(shard, false, false, now)) || (mayAskAgain && send(shard, true, false, now));
    if (sent) {
        budget.takeRetry();
        ++m_result.retries;
    }
    return sent;
}

void gather_run::relayAnswered(std::size_t part, relay_result &&result, time_point now)
{
    if (m_finished || !m_relayOpen[part]) {
        return;
    }
    if (result.end == gather_end::notStarted) {
        relayFailed(part, true, now); // It reaches too few backend servers; this host may reach them.
        return;
    }
    m_relayOpen[part] = false;
    if (result.end == gather_end::overloaded && !covered() && m_shardOfAttempt.empty() && m_relayOpen.size() == 1) {
        finish(gather_end::overloaded);
        return;
    }
    m_result.hedges += result.hedges;
    m_result.retries += result.retries;
    m_relayRecords += result.records;
    const auto &positions = m_input.relays[part].shards;
    for (std::size_t i = 0; i < positions.size() && i < result.shards.size(); ++i) {
        if (result.shards[i].loadFactor > 0) {
            m_board.setLoadHint(m_input.shards[positions[i]], result.shards[i].loadFactor, now);
        }
        if (result.shards[i].end != attempt_end::served) {
            continue;
        }
        auto &state = m_shards[positions[i]];
        state.done = true;
        state.proof = std::move(result.shards[i].proof);
        ++m_answered;
    }
    for (std::size_t i = 0; i < positions.size(); ++i) {
        auto &state = m_shards[positions[i]];
        if (state.done) {
            continue;
        }
        state.lastEnd = i < result.shards.size() ? result.shards[i].end : attempt_end::broken;
        ++state.sends; // By the other host.
        state.mostServers = leftBesideRelay();
        // What is missing is asked for here only where the answer could not be given without it.
        const bool useless = covered() || anyRelayOpen() || result.end == gather_end::overloaded;
        if (useless || !retry(positions[i], state.lastEnd, now)) {
            state.failed = true;
            ++m_failed;
        }
    }
    settle(now);
}

void gather_run::relayFailed(std::size_t part, bool notSent, time_point now)
{
    if (m_finished || !m_relayOpen[part]) {
        return;
    }
    m_relayOpen[part] = false;
    for (const auto shard : m_input.relays[part].shards) {
        auto &state = m_shards[shard];
        auto &budget = m_board.budget(m_input.shards[shard]);
        if (!notSent) {
            m_shards[shard].mostServers = leftBesideRelay();
        }
        const bool affordable = notSent || budget.tokens() >= 1;
        if (affordable && send(shard, false, false, now)) {
            if (notSent) {
                budget.firstCall();
            } else {
                budget.takeRetry();
                ++m_result.retries;
            }
        } else {
            state.failed = true;
            ++m_failed;
        }
    }
    settle(now);
}

bool gather_run::hedgeDue(const shard_state &shard, time_point now) const
{
    if (shard.done || shard.failed || shard.hedged || shard.open.size() != 1 || shard.asked.size() >= shard.mostServers) {
        return false;
    }
    const auto &open = shard.open.front();
    const auto age = now - open.sentAt;
    return age >= m_hedgeAfter || (age >= hedgeMinimum && open.server->paused(now));
}

void gather_run::hedge(time_point now)
{
    for (std::size_t shard = 0; shard < m_shards.size() && m_hedgesLeft > 0; ++shard) {
        if (!hedgeDue(m_shards[shard], now)) {
            continue;
        }
        auto &budget = m_board.budget(m_input.shards[shard]);
        // A hedge must not add to a queue, unless the answer could not be given without this shard.
        const bool needed = m_answered < required();
        if (!budget.canHedge() || !send(shard, false, !needed || now < m_input.target, now)) {
            continue;
        }
        budget.takeHedge();
        m_shards[shard].hedged = true;
        ++m_result.hedges;
        --m_hedgesLeft;
    }
}

std::size_t gather_run::required() const
{
    // The tolerance keeps 0.89 of 100 shards at 89 in spite of rounding.
    const auto least = static_cast<std::size_t>(std::ceil(m_input.minCoverage * static_cast<double>(m_shards.size()) - 1e-9));
    return std::max<std::size_t>(1, least);
}

bool gather_run::covered() const
{
    return m_answered >= required();
}

void gather_run::wakeup(time_point now)
{
    if (m_finished) {
        return;
    }
    for (std::size_t part = 0; part < m_relayOpen.size(); ++part) {
        if (m_relayOpen[part] && now >= m_input.target - relayMargin) {
            relayFailed(part, false, now);
        }
    }
    hedge(now);
    settle(now);
}

void gather_run::settle(time_point now)
{
    if (m_finished) {
        return;
    }
    if (m_answered == m_shards.size()) {
        finish(gather_end::complete);
    } else if (m_answered + m_failed == m_shards.size()) {
        finish(covered() ? gather_end::partial : gather_end::tooFew);
    } else if (m_shards.size() - m_failed < required()) {
        finish(gather_end::tooFew);
    } else if (now >= m_input.target && covered()) {
        finish(gather_end::partial);
    } else if (now >= m_input.deadline) {
        finish(gather_end::late);
    } else {
        plan(now);
    }
}

bool gather_run::anyRelayOpen() const
{
    return std::find(m_relayOpen.begin(), m_relayOpen.end(), true) != m_relayOpen.end();
}

void gather_run::plan(time_point now)
{
    m_next = m_input.deadline;
    if (now < m_input.target) {
        m_next = std::min(m_next, m_input.target);
    }
    if (anyRelayOpen()) {
        m_next = std::min(m_next, std::max(now, m_input.target - relayMargin));
    }
    if (m_hedgesLeft == 0) {
        return;
    }
    for (const auto &shard : m_shards) {
        if (!shard.done && !shard.failed && !shard.hedged && shard.open.size() == 1 && shard.asked.size() < shard.mostServers) {
            const auto due = std::max(shard.open.front().sentAt + std::min<std::chrono::microseconds>(m_hedgeAfter, replica::minPausedAge),
                                      now + hedgeInterval);
            m_next = std::min(m_next, due);
        }
    }
}

void gather_run::finish(gather_end end)
{
    m_finished = true;
    m_next = time_point::max();
    m_result.end = end;
    m_result.missing = static_cast<std::uint32_t>(m_shards.size() - m_answered);
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        if (!m_shards[shard].done) {
            m_result.worstShard = m_input.shards[shard];
            m_result.worstEnd = m_shards[shard].failed ? m_shards[shard].lastEnd : attempt_end::timedOut;
            break;
        }
    }
    for (auto &shard : m_shards) {
        const auto open = shard.failed ? shard.lastEnd : attempt_end::timedOut;
        m_result.shards.push_back({shard.done ? attempt_end::served : open, std::move(shard.proof)});
    }
    if (m_result.succeeded() || m_input.keepPartial) {
        merge();
    }
}

void gather_run::merge()
{
    std::vector<const char *> records;
    for (auto &shard : m_shards) {
        if (!shard.done) {
            continue;
        }
        for (std::size_t at = 0; at + recordBytes <= shard.body.size(); at += recordBytes) {
            records.push_back(shard.body.data() + at);
        }
    }
    for (std::size_t at = 0; at + recordBytes <= m_relayRecords.size(); at += recordBytes) {
        records.push_back(m_relayRecords.data() + at);
    }
    const auto greater = [](const char *a, const char *b) { return std::memcmp(a, b, recordBytes) > 0; };
    const auto wanted = std::min<std::size_t>(m_input.topRecords, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(wanted), records.end(), greater);
    m_result.records.reserve(wanted * recordBytes);
    for (std::size_t i = 0; i < wanted; ++i) {
        m_result.records.append(records[i], recordBytes);
    }
}

} // namespace orioledrum
