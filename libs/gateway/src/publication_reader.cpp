#include <publication_reader.h>

#include <gateway_state.h>
#include <host_call.h>
#include <open_request.h>
#include <request_caps.h>
#include <transport/http_exchange.h>
#include <wire/change_messages.h>
#include <wire/codec.h>

#include <gateway/change_source.h>
#include <transport/http_client.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace orioledrum
{

namespace
{

/// The last request to a draining backend server has to arrive before the end of the drain time.
constexpr std::chrono::milliseconds drainMargin{200};

change_sync_settings syncSettings(const gateway_settings &settings)
{
    change_sync_settings result;
    result.bound = settings.shortestChangeBound();
    result.contactTime = settings.contactLossTimeout;
    result.removalBound = settings.drainTime.count() > 0 ? settings.drainTime : result.bound;
    result.removalDeferral = settings.expiredEntryReturnTime;
    // A host that is the only one of its deployment has nobody to ask.
    const auto self = settings.hosts.text();
    result.asksReadersFirst = std::any_of(settings.seeds.begin(), settings.seeds.end(), [&](const auto &seed) { return seed != self; });
    return result;
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
    , m_sync(syncSettings(state.settings), source, state.settings.hosts.text())
    , m_retained(state.settings.expiredEntryReturnTime)
    , m_tickTimer(state.context)
    , m_removalTimer(state.context)
    , m_returnTimer(state.context)
{
}

void publication_reader::start()
{
    run(m_sync.start(monotonic_clock::now()));
    m_state.firstReadAt = m_sync.firstReadAt();
}

void publication_reader::stop()
{
    m_sync.stop();
    run(m_sync.tick(monotonic_clock::now()));
}

void publication_reader::handlePull(const http_request &request, std::shared_ptr<http_exchange> exchange)
{
    change_pull pull;
    std::optional<std::uint64_t> era;
    if (request.path == eraChangesPath) {
        const auto message = orioledrum::decode<era_pull>(request.body);
        if (!message) {
            exchange->respond(errorResponse(400, message.error()));
            return;
        }
        pull = message->pull;
        era = message->era;
    } else {
        const auto message = orioledrum::decode<change_pull>(request.body);
        if (!message) {
            exchange->respond(errorResponse(400, message.error()));
            return;
        }
        pull = *message;
    }
    const auto id = ++m_lastPull;
    using answer_form = waiting_exchange::answer_form;
    m_waitingPulls[id] = {std::move(exchange), era ? answer_form::eraBatch : answer_form::changeBatch};
    run(m_sync.pullReceived(id, pull, monotonic_clock::now(), era));
}

void publication_reader::handleStateRequest(const http_request &request, std::shared_ptr<http_exchange> exchange)
{
    const auto message = orioledrum::decode<state_request>(request.body);
    if (!message) {
        exchange->respond(errorResponse(400, message.error()));
        return;
    }
    const auto id = ++m_lastPull;
    m_waitingPulls[id] = {std::move(exchange), waiting_exchange::answer_form::stateAnswer};
    run(m_sync.stateRequested(id, *message, monotonic_clock::now()));
}

void publication_reader::setZoneHosts(const std::vector<std::string> &addresses, bool otherZonesKnown)
{
    m_sync.setZoneHosts(addresses, otherZonesKnown);
    if (!m_sync.synchronized()) {
        run(m_sync.tick(monotonic_clock::now()));
        m_state.firstReadAt = m_sync.firstReadAt();
    }
}

void publication_reader::run(change_sync_actions &&actions)
{
    for (auto &action : actions) {
        if (const auto *readToStart = std::get_if<start_platform_read>(&action)) {
            read(*readToStart);
        } else if (const auto *pullToSend = std::get_if<send_pull>(&action)) {
            pull(*pullToSend);
        } else if (const auto *request = std::get_if<send_state_request>(&action)) {
            requestState(*request);
        } else if (auto *pullToAnswer = std::get_if<answer_pull>(&action)) {
            answer(std::move(*pullToAnswer));
        } else if (auto *changes = std::get_if<apply_changes>(&action)) {
            apply(std::move(*changes));
        } else if (const auto *readerFailure = std::get_if<reader_failed>(&action)) {
            m_state.log.write("platform", "readerFailed", {{"reader", readerFailure->reader}, {"error", readerFailure->reason.describe()}});
        } else if (const auto *readFailure = std::get_if<platform_read_failed>(&action)) {
            m_state.metrics.platformReadFailed();
            if (readFailure->firstOfSeries) {
                // Event "contactLost": logged after the first failed read, without waiting for contactLossTimeout.
                m_state.log.write("platform",
                                  "contactLost",
                                  {{"error", readFailure->reason.describe()}, {"revision", static_cast<std::int64_t>(m_sync.revision())}});
            }
        } else if (const auto *old = std::get_if<state_old>(&action)) {
            // Event "stateOld": no reader has confirmed the state for so long that this host reads the platform itself.
            m_state.log.write(
                "platform",
                "stateOld",
                {{"ageMs", static_cast<std::int64_t>(old->age.count())}, {"revision", static_cast<std::int64_t>(m_sync.revision())}});
        }
    }
    const auto now = monotonic_clock::now();
    const auto confirmedAt = m_sync.confirmedAt();
    m_state.metrics.setStateAge(confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt);
    const auto next = m_sync.nextTick();
    if (next == time_point::max()) {
        m_tickTimer.cancel();
        return;
    }
    m_tickTimer.expires_after(std::max(next - now, time_point::duration(0)));
    m_tickTimer.async_wait([this](const asio::error_code &code) {
        if (!code) {
            run(m_sync.tick(monotonic_clock::now()));
        }
    });
}

void publication_reader::read(const start_platform_read &action)
{
    if (action.freshConnection) {
        m_source.closeIdleConnections();
    }
    const auto done = [this, id = action.id](expected<change_page> page) {
        run(m_sync.readCompleted(id, std::move(page), monotonic_clock::now()));
    };
    if (action.read.listPage) {
        m_source.list(action.read.pageToken, action.read.timeout, done);
    } else {
        m_source.watch(action.read.after, action.read.wait, action.read.timeout, done);
    }
}

void publication_reader::pull(const send_pull &action)
{
    auto call = action.era ? makeHostCall(action.reader, eraChangesPath, encode(era_pull{*action.era, action.pull}), action.timeout)
                           : makeHostCall(action.reader, changesPath, encode(action.pull), action.timeout);
    m_client.send(
        std::move(call), [this, id = action.id, reader = action.reader, withEra = action.era.has_value()](http_client::result result) {
            std::optional<std::uint64_t> era;
            const auto decodeBatch = [&]() -> expected<change_batch> {
                if (!result) {
                    m_client.closeIdleConnections(reader); // Other connections may have gone silent as well.
                    return tl::unexpected(result.error().failure);
                }
                if (result->status != 200) {
                    return makeError(error_code::notReady, "read changes", "refused with status " + std::to_string(result->status), reader);
                }
                if (!withEra) {
                    return decode<change_batch>(result->body);
                }
                auto answer = decode<era_batch>(result->body);
                if (!answer) {
                    return tl::unexpected(answer.error());
                }
                era = answer->era;
                return std::move(answer->batch);
            };
            auto batch = decodeBatch();
            run(m_sync.readerAnswered(id, std::move(batch), monotonic_clock::now(), era));
        });
}

void publication_reader::requestState(const send_state_request &action)
{
    auto call = makeHostCall(action.reader, statePath, encode(action.request), action.timeout);
    m_client.send(std::move(call), [this, id = action.id, reader = action.reader](http_client::result result) {
        std::optional<std::uint64_t> era;
        const auto decodeAnswer = [&]() -> expected<change_batch> {
            if (!result) {
                return tl::unexpected(result.error().failure);
            }
            if (result->status != 200) {
                return makeError(error_code::notReady, "read state", "refused with status " + std::to_string(result->status), reader);
            }
            auto answer = decode<state_answer>(result->body);
            if (!answer) {
                return tl::unexpected(answer.error());
            }
            era = answer->era;
            return std::move(answer->batch);
        };
        auto batch = decodeAnswer();
        run(m_sync.stateAnswered(id, std::move(batch), monotonic_clock::now(), era));
    });
}

void publication_reader::answer(answer_pull &&action)
{
    const auto waiting = m_waitingPulls.extract(action.pull);
    if (waiting.empty()) {
        return;
    }
    const auto &[exchange, form] = waiting.mapped();
    if (!action.result) {
        exchange->respond(errorResponse(503, action.result.error()));
        return;
    }
    std::string body;
    switch (form) {
    case waiting_exchange::answer_form::changeBatch:
        body = encode(*action.result);
        break;
    case waiting_exchange::answer_form::eraBatch:
        // A host that has told its era is answered only by a host whose source tells one.
        body = encode(era_batch{action.era.value_or(0), std::move(*action.result)});
        break;
    case waiting_exchange::answer_form::stateAnswer:
        body = encode(state_answer{action.era, std::move(*action.result)});
        break;
    }
    exchange->respond({200, "application/msgpack", {}, std::move(body)});
}

void publication_reader::apply(apply_changes &&changes)
{
    const auto returns = m_retained.returns();
    changes.update = m_retained.filter(std::move(changes.update), changes.era, monotonic_clock::now());
    if (m_retained.returns() != returns) {
        // Event "storeReturned": the source has come back with older state; `kept` counts what stays in use until it is written again.
        m_state.log.write("platform",
                          "storeReturned",
                          {{"era", static_cast<std::int64_t>(changes.era.value_or(0))},
                           {"revision", static_cast<std::int64_t>(m_sync.revision())},
                           {"from", changes.from},
                           {"kept", static_cast<std::int64_t>(m_retained.retained())}});
    }
    applyFiltered(std::move(changes));
    applyDueReturns();
}

void publication_reader::applyDueReturns()
{
    const auto now = monotonic_clock::now();
    apply_changes due;
    due.update.changes = m_retained.tick(now);
    if (!due.update.changes.empty()) {
        due.era = m_sync.position().era;
        due.from = "return";
        applyFiltered(std::move(due));
    }
    const auto next = m_retained.nextTick();
    if (next == time_point::max()) {
        return;
    }
    m_returnTimer.expires_after(next - now);
    m_returnTimer.async_wait([this](const asio::error_code &code) {
        if (!code) {
            applyDueReturns();
        }
    });
}

void publication_reader::applyFiltered(apply_changes &&changes)
{
    const auto now = monotonic_clock::now();
    auto &update = changes.update;
    if (update.reconnected) {
        m_state.log.write("platform", "contactRegained", {{"revision", static_cast<std::int64_t>(m_sync.revision())}});
    }
    if (changes.deferRemovalsUntil) {
        m_state.registry.deferRemovals(*changes.deferRemovalsUntil);
    }
    // An entry may say that its backend server drains for as long as this host has known less than all changes.
    const auto drainEnd = changes.knownBefore.value_or(now - m_state.settings.drainTime) + m_state.settings.drainTime - drainMargin;
    const auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(drainEnd - now, time_point::duration(0)));
    std::vector<replica_entry> entries;
    entry_change_log entryLog(m_state.log, update);
    auto excludedZones = update.isFullSnapshot ? std::set<zone_id>() : m_excludedZones;
    for (auto &change : update.changes) {
        if (auto *routes = std::get_if<routes_published>(&change)) {
            applyTable(std::move(routes->table), changes, now);
        } else if (auto *published = std::get_if<replica_published>(&change)) {
            if (update.isFullSnapshot) {
                entries.push_back(std::move(published->entry));
            } else {
                entryLog.published(published->entry);
                m_state.registry.put(std::move(published->entry), now, grace);
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
        entryLog.finish(m_sync.revision());
    }
    if (update.isFullSnapshot) {
        m_state.registry.replaceAll(std::move(entries), now, grace);
        m_state.log.write("platform",
                          "listRead",
                          {{"revision", static_cast<std::int64_t>(m_sync.revision())},
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

void publication_reader::applyTable(std::shared_ptr<const route_table> table, const apply_changes &changes, time_point now)
{
    // A version that arrives late must not replace a newer one.
    if (m_state.table && table->version() <= m_state.table->version()) {
        return;
    }
    m_state.table = std::move(table);
    m_state.registry.setRouteTable(m_state.table);
    m_state.metrics.setConfigVersion(m_state.table->version());
    m_state.metrics.setOrganisations(m_state.table->organisations());
    if (m_state.settings.strictRevocation) {
        // A request leaves the map when it ends.
        for (const auto &[key, open] : std::vector(m_state.openRequests.begin(), m_state.openRequests.end())) {
            if (const auto request = open.lock()) {
                request->endIfKeyWithdrawn(*m_state.table);
            }
        }
    }
    // Event "routesInForce": a new route table is active. Its time of publication is not known here; it is at most ageMs ago.
    const auto age = now - changes.knownBefore.value_or(now);
    m_state.log.write("platform",
                      "routesInForce",
                      {{"version", static_cast<std::int64_t>(m_state.table->version())},
                       {"from", changes.from},
                       {"ageMs", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
                       {"routes", static_cast<std::int64_t>(m_state.table->routes().size())}});
    const auto &organisations = m_state.table->organisations();
    const auto capped = std::count_if(organisations.begin(), organisations.end(), [](const organisation &each) { return each.capped(); });
    if (capped > 0 && !m_state.settings.usageCaps) {
        // Event "capsNotKept": organisations have usage caps, but the settings do not say within which bounds.
        m_state.log.write("platform",
                          "capsNotKept",
                          {{"version", static_cast<std::int64_t>(m_state.table->version())}, {"organisations", std::int64_t{capped}}});
    }
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
