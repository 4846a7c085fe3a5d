#include <publication_reader.h>

#include <gateway_state.h>
#include <host_call.h>
#include <request_caps.h>
#include <transport/http_exchange.h>
#include <wire/change_messages.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// Time allowed for the answer of a reader beyond the wait that it was asked for: a network trip, and the event loop of a host with a
/// quarter of a CPU core while it sends a full list to the other hosts of its zone.
constexpr std::chrono::milliseconds readerAnswerTimeout{300};
/// Upper limit of the delay after a read with changes, however long the bounds are: new backend servers wait for it.
constexpr std::chrono::milliseconds maxBatchDelay{1000};
/// Limits of the time for which a reader holds back its answer. A reader that dies is detected by the end of that time.
constexpr std::chrono::milliseconds minPullWait{200};
constexpr std::chrono::milliseconds maxPullWait{1500};

/// A connection to the platform may go silent without being closed; only the timeout of a read detects this. `wait` is chosen so that
/// a read times out within both maxActivationDelay and contactLossTimeout. 300 ms of the shorter bound are left as a margin; `wait` is
/// at least 200 ms, even if a read then times out later.
change_follower_settings followerSettings(const gateway_settings &settings)
{
    change_follower_settings result;
    const auto bound = std::min(settings.maxActivationDelay, settings.contactLossTimeout);
    result.maxBatchDelay = std::clamp(bound / 8, result.batchDelay, maxBatchDelay);
    // A change may come right after a read, so that the next one begins only after the batch delay.
    result.wait =
        std::max(std::chrono::milliseconds(200), bound - result.maxBatchDelay - result.answerTimeout - std::chrono::milliseconds(300));
    return result;
}

/// A quarter of the shorter bound: when a reader dies with an unread change, the host that asks it reads the platform well within the
/// bound.
std::chrono::milliseconds pullWait(const gateway_settings &settings)
{
    return std::clamp(std::min(settings.maxActivationDelay, settings.contactLossTimeout) / 4, minPullWait, maxPullWait);
}

/// A read that changes more entries is logged as one line with counts, because the number of lines would otherwise grow with the number
/// of hosts times the number of entries.
constexpr std::ptrdiff_t maxEntryLines = 20;

/// Logs the changed entries of one read.
class entry_change_log
{
public:
    entry_change_log(event_log &log, const follower_update &update)
        : m_log(log)
        , m_each(std::count_if(update.changes.begin(), update.changes.end(), isEntryChange) <= maxEntryLines)
    {
    }

    void published(const replica_entry &entry)
    {
        ++(entry.draining ? m_draining : m_published);
        if (m_each) {
            // Event "backendServer": an entry was added or updated.
            m_log.write("platform",
                        "backendServer",
                        {{"server", entry.id.str()},
                         {"service", entry.service.str()},
                         {"address", entry.address},
                         {"draining", std::int64_t{entry.draining}},
                         {"coldMs", std::int64_t{entry.coldRemaining.count()}}});
        }
    }

    void removed(const backend_id &id)
    {
        ++m_gone;
        if (m_each) {
            m_log.write("platform", "backendServerGone", {{"server", id.str()}});
        }
    }

    /// Writes the line with counts if the changes were not logged one by one.
    void finish(std::uint64_t revision)
    {
        if (!m_each) {
            m_log.write("platform",
                        "backendServers",
                        {{"revision", static_cast<std::int64_t>(revision)},
                         {"published", m_published},
                         {"draining", m_draining},
                         {"gone", m_gone}});
        }
    }

private:
    static bool isEntryChange(const published_change &change)
    {
        return std::holds_alternative<replica_published>(change) || std::holds_alternative<replica_removed>(change);
    }

    event_log &m_log;
    bool m_each;
    std::int64_t m_published = 0;
    std::int64_t m_draining = 0;
    std::int64_t m_gone = 0;
};

} // namespace

publication_reader::publication_reader(gateway_state &state, change_source &source, http_client &client)
    : m_state(state)
    , m_source(source)
    , m_client(client)
    , m_follower(followerSettings(state.settings))
    , m_selection(state.settings.hosts.text())
    , m_pullWait(pullWait(state.settings))
    , m_pullTimer(state.context)
    , m_readTimer(state.context)
    , m_removalTimer(state.context)
{
}

void publication_reader::start()
{
    scheduleRead();
}

void publication_reader::scheduleRead()
{
    const auto next = m_follower.nextRead();
    if (const auto reader = next.listPage ? std::nullopt : m_selection.readerToAsk(monotonic_clock::now())) {
        askReader(*reader);
        return;
    }
    if (next.delay.count() == 0) {
        startRead(next);
        return;
    }
    m_readTimer.expires_after(next.delay);
    m_readTimer.async_wait([this, next](const asio::error_code &code) {
        if (!code) {
            startRead(next);
        }
    });
}

void publication_reader::startRead(const source_read &next)
{
    m_readingPlatform = true;
    m_readFrom = next.listPage ? "list" : "watch";
    if (next.listPage && next.pageToken.empty()) {
        m_listPages.clear();
    }
    if (!next.listPage && m_journal.revision() != next.after) {
        m_journal.restart(next.after); // This host has read from another one meanwhile; the journal lacks those changes.
    }
    const auto done = [this](expected<change_page> page) { readCompleted(std::move(page)); };
    if (next.listPage) {
        m_source.list(next.pageToken, next.timeout, done);
    } else {
        m_source.watch(next.after, next.wait, next.timeout, done);
    }
}

void publication_reader::askReader(const std::string &reader)
{
    m_readingPlatform = false;
    m_readFrom = reader;
    answerPulls(monotonic_clock::now()); // Refuses them: a host that reads from another one must not pass changes on.
    auto call = makeHostCall(reader, changesPath, encode(change_pull{m_follower.revision(), m_pullWait}), m_pullWait + readerAnswerTimeout);
    m_client.send(std::move(call), [this, reader](http_client::result result) { readerAnswered(reader, std::move(result)); });
}

void publication_reader::readerAnswered(const std::string &reader, http_client::result &&result)
{
    const auto decodeBatch = [&]() -> expected<change_batch> {
        if (!result) {
            return tl::unexpected(result.error().failure);
        }
        if (result->status != 200) {
            return makeError(error_code::notReady, "read changes", "refused with status " + std::to_string(result->status), reader);
        }
        return decode<change_batch>(result->body);
    };
    const auto batch = decodeBatch();
    const auto applied = batch ? applyBatch(*batch) : expected<void>(tl::unexpected(batch.error()));
    if (!applied) {
        m_selection.failed(reader, monotonic_clock::now());
        if (!result) {
            m_client.closeIdleConnections(reader); // Other connections may have gone silent as well.
        }
        m_state.log.write("platform", "readerFailed", {{"reader", reader}, {"error", applied.error().describe()}});
    }
    scheduleRead();
}

expected<void> publication_reader::applyBatch(const change_batch &batch)
{
    const auto now = monotonic_clock::now();
    if (batch.deferRemovals.count() > 0) {
        m_removalsDeferredUntil = now + batch.deferRemovals;
        m_state.registry.deferRemovals(m_removalsDeferredUntil);
    }
    if (!batch.listPages.empty()) {
        if (auto applied = applyList(batch.listPages, now); !applied) {
            return applied;
        }
    }
    change_page page;
    page.revision = batch.revision;
    for (const auto &encoded : batch.pages) {
        auto decoded = m_source.decode(encoded, m_follower.revision());
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        std::move(decoded->changes.begin(), decoded->changes.end(), std::back_inserter(page.changes));
    }
    apply(m_follower.readCompleted(std::move(page), now), now);
    m_lastReadAt = now;
    return {};
}

expected<void> publication_reader::applyList(const std::vector<std::string> &pages, time_point now)
{
    std::vector<published_change> changes;
    std::uint64_t revision = 0;
    for (std::size_t i = 0; i < pages.size(); ++i) {
        auto decoded = m_source.decodeList(pages[i]);
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        revision = i == 0 ? decoded->revision : revision; // Changes made while later pages were read come again.
        std::move(decoded->changes.begin(), decoded->changes.end(), std::back_inserter(changes));
    }
    if (revision < m_follower.revision()) {
        return makeError(error_code::historyLost, "read changes", "the list of the reader is older than the state of this host");
    }
    apply(m_follower.listReceived(std::move(changes), revision), now);
    return {};
}

bool publication_reader::canAnswerPulls() const
{
    return m_readingPlatform && m_follower.synchronized() && m_follower.failures() == 0 && !m_state.stopping;
}

bool publication_reader::tryAnswer(const waiting_pull &pull, time_point now) const
{
    if (!canAnswerPulls()) {
        pull.exchange->respond(errorResponse(503, {error_code::notReady, "this host does not pass changes on now", "read changes", {}}));
        return true;
    }
    auto pages = m_journal.pagesAfter(pull.after);
    change_batch batch;
    if (!pages && !m_journal.listPages().empty()) {
        batch.listPages = m_journal.listPages();
        pages = m_journal.pagesAfter(m_journal.startRevision());
    }
    if (!pages) {
        pull.exchange->respond(errorResponse(503, {error_code::historyLost, "these changes are no longer kept", "read changes", {}}));
        return true;
    }
    if (pages->empty() && batch.listPages.empty() && now < pull.deadline) {
        return false;
    }
    batch.revision = m_journal.revision();
    batch.deferRemovals =
        std::max(std::chrono::microseconds(0), std::chrono::duration_cast<std::chrono::microseconds>(m_removalsDeferredUntil - now));
    batch.pages = std::move(*pages);
    pull.exchange->respond({200, "application/msgpack", {}, encode(batch)});
    return true;
}

void publication_reader::answerPulls(time_point now)
{
    std::erase_if(m_waitingPulls, [&](const waiting_pull &pull) { return tryAnswer(pull, now); });
    if (m_waitingPulls.empty()) {
        return;
    }
    const auto next = std::min_element(
        m_waitingPulls.begin(), m_waitingPulls.end(), [](const auto &left, const auto &right) { return left.deadline < right.deadline; });
    m_pullTimer.expires_after(next->deadline - now);
    m_pullTimer.async_wait([this](const asio::error_code &code) {
        if (!code) {
            answerPulls(monotonic_clock::now());
        }
    });
}

void publication_reader::handlePull(const http_request &request, std::shared_ptr<http_exchange> exchange)
{
    const auto message = orioledrum::decode<change_pull>(request.body);
    if (!message) {
        exchange->respond(errorResponse(400, message.error()));
        return;
    }
    const auto now = monotonic_clock::now();
    const auto wait = std::clamp<std::chrono::microseconds>(message->wait, std::chrono::microseconds(0), maxPullWait);
    m_waitingPulls.push_back({message->after, std::move(exchange), now + wait});
    answerPulls(now);
}

void publication_reader::readCompleted(expected<change_page> &&page)
{
    const auto now = monotonic_clock::now();
    if (!page) {
        m_state.metrics.platformReadFailed();
    }
    const std::string readError = page ? std::string() : page.error().describe();
    std::string encoded = page ? std::exchange(page->encoded, {}) : std::string();
    const bool listPage = page && m_follower.nextRead().listPage;
    const bool hasChanges = page && !page->changes.empty();
    auto update = m_follower.readCompleted(std::move(page), now);
    if (listPage) {
        m_listPages.push_back(std::move(encoded));
        if (update.isFullSnapshot) {
            m_journal.restart(m_follower.revision(), std::exchange(m_listPages, {}));
        }
    } else if (m_follower.synchronized() && m_follower.failures() == 0) {
        if (!hasChanges) {
            encoded.clear();
        }
        m_journal.add(m_follower.revision(), std::move(encoded), now);
    }
    if (update.disconnected) {
        // Event "contactLost": logged after the first failed read, without waiting for contactLossTimeout.
        m_state.log.write(
            "platform", "contactLost", {{"error", readError}, {"revision", static_cast<std::int64_t>(m_follower.revision())}});
    }
    apply(std::move(update), now);
    if (readError.empty()) {
        m_lastReadAt = now;
    }
    answerPulls(now);
    scheduleRead();
}

void publication_reader::apply(follower_update &&update, time_point now)
{
    if (update.reconnected) {
        m_state.log.write("platform", "contactRegained", {{"revision", static_cast<std::int64_t>(m_follower.revision())}});
        m_removalsDeferredUntil = now + m_state.settings.expiredEntryReturnTime;
        m_state.registry.deferRemovals(m_removalsDeferredUntil);
    }
    std::vector<replica_entry> entries;
    entry_change_log entryLog(m_state.log, update);
    auto excludedZones = update.isFullSnapshot ? std::set<zone_id>() : m_excludedZones;
    for (auto &change : update.changes) {
        if (auto *routes = std::get_if<routes_published>(&change)) {
            applyTable(std::move(routes->table));
        } else if (auto *published = std::get_if<replica_published>(&change)) {
            if (update.isFullSnapshot) {
                entries.push_back(std::move(published->entry));
            } else {
                entryLog.published(published->entry);
                m_state.registry.put(std::move(published->entry), now);
            }
        } else if (const auto *removal = std::get_if<replica_removed>(&change)) {
            entryLog.removed(removal->id);
            m_state.registry.remove(removal->id, now);
        } else if (const auto *zone = std::get_if<zone_changed>(&change)) {
            if (zone->excluded) {
                excludedZones.insert(zone->zone);
            } else {
                excludedZones.erase(zone->zone);
            }
        } else if (const auto *unreadable = std::get_if<unreadable_change>(&change)) {
            m_state.metrics.changeUnreadable();
            m_state.log.write("platform", "unreadable", {{"error", unreadable->reason.describe()}});
            if (!unreadable->id.empty()) {
                m_state.registry.remove(unreadable->id, now);
            }
        }
    }
    if (!update.isFullSnapshot) { // A full list has a line of its own.
        entryLog.finish(m_follower.revision());
    }
    if (update.isFullSnapshot) {
        m_state.registry.replaceAll(std::move(entries), now);
        m_state.log.write("platform",
                          "listRead",
                          {{"revision", static_cast<std::int64_t>(m_follower.revision())},
                           {"backendServers", static_cast<std::int64_t>(m_state.registry.size())}});
    }
    if (excludedZones != m_excludedZones) {
        m_excludedZones = excludedZones;
        std::string names;
        for (const auto &zone : excludedZones) {
            names += (names.empty() ? "" : ",") + zone.str();
        }
        // Event "zonesOut": the excluded zones have changed; the list is empty when none is excluded any more.
        m_state.log.write("platform", "zonesOut", {{"zones", names}});
        m_state.registry.setExcludedZones(std::move(excludedZones), now);
    }
    applyDueRemovals();
}

void publication_reader::applyTable(std::shared_ptr<const route_table> table)
{
    // A version that arrives late must not replace a newer one.
    if (m_state.table && table->version() <= m_state.table->version()) {
        return;
    }
    m_state.table = std::move(table);
    m_state.registry.setRouteTable(m_state.table);
    m_state.metrics.setConfigVersion(m_state.table->version());
    // Event "routesInForce": a new route table is active. Its time of publication is not known here; it is at most sinceMs ago.
    const auto sinceLastRead = std::chrono::duration_cast<std::chrono::milliseconds>(monotonic_clock::now() - m_lastReadAt);
    m_state.log.write("platform",
                      "routesInForce",
                      {{"version", static_cast<std::int64_t>(m_state.table->version())},
                       {"from", m_readFrom},
                       {"sinceMs", m_lastReadAt == time_point() ? -1 : static_cast<std::int64_t>(sinceLastRead.count())},
                       {"routes", static_cast<std::int64_t>(m_state.table->routes().size())}});
    const auto &limits = m_state.table->limits();
    if (limits.maxHeaderBytes > maxReadHeadBytes || limits.maxBodyBytes > maxReadBodyBytes) {
        // Event "limitsNotReached": requests that the configuration allows are refused, because this host reads no larger ones.
        m_state.log.write("platform",
                          "limitsNotReached",
                          {{"version", static_cast<std::int64_t>(m_state.table->version())},
                           {"maxHeadBytes", static_cast<std::int64_t>(maxReadHeadBytes)},
                           {"maxBodyBytes", static_cast<std::int64_t>(maxReadBodyBytes)}});
    }
}

void publication_reader::applyDueRemovals()
{
    const auto now = monotonic_clock::now();
    const auto next = m_state.registry.applyDeferredRemovals(now);
    if (next == time_point::max()) {
        return;
    }
    m_removalTimer.expires_after(next - now);
    m_removalTimer.async_wait([this](const asio::error_code &code) {
        if (!code) {
            applyDueRemovals();
        }
    });
}

} // namespace orioledrum
