#include <publication_reader.h>

#include <gateway_state.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// A connection to the platform may go silent without being closed; only the timeout of a read detects this. `wait` is chosen so that
/// a read times out within both maxActivationDelay and contactLossTimeout. 300 ms of the shorter bound are left as a margin; `wait` is
/// at least 200 ms, even if a read then times out later.
change_follower_settings followerSettings(const gateway_settings &settings)
{
    change_follower_settings result;
    const auto bound = std::min(settings.maxActivationDelay, settings.contactLossTimeout);
    result.wait = std::max(std::chrono::milliseconds(200), bound - result.answerTimeout - std::chrono::milliseconds(300));
    return result;
}

} // namespace

publication_reader::publication_reader(gateway_state &state, change_source &source)
    : m_state(state)
    , m_source(source)
    , m_follower(followerSettings(state.settings))
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
    const auto done = [this](expected<change_page> page) { readCompleted(std::move(page)); };
    if (next.listPage) {
        m_source.list(next.pageToken, next.timeout, done);
    } else {
        m_source.watch(next.after, next.wait, next.timeout, done);
    }
}

void publication_reader::readCompleted(expected<change_page> &&page)
{
    const auto now = monotonic_clock::now();
    if (!page) {
        m_state.metrics.platformReadFailed();
    }
    const std::string readError = page ? std::string() : page.error().describe();
    auto update = m_follower.readCompleted(std::move(page));
    if (update.disconnected) {
        // Event "contactLost": logged after the first failed read, without waiting for contactLossTimeout.
        m_state.log.write(
            "platform", "contactLost", {{"error", readError}, {"revision", static_cast<std::int64_t>(m_follower.revision())}});
    }
    if (update.reconnected) {
        m_state.log.write("platform", "contactRegained", {{"revision", static_cast<std::int64_t>(m_follower.revision())}});
        m_state.registry.deferRemovals(now + m_state.settings.expiredEntryReturnTime);
    }
    apply(std::move(update), now);
    scheduleRead();
}

void publication_reader::apply(follower_update &&update, time_point now)
{
    std::vector<replica_entry> entries;
    auto excludedZones = update.isFullSnapshot ? std::set<zone_id>() : m_excludedZones;
    for (auto &change : update.changes) {
        if (auto *routes = std::get_if<routes_published>(&change)) {
            applyTable(std::move(routes->table));
        } else if (auto *published = std::get_if<replica_published>(&change)) {
            if (update.isFullSnapshot) {
                entries.push_back(std::move(published->entry));
            } else {
                // Event "backendServer": an entry was added or updated.
                m_state.log.write("platform",
                                  "backendServer",
                                  {{"server", published->entry.id.str()},
                                   {"service", published->entry.service.str()},
                                   {"address", published->entry.address},
                                   {"draining", std::int64_t{published->entry.draining}},
                                   {"coldMs", std::int64_t{published->entry.coldRemaining.count()}}});
                m_state.registry.put(std::move(published->entry), now);
            }
        } else if (const auto *removal = std::get_if<replica_removed>(&change)) {
            m_state.log.write("platform", "backendServerGone", {{"server", removal->id.str()}});
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
    // Event "routesInForce": a new route table is active.
    m_state.log.write("platform",
                      "routesInForce",
                      {{"version", static_cast<std::int64_t>(m_state.table->version())},
                       {"routes", static_cast<std::int64_t>(m_state.table->routes().size())}});
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
